package report

import (
	"fmt"
	"image/color"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"havenproxy/internal/lab/chart"
	"havenproxy/internal/lab/experiment"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/lab/verdict"
	"havenproxy/internal/lab/virtual"
)

// besides makes room for the legend at the right of a plot over time, where it hides no line.
func besides(p *plot.Plot, s *scenario.Scenario) {
	p.X.Min, p.X.Max = 0, 1.22*s.Length.Seconds()
	p.Legend.Top, p.Legend.Padding = true, vg.Points(2)
}

// marks draws the faults of a scenario as lines across the plot, each with its name once.
func marks(p *plot.Plot, s *scenario.Scenario, low, high float64) error {
	var labels plotter.XYLabels
	add := func(at time.Duration, name string) error {
		l, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: low}, {X: at.Seconds(), Y: high}})
		if err != nil {
			return err
		}
		l.Color, l.Width, l.Dashes = color.Gray{110}, vg.Points(0.8), []vg.Length{3, 3}
		p.Add(l)
		labels.XYs = append(labels.XYs, plotter.XY{X: at.Seconds(), Y: low + (high-low)*0.02})
		labels.Labels = append(labels.Labels, " "+name)
		return nil
	}
	for _, f := range s.Faults {
		if err := add(f.At, fmt.Sprintf("%s, group %d", f.Kind, f.Group)); err != nil {
			return err
		}
	}
	for _, c := range s.Cuts {
		if err := add(c.At, "cut"); err != nil {
			return err
		}
	}
	if len(labels.Labels) == 0 || len(labels.Labels) > 20 { // more would hide the lines
		return nil
	}
	text, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	for i := range text.TextStyle {
		text.TextStyle[i].Rotation = math.Pi / 2
		text.TextStyle[i].Color = color.Gray{70}
	}
	p.Add(text)
	return nil
}

func finished(p *plot.Plot, title, text string) (part, error) {
	return part{Title: title, Text: text, plot: p, high: chart.Height}, nil
}

func inAimOverTime(s *scenario.Scenario, r *virtual.Result) (part, error) {
	p := chart.New("time of the request, s", "answered in aim, %")
	p.Y.Min, p.Y.Max = 0, 105
	besides(p, s)
	for i := range s.Classes {
		var xy plotter.XYs
		for t, x := range r.Seconds {
			if c := x.Classes[i]; c.Offered > 0 {
				xy = append(xy, plotter.XY{X: float64(t) + 0.5, Y: 100 * float64(c.InAim) / float64(c.Offered)})
			}
		}
		if len(xy) > 1 {
			if err := chart.Line(p, i, s.Classes[i].Name, xy); err != nil {
				return part{}, err
			}
		}
	}
	if err := marks(p, s, 0, 105); err != nil {
		return part{}, err
	}
	return finished(p, "Answered in aim", "Each second by class, by when the request came. Faults are marked where they begin.")
}

func trafficOverTime(s *scenario.Scenario, r *virtual.Result) (part, error) {
	p := chart.New("time of the request, s", "requests a second")
	var offered, aim plotter.XYs
	most := 0.0
	for t, x := range r.Seconds {
		if x.Offered > 0 {
			offered = append(offered, plotter.XY{X: float64(t) + 0.5, Y: float64(x.Offered)})
			aim = append(aim, plotter.XY{X: float64(t) + 0.5, Y: float64(x.InAim)})
			most = max(most, float64(x.Offered))
		}
	}
	if len(offered) < 2 {
		return part{}, nil
	}
	p.Y.Min, p.Y.Max = 0, 1.1*most
	besides(p, s)
	if err := chart.Line(p, 6, "asked", offered); err != nil {
		return part{}, err
	}
	if err := chart.Line(p, 0, "answered in aim", aim); err != nil {
		return part{}, err
	}
	if err := marks(p, s, 0, 1.1*most); err != nil {
		return part{}, err
	}
	return finished(p, "Traffic", "")
}

