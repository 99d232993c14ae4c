package report

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot/plotter"

	"havenproxy/internal/lab/chart"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/scenario"
)

// RunPage writes one self-contained page about runs on sockets, and its pictures as PNG files into a folder, if one is named.
func RunPage(path, pictures string, s *scenario.Scenario, runs []*play.Run) error {
	var parts []part
	for _, r := range runs {
		own, err := runParts(s, r)
		if err != nil {
			return err
		}
		if len(runs) > 1 {
			for i := range own {
				own[i].Title = fmt.Sprintf("Seed %d: %s", r.Seed, strings.ToLower(own[i].Title[:1])+own[i].Title[1:])
			}
		}
		parts = append(parts, own...)
	}
	return write(path, pictures, runs[0].Scenario, parts)
}

func runParts(s *scenario.Scenario, r *play.Run) ([]part, error) {
	head := part{Title: "In short", Head: []string{"class", "asked", "in aim", "late", "refused", "failed", "unsent", "no answer", "p50, ms", "p99", "p99.9", "uncorrected p50", "p99", "p99.9"}}
	offered := 0
	for i := range r.Load.Classes {
		c := &r.Load.Classes[i]
		row := []string{c.Name, fmt.Sprint(c.Offered)}
		offered += c.Offered
		for _, name := range load.Names {
			row = append(row, fmt.Sprintf("%.1f %%", 100*float64(c.Outcomes[name])/float64(max(c.Offered, 1))))
		}
		for _, x := range []float64{c.P50, c.P99, c.P999, c.SentP50, c.SentP99, c.SentP999} {
			row = append(row, fmt.Sprintf("%.0f", x))
		}
		head.Rows = append(head.Rows, row)
	}
	head.Text = fmt.Sprintf("Against the real program on loopback, open loop. Worth earned: %.1f %%; in the worst ten seconds %.1f %%. The proxy took %.0f us of CPU a request and held %.1f MB at most. "+
		"Answer times count from when a request was due; the uncorrected ones from when it went out, as a generator that waits would have it. The generator was late by %.1f ms (p99), %.0f ms at most.",
		100*r.Load.Worth, 100*r.Load.Worst10, float64(r.CPU.Microseconds())/float64(max(offered, 1)), float64(r.Memory)/1e6, r.Load.LateP99, r.Load.LateMax)
	for _, m := range r.Load.Marked {
		head.Text += " MARKED: " + m + "."
	}
	parts := []part{head}
	p := chart.New("time at which requests were due, s", "requests in a tenth of a second")
	var asked, aim, longest plotter.XYs
	most, slowest := 1.0, 1.0
	for i, x := range r.Load.Tenths {
		at := (float64(i) + 0.5) / 10
		asked = append(asked, plotter.XY{X: at, Y: float64(x.Offered)})
		aim = append(aim, plotter.XY{X: at, Y: float64(x.InAim)})
		longest = append(longest, plotter.XY{X: at, Y: x.Longest})
		most, slowest = max(most, float64(x.Offered)), max(slowest, x.Longest)
	}
	if len(asked) < 2 {
		return parts, nil
	}
	besides(p, s)
	p.Y.Min, p.Y.Max = 0, 1.1*most
	if err := chart.Line(p, 6, "asked", asked); err != nil {
		return nil, err
	}
	if err := chart.Line(p, 0, "answered in aim", aim); err != nil {
		return nil, err
	}
	if err := marks(p, s, 0, 1.1*most); err != nil {
		return nil, err
	}
	parts = append(parts, part{Title: "Traffic", plot: p, high: chart.Height})
	p = chart.New("time at which requests were due, s", "longest answer, ms")
	besides(p, s)
	p.Y.Min, p.Y.Max = 0, 1.1*slowest
	if err := chart.Line(p, 1, "longest", longest); err != nil {
		return nil, err
	}
	if err := marks(p, s, 0, 1.1*slowest); err != nil {
		return nil, err
	}
	parts = append(parts, part{Title: "Longest answers", Text: "Of what was served, by tenths of a second of the schedule.", plot: p, high: chart.Height})
	if len(r.Events) > 0 {
		e := part{Title: "What happened", Head: []string{"at, s", ""}}
		for _, x := range r.Events {
			at, text, _ := strings.Cut(strings.TrimSpace(x), " ")
			e.Rows = append(e.Rows, []string{at, text})
		}
		parts = append(parts, e)
	}
	return parts, nil
}
