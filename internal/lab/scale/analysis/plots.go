package analysis

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"havenproxy/internal/lab/chart"
)

// WritePlots draws each fitted metric against size, along each axis, into a folder as SVG, with the budget as a line, and gives the files'
// names. Variants stand side by side in one plot.
func (r *Report) WritePlots(folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	var names []string
	for _, axis := range Axes {
		for _, metric := range Metrics {
			fits := r.fitsOf(metric.Name, axis)
			if len(fits) == 0 {
				continue
			}
			p, err := plotFits(metric, axis, fits, r.Run.Predictions)
			if err != nil {
				return names, err
			}
			name := fmt.Sprintf("%s-%s.svg", metric.Name, axis)
			if err := p.Save(chart.Width, chart.Height, filepath.Join(folder, name)); err != nil {
				return names, err
			}
			names = append(names, name)
		}
	}
	return names, nil
}

// fitsOf gives the fits of one metric along one axis.
func (r *Report) fitsOf(name MetricName, axis Axis) []Fit {
	var list []Fit
	for _, f := range r.Fits {
		if f.Metric == name && f.Axis == axis {
			list = append(list, f)
		}
	}
	return list
}

func plotFits(metric Metric, axis Axis, fits []Fit, predictions []Prediction) (*plot.Plot, error) {
	x := map[Axis]string{AxisBoth: "proxies, databases in proportion", AxisProxies: "proxies", AxisDatabases: "databases"}[axis]
	p := chart.New(x, metric.Label+", "+metric.Unit)
	p.Legend.Left = true
	limit, budgeted := BudgetOf(metric.Name)
	y := axisFor(fits, limit)
	right := 0.0
	for i, f := range fits {
		right = max(right, slices.Max(f.X))
		if err := addFit(p, i, f, y.low); err != nil {
			return nil, err
		}
		if err := addPredictions(p, i, f, predictions, y.low); err != nil {
			return nil, err
		}
	}
	if budgeted {
		if err := addBudget(p, limit, right); err != nil {
			return nil, err
		}
	}
	y.apply(p) // behind all lines: each stretches the axes to itself
	p.X.Min, p.X.Max = 0, 1.03*right
	return p, nil
}

// widestLinear is the ratio of the largest value to the smallest above which a linear axis hides the small ones.
const widestLinear = 30

// legendRoom is how many times the largest value a logarithmic axis reaches beyond it.
const legendRoom = 100

// costAxis is the range of a plot's costs.
type costAxis struct {
	low, high   float64
	logarithmic bool
}

// axisFor chooses the axis of costs, with room for the legend above them. limit is the budget, 0 where there is none.
func axisFor(fits []Fit, limit float64) costAxis {
	low, high := math.Inf(1), limit
	for _, f := range fits {
		low, high = min(low, slices.Min(f.Y)), max(high, slices.Max(f.Y))
	}
	if limit > 0 {
		low = min(low, limit)
	}
	switch {
	case low > 0 && high > widestLinear*low:
		return costAxis{low / 2, high * legendRoom, true}
	case high <= 0:
		return costAxis{0, 1, false}
	}
	return costAxis{0, 1.5 * high, false}
}

// apply sets a plot's axis.
func (a costAxis) apply(p *plot.Plot) {
	p.Y.Min, p.Y.Max = a.low, a.high
	if a.logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
}

// addFit draws what was measured and the line through it, cut off at the axis.
func addFit(p *plot.Plot, i int, f Fit, floor float64) error {
	var measured, fitted plotter.XYs
	for k := range f.X {
		measured = append(measured, plotter.XY{X: f.X[k], Y: f.Y[k]})
		fitted = append(fitted, plotter.XY{X: f.X[k], Y: max(f.Line.At(f.X[k]), floor)})
	}
	name := f.Variant
	if f.Virtual {
		name += ", virtual time"
	}
	if err := chart.Points(p, i, name+", measured", measured); err != nil {
		return err
	}
	return chart.Line(p, i, name+", line", fitted)
}

// addPredictions draws the intervals that were written down before the size ran.
func addPredictions(p *plot.Plot, i int, f Fit, predictions []Prediction, floor float64) error {
	for _, prediction := range predictions {
		own := prediction.Metric == f.Metric && f.same(Series{Variant: prediction.Variant, Axis: prediction.Axis, Virtual: prediction.Virtual})
		if !own || !prediction.Interval {
			continue
		}
		x := f.Axis.X(prediction.Size)
		bar, err := plotter.NewLine(plotter.XYs{{X: x, Y: max(prediction.Low, floor)}, {X: x, Y: max(prediction.High, floor)}})
		if err != nil {
			return err
		}
		bar.Color, bar.Width = chart.Colours[i%len(chart.Colours)], vg.Points(4)
		p.Add(bar)
		p.Legend.Add(f.Variant+", prediction", bar)
	}
	return nil
}

// addBudget draws the budget across the plot.
func addBudget(p *plot.Plot, limit, right float64) error {
	l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: limit}, {X: right, Y: limit}})
	if err != nil {
		return err
	}
	l.Color, l.Width, l.Dashes = color.RGBA{180, 0, 0, 255}, vg.Points(1.4), []vg.Length{8, 4}
	p.Add(l)
	p.Legend.Add(fmt.Sprintf("budget, %s", number(limit)), l)
	return nil
}