// latencies draws answer times against their rank, both on log scales, so that the tail can be read.
func latencies(s *scenario.Scenario, r *virtual.Result) (part, error) {
	p := chart.New("part of the requests that took longer, %", "answer time, ms")
	p.X.Scale, p.Y.Scale = falling{}, plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 100, Label: "100"}, {Value: 50, Label: "50"}, {Value: 10, Label: "10"}, {Value: 1, Label: "1"}, {Value: 0.1, Label: "0.1"}, {Value: 0.01, Label: "0.01"}}
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 1, Label: "1"}, {Value: 3, Label: "3"}, {Value: 10, Label: "10"}, {Value: 30, Label: "30"}, {Value: 100, Label: "100"}, {Value: 300, Label: "300"}, {Value: 1000, Label: "1000"}, {Value: 3000, Label: "3000"}, {Value: 10000, Label: "10000"}}
	p.Legend.Left = true
	n := 0
	for i, h := range r.Latency {
		var xy plotter.XYs
		for over := 100.0; over >= 0.01; over /= 1.15 {
			if float64(h.TotalCount())*over/100 < 1 {
				break
			}
			xy = append(xy, plotter.XY{X: over, Y: max(float64(h.ValueAtQuantile(100-over))/1e3, 0.1)})
		}
		if len(xy) > 1 {
			n++
			if err := chart.Line(p, i, s.Classes[i].Name, xy); err != nil {
				return part{}, err
			}
		}
	}
	if n == 0 {
		return part{}, nil
	}
	p.X.Min, p.X.Max = 0.01, 100
	return finished(p, "Answer times", "Of what was served, from when the request came. Further right are the slower ones.")
}

// falling is a log scale whose large values stand on the left.
type falling struct{}

// Normalize implements plot.Normalizer.
func (falling) Normalize(low, high, x float64) float64 {
	return (math.Log(high) - math.Log(max(x, low))) / (math.Log(high) - math.Log(low))
}

func levelsOverTime(s *scenario.Scenario, r *virtual.Result) (part, error) {
	if len(r.Changes) == 0 {
		return part{}, nil
	}
	p := chart.New("time, s", "level of reduced service (0 = normal)")
	lines := map[int]plotter.XYs{}
	var order []int
	top := 1.0
	for _, c := range r.Changes {
		g := c.Group
		if lines[g] == nil {
			lines[g] = plotter.XYs{{X: 0, Y: 0}}
			order = append(order, g)
		}
		at, to := virtual.SinceBegin(c.At).Seconds(), float64(max(slices.Index(r.Ladder, c.To), 0))
		last := lines[g][len(lines[g])-1].Y
		lines[g] = append(lines[g], plotter.XY{X: at, Y: last}, plotter.XY{X: at, Y: to})
		top = max(top, to)
	}
	for i, g := range order {
		if i >= len(chart.Colours) {
			break
		}
		xy := append(lines[g], plotter.XY{X: s.Length.Seconds(), Y: lines[g][len(lines[g])-1].Y})
		if err := chart.Line(p, i, fmt.Sprintf("group %d", g), xy); err != nil {
			return part{}, err
		}
	}
	p.Y.Min, p.Y.Max = 0, top+0.5
	besides(p, s)
	if err := marks(p, s, 0, top+0.5); err != nil {
		return part{}, err
	}
	return finished(p, "Levels", "At the first proxy. "+strings.Join(r.Ladder, ", ")+".")
}

// grid is the load of databases as a heat map wants it.
type grid struct {
	load [][]float64 // by second and database
}

func (g grid) Dims() (c, r int)   { return len(g.load), len(g.load[0]) }
func (g grid) Z(c, r int) float64 { return min(g.load[c][r], 1.2) }
func (g grid) X(c int) float64    { return float64(c) + 0.5 }
func (g grid) Y(r int) float64    { return float64(r) }

func heat(s *scenario.Scenario, r *virtual.Result) (part, error) {
	if len(r.Load) < 2 || len(r.Load[0]) < 2 {
		return part{}, nil
	}
	p := chart.New("time, s", "database")
	m := moreland.ExtendedBlackBody() // its lightness rises evenly: it reads in grey as well
	m.SetMin(0)
	m.SetMax(1.2)
	h := plotter.NewHeatMap(grid{r.Load}, m.Palette(120))
	h.Min, h.Max = 0, 1.2
	p.Add(h)
	var text strings.Builder
	fmt.Fprintf(&text, "Work begun in each second, as a part of what its warm cores can do: black is none, white is 1.2 times and more. Databases are numbered by group: %d each, the first of which starts as primary.", s.Fleet.Members)
	return finished(p, "Load of the databases", text.String())
}

