package report

import (
	"bytes"
	"fmt"
	"html/template"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"havenproxy/internal/lab/chart"
	"havenproxy/internal/lab/experiment"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/lab/virtual"
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #1a1a1a; background: #fff; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.1rem; margin: 2.2rem 0 0.3rem; }
p { margin: 0.3rem 0 0.6rem; max-width: 48rem; }
table { border-collapse: collapse; margin: 0.5rem 0; font-variant-numeric: tabular-nums; }
th, td { padding: 0.2rem 0.8rem; border-bottom: 1px solid #ccc; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>{{.Title}}</h1>
{{range .Parts}}<h2>{{.Title}}</h2>
{{if .Text}}<p>{{.Text}}</p>{{end}}
{{if .Rows}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
{{.Picture}}
{{end}}</body></html>
`))

type part struct {
	Title, Text string
	Head        []string
	Rows        [][]string
	Picture     template.HTML // of plot, if there is one
	plot        *plot.Plot
	high        vg.Length
}

// write writes a page, and its pictures as PNG files into a folder, if one is named.
func write(path, pictures, title string, parts []part) error {
	if pictures != "" {
		if err := os.MkdirAll(pictures, 0o755); err != nil {
			return err
		}
	}
	for i := range parts {
		p := &parts[i]
		if p.plot == nil {
			continue
		}
		var err error
		if p.Picture, err = svg(p.plot, p.high); err != nil {
			return err
		}
		if pictures != "" {
			name := strings.Map(func(r rune) rune {
				if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
					return r
				}
				return '-'
			}, strings.ToLower(p.Title))
			if err := p.plot.Save(chart.Width, p.high, filepath.Join(pictures, fmt.Sprintf("%02d-%s.png", i, name))); err != nil {
				return err
			}
		}
	}
	var out bytes.Buffer
	if err := page.Execute(&out, struct {
		Title string
		Parts []part
	}{title, parts}); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// svg draws a plot as it stands in a page.
func svg(p *plot.Plot, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(chart.Width, h)
	p.Draw(chart.Canvas(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i > 0 { // an XML head has no place inside a page
		text = text[i:]
	}
	return template.HTML(text), nil
}

// Page writes one self-contained page about a run in the model, and its pictures as PNG files into a folder, if one is named.
func Page(path, pictures, name string, s *scenario.Scenario, r *virtual.Result) error {
	parts := []part{summary(s, r)}
	for _, draw := range []func(*scenario.Scenario, *virtual.Result) (part, error){inAimOverTime, trafficOverTime, latencies, levelsOverTime, heat} {
		p, err := draw(s, r)
		if err != nil {
			return err
		}
		if p.Title != "" {
			parts = append(parts, p)
		}
	}
	if len(r.Events) > 0 {
		e := part{Title: "What happened", Head: []string{"at, s", ""}}
		for _, x := range r.Events {
			e.Rows = append(e.Rows, []string{fmt.Sprintf("%.2f", x.At.Seconds()), x.Text})
		}
		parts = append(parts, e)
	}
	return write(path, pictures, name, parts)
}

func summary(s *scenario.Scenario, r *virtual.Result) part {
	p := part{Title: "In short", Head: []string{"class", "asked", "in aim", "late", "refused", "failed", "no answer", "p50, ms", "p99, ms"}}
	for i, c := range r.Classes {
		of := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(c.Offered, 1))) }
		h := r.Latency[i]
		p.Rows = append(p.Rows, []string{s.Classes[i].Name, fmt.Sprint(c.Offered), of(c.InAim), of(c.Late), of(c.Refused), of(c.Failed), fmt.Sprint(c.Silent),
			fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(50))/1e3), fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(99))/1e3)})
	}
	p.Text = fmt.Sprintf("%v of traffic at %.0f requests a second on the mean, %d groups of %d databases, %d proxies. Worth earned: %.1f %%; in the worst ten seconds %.1f %%. "+
		"%d attempts, %d probes, %d changes of primary.", s.Length, meanRate(s), s.Fleet.Groups, s.Fleet.Members, max(s.Proxies, 1), 100*r.Worth, 100*r.Worst10,
		r.Counters.Sent, r.Counters.Probes, len(r.Switches))
	return p
}

func meanRate(s *scenario.Scenario) float64 {
	sum, n := 0.0, 0
	for t := time.Duration(0); t < s.Length; t += s.Length / 100 {
		sum += s.Rate(t)
		n++
	}
	return sum / float64(n)
}

// Comparison writes a page about an experiment: a forest plot for each question, model and sockets side by side. Its pictures
// go into a folder as well, if one is named.
func Comparison(path, pictures string, outcomes []*experiment.Outcome) error {
	first := outcomes[0]
	e := first.Experiment
	parts := []part{{Title: "In short", Text: fmt.Sprintf("%d variants, held against %q. An interval covers all of its question's differences together at the last look, so what has a winner is outside the noise.",
		len(e.Variants), e.Variants[0].Name)}}
	for _, o := range outcomes {
		t := part{Title: fmt.Sprintf("Verdicts (%s, %d pairs)", o.Clock, o.Pairs), Head: []string{"variant", "question", "difference", "from", "to", "p", "verdict"}}
		for _, c := range o.Comparisons {
			t.Rows = append(t.Rows, []string{c.Variant, c.Question.Key(), fmt.Sprintf("%+.4g", c.Mean), fmt.Sprintf("%+.4g", c.Low), fmt.Sprintf("%+.4g", c.High),
				fmt.Sprintf("%.4f", c.Adjusted), c.Comparison.String()})
		}
		parts = append(parts, t)
	}
	for _, q := range e.Questions {
		p, h, err := forest(q, outcomes)
		if err != nil {
			return err
		}
		parts = append(parts, part{Title: q.Key(), plot: p, high: h})
	}
	return write(path, pictures, e.Name, parts)
}

func finite(x, otherwise float64) float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return otherwise
	}
	return x
}
