package analysis

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes a report for a terminal. A table with many columns is turned on its side, so that a size is a column.
func (r *Report) WriteText(out io.Writer) error {
	var text strings.Builder
	for _, line := range r.preamble() {
		fmt.Fprintln(&text, line)
	}
	for _, t := range r.tables() {
		fmt.Fprintf(&text, "\n%s\n", t.title)
		if len(t.head) > widestTable {
			t = t.turned()
		}
		w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, strings.Join(t.head, "\t"))
		for _, row := range t.rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		w.Flush()
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// widestTable is how many columns a terminal shows without turning the table.
const widestTable = 12

// turned exchanges rows and columns.
func (t table) turned() table {
	out := table{title: t.title, head: []string{t.head[0]}}
	for _, row := range t.rows {
		out.head = append(out.head, row[0])
	}
	for column := 1; column < len(t.head); column++ {
		line := []string{t.head[column]}
		for _, row := range t.rows {
			line = append(line, row[column])
		}
		out.rows = append(out.rows, line)
	}
	return out
}

// preamble says where the figures come from.
func (r *Report) preamble() []string {
	lines := []string{"command: " + r.Run.Command, "commit: " + r.Run.Commit, "machine: " + r.Run.Machine}
	if r.Run.Trial {
		lines = append(lines, "These figures are trials.")
	}
	if r.Run.Stopped != "" {
		lines = append(lines, "The run ended early: "+r.Run.Stopped)
	}
	if seen := r.transports(); len(seen) > 0 {
		lines = append(lines, "transport: "+strings.Join(seen, "; "))
	}
	return lines
}

// transports lists what carried the messages, each once.
func (r *Report) transports() []string {
	var list []string
	seen := map[string]bool{}
	for i := range r.Run.Measurements {
		if t := r.Run.Measurements[i].Transport; t != "" && !seen[t] {
			seen[t] = true
			list = append(list, t)
		}
	}
	return list
}

// WriteMarkdown writes a report as a page; pictures are paths as the page is to name them, see WritePlots.
func (r *Report) WriteMarkdown(out io.Writer, pictures []string) error {
	var text strings.Builder
	text.WriteString("# Scale run\n\n")
	for _, line := range r.preamble() {
		fmt.Fprintf(&text, "- %s\n", line)
	}
	for _, t := range r.tables() {
		fmt.Fprintf(&text, "\n## %s\n\n", t.title)
		if len(t.head) > widestTable {
			t = t.turned()
		}
		writeRow(&text, t.head)
		text.WriteString(strings.Repeat("| --- ", len(t.head)) + "|\n")
		for _, row := range t.rows {
			writeRow(&text, row)
		}
	}
	if len(pictures) > 0 {
		text.WriteString("\n## Plots\n\n")
	}
	for _, path := range pictures {
		fmt.Fprintf(&text, "![%s](%s)\n\n", path, path)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func writeRow(text *strings.Builder, cells []string) {
	for _, cell := range cells {
		text.WriteString("| " + strings.ReplaceAll(cell, "|", `\|`) + " ")
	}
	text.WriteString("|\n")
}