// forest draws the differences of a question, with their intervals.
func forest(q experiment.Question, outcomes []*experiment.Outcome) (*plot.Plot, vg.Length, error) {
	p := chart.New(fmt.Sprintf("difference: %s", q.Key()), "")
	var names []string
	low, high := 0.0, 0.0
	row := 0.0
	for _, o := range outcomes {
		for _, c := range o.Comparisons {
			if c.Question != q {
				continue
			}
			from, to := finite(c.Low, c.Mean), finite(c.High, c.Mean)
			low, high = min(low, from), max(high, to)
			i := map[verdict.Answer]int{verdict.CannotTell: 6, verdict.Better: 0, verdict.Worse: 1}[c.Answer]
			l, err := plotter.NewLine(plotter.XYs{{X: from, Y: row}, {X: to, Y: row}})
			if err != nil {
				return nil, 0, err
			}
			l.Color, l.Width = chart.Colours[i], vg.Points(2)
			dot, err := plotter.NewScatter(plotter.XYs{{X: c.Mean, Y: row}})
			if err != nil {
				return nil, 0, err
			}
			dot.GlyphStyle = draw.GlyphStyle{Color: chart.Colours[i], Radius: vg.Points(4), Shape: map[verdict.Answer]draw.GlyphDrawer{
				verdict.CannotTell: draw.CircleGlyph{}, verdict.Better: draw.TriangleGlyph{}, verdict.Worse: draw.BoxGlyph{}}[c.Answer]}
			p.Add(l, dot)
			names = append(names, fmt.Sprintf("%s, %s: %s", c.Variant, o.Clock, c.Answer))
			row++
		}
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.7}, {X: 0, Y: row - 0.3}})
	if err != nil {
		return nil, 0, err
	}
	zero.Color, zero.Dashes = color.Gray{90}, []vg.Length{4, 3}
	p.Add(zero)
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -0.7, row-0.3
	pad := 0.05 * max(high-low, 1e-9)
	p.X.Min, p.X.Max = low-pad, high+pad
	return p, vg.Length(2.5+1.0*row) * vg.Centimeter, nil
}

// SweepPlot draws a sweep's first question: means with their standard errors, or a heat map of two settings.
func SweepPlot(path string, o *experiment.Outcome) error {
	e := o.Experiment
	s, key := e.Sweep, e.Questions[0].Key()
	if len(s.Names) == 2 {
		return sweepMap(path, o)
	}
	p := chart.New(s.Names[0], key)
	var xy plotter.XYs
	var errs plotter.YErrors
	for i, v := range e.Variants {
		var x []float64
		for _, r := range o.Runs[v.Name] {
			x = append(x, r[key])
		}
		mean, dev := stat.MeanStdDev(x, nil)
		se := stat.StdErr(dev, float64(len(x)))
		xy = append(xy, plotter.XY{X: float64(i), Y: mean})
		errs = append(errs, struct{ Low, High float64 }{se, se})
	}
	if err := chart.Line(p, 0, key, xy); err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYs
		plotter.YErrors
	}{xy, errs})
	if err != nil {
		return err
	}
	bars.Color = chart.Colours[0]
	p.Add(bars)
	p.NominalX(s.Values[0]...)
	p.Legend = plot.NewLegend()
	return p.Save(chart.Width, chart.Height, path)
}

type sweepGrid struct {
	o   *experiment.Outcome
	key string
}

func (g sweepGrid) Dims() (c, r int) {
	s := g.o.Experiment.Sweep
	return len(s.Values[0]), len(s.Values[1])
}
func (g sweepGrid) Z(c, r int) float64 {
	s := g.o.Experiment.Sweep
	return g.o.Mean(g.o.Experiment.Variants[r*len(s.Values[0])+c].Name, g.key)
}
func (g sweepGrid) X(c int) float64 { return float64(c) }
func (g sweepGrid) Y(r int) float64 { return float64(r) }

func sweepMap(path string, o *experiment.Outcome) error {
	e := o.Experiment
	s, key := e.Sweep, e.Questions[0].Key()
	g := sweepGrid{o, key}
	p := chart.New(s.Names[0], s.Names[1])
	low, high := math.Inf(1), math.Inf(-1)
	var labels plotter.XYLabels
	for c := range s.Values[0] {
		for r := range s.Values[1] {
			z := g.Z(c, r)
			low, high = min(low, z), max(high, z)
			labels.XYs = append(labels.XYs, plotter.XY{X: float64(c), Y: float64(r)})
			labels.Labels = append(labels.Labels, fmt.Sprintf("%.4f", z))
		}
	}
	m := moreland.ExtendedBlackBody()
	m.SetMin(low)
	m.SetMax(high + 1e-12)
	h := plotter.NewHeatMap(g, m.Palette(100))
	text, err := plotter.NewLabels(labels) // the numbers themselves: a colour is no figure
	if err != nil {
		return err
	}
	for i := range text.TextStyle {
		text.TextStyle[i].XAlign, text.TextStyle[i].YAlign = -0.5, -0.5
		if z := g.Z(i/len(s.Values[1]), i%len(s.Values[1])); z < (low+high)/2 {
			text.TextStyle[i].Color = color.White
		}
	}
	p.Add(h, text)
	p.NominalX(s.Values[0]...)
	p.NominalY(s.Values[1]...)
	p.Title.Text = key
	return p.Save(chart.Width, 1.4*chart.Height, path)
}
