// Package report prints what a run came to.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"havenproxy/internal/lab/load"
)

// Table prints a result, a class a line.
func Table(out io.Writer, r *load.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "class\toffered\tin aim\tlate\trefused\tfailed\tunsent\tsilent\tin aim %\tworth %\tp50 ms\tp99 ms\tp99.9 ms\tuncorrected: p50\tp99\tp99.9\t\n")
	var all [6]int
	offered := 0
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(w, "%s\t%d", c.Name, c.Offered)
		offered += c.Offered
		for o, name := range load.Names {
			fmt.Fprintf(w, "\t%d", c.Outcomes[name])
			all[o] += c.Outcomes[name]
		}
		fmt.Fprintf(w, "\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", 100*c.InAim, 100*c.Worth, c.P50, c.P99, c.P999, c.SentP50, c.SentP99, c.SentP999)
	}
	fmt.Fprintf(w, "all\t%d", offered)
	for _, n := range all {
		fmt.Fprintf(w, "\t%d", n)
	}
	fmt.Fprintf(w, "\t%.1f\t%.1f\t\t\t\t\t\t\t\n", 100*float64(all[load.InAim])/float64(max(offered, 1)), 100*r.Worth)
	w.Flush()
	fmt.Fprintf(out, "worst 10 s: %.1f %% of the worth; the generator was late by %.1f ms (p99), %.0f ms at most\n",
		100*r.Worst10, r.LateP99, r.LateMax)
	for _, why := range r.Marked {
		fmt.Fprintf(out, "MARKED: %s\n", why)
	}
	var faults []string
	for what := range r.Faults {
		faults = append(faults, what)
	}
	slices.Sort(faults)
	for _, what := range faults {
		fmt.Fprintf(out, "BROKEN: %d times: %s\n", r.Faults[what], what)
	}
}

// JSON writes a result, or whatever it stands in, to a file.
func JSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
