package analysis

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// table is one table of a report, to be written for a terminal or as Markdown.
type table struct {
	title string
	head  []string
	rows  [][]string
}

// notMeasured stands in a cell that nothing was counted for.
const notMeasured = "-"

// number writes a figure with three digits or so.
func number(x float64) string {
	switch size := math.Abs(x); {
	case size == 0:
		return "0"
	case size >= 1e9:
		return fmt.Sprintf("%.3gG", x/1e9)
	case size >= 1e6:
		return fmt.Sprintf("%.3gM", x/1e6)
	case size >= 1e4:
		return fmt.Sprintf("%.3gk", x/1e3)
	case size >= 100:
		return fmt.Sprintf("%.0f", x)
	case size < 1e-3:
		return fmt.Sprintf("%.2e", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// meanAndPeak writes a sample.
func meanAndPeak(s Sample) string {
	if !s.Measured() {
		return notMeasured
	}
	return number(s.Mean) + " (" + number(s.Peak) + ")"
}

// tables gives all tables of a report, those that have rows.
func (r *Report) tables() []table {
	all := []table{r.costs(), r.traffic(), r.processes(), r.slopes(), r.predictions(), r.events(), r.verdicts(), r.breaches()}
	var list []table
	for _, t := range all {
		if len(t.rows) > 0 {
			list = append(list, t)
		}
	}
	return list
}

func (r *Report) costs() table {
	t := table{title: "Cost by size: mean (peak second)", head: []string{"size", "variant", "series"}}
	metrics := r.measured()
	for _, m := range metrics {
		t.head = append(t.head, m.Label+", "+m.Unit)
	}
	for i := range r.Run.Measurements {
		m := &r.Run.Measurements[i]
		row := []string{m.Size.String() + partial(m), m.Variant, string(m.Vary)}
		for _, metric := range metrics {
			row = append(row, meanAndPeak(metric.Of(m)))
		}
		t.rows = append(t.rows, row)
	}
	return t
}

// measured gives the metrics that any measurement has.
func (r *Report) measured() []Metric {
	var list []Metric
	for _, metric := range Metrics {
		for i := range r.Run.Measurements {
			if metric.Of(&r.Run.Measurements[i]).Measured() {
				list = append(list, metric)
				break
			}
		}
	}
	return list
}

// partial marks a measurement that ended early.
func partial(m *Measurement) string {
	if m.Partial == "" {
		return ""
	}
	return " PARTIAL: " + m.Partial
}

func (r *Report) traffic() table {
	t := table{title: "Traffic of one proxy by kind: mean (peak second)", head: []string{"size", "variant", "series", "kind", "direction", "messages/s", "bytes/s"}}
	for i := range r.Run.Measurements {
		m := &r.Run.Measurements[i]
		for _, kind := range Kinds {
			for _, direction := range Directions {
				for _, x := range m.Traffic {
					if x.Kind == kind && x.Direction == direction {
						t.rows = append(t.rows, []string{m.Size.String(), m.Variant, string(m.Vary), string(kind), string(direction), meanAndPeak(x.Messages), meanAndPeak(x.Bytes)})
					}
				}
			}
		}
	}
	return t
}

func (r *Report) processes() table {
	t := table{title: "Separate processes: mean (peak second)", head: []string{"size", "variant", "process", "role", "CPU, cores", "memory, B", "descriptors", "sent, B/s", "received, B/s"}}
	for i := range r.Run.Measurements {
		m := &r.Run.Measurements[i]
		for _, p := range m.Processes {
			t.rows = append(t.rows, []string{m.Size.String(), m.Variant, p.Name, string(p.Role), meanAndPeak(p.CPU), meanAndPeak(p.Memory),
				meanAndPeak(p.Descriptors), meanAndPeak(p.Sent), meanAndPeak(p.Received)})
		}
	}
	return t
}

func (r *Report) slopes() table {
	t := table{title: "Slopes: least squares, 95% intervals", head: []string{"metric", "variant", "series", "sizes", "slope", "interval", "intercept", "R2", "largest residual", "exponent", "interval", "shape"}}
	for _, f := range r.Fits {
		metric, _ := MetricByName(f.Metric)
		series := string(f.Axis)
		if f.Virtual {
			series += ", virtual"
		}
		row := []string{metric.Label + ", " + f.Unit, f.Variant, series, fmt.Sprint(f.Line.Sizes), number(f.Line.Slope), interval(&f.Line),
			number(f.Line.Intercept), fmt.Sprintf("%.4f", f.Line.R2), number(largest(f.Line.Residuals)), "-", "-", string(f.Power.Shape)}
		if f.Power.Points > 0 {
			row[9], row[10] = fmt.Sprintf("%.2f", f.Power.Slope), exponents(&f.Power)
		}
		if f.Note != "" {
			row[3] += " (" + f.Note + ")"
		}
		t.rows = append(t.rows, row)
	}
	return t
}

// interval writes a slope's.
func interval(l *Line) string {
	if !l.Interval {
		return "none"
	}
	return number(l.SlopeLow) + " to " + number(l.SlopeHigh)
}

// exponents writes the interval of a power law's exponent.
func exponents(p *Power) string {
	if !p.Interval {
		return "none"
	}
	return fmt.Sprintf("%.2f to %.2f", p.SlopeLow, p.SlopeHigh)
}

// largest gives the residual that lies farthest from the line.
func largest(residuals []float64) float64 {
	most := 0.0
	for _, x := range residuals {
		if math.Abs(x) > math.Abs(most) {
			most = x
		}
	}
	return most
}

func (r *Report) predictions() table {
	t := table{title: "Predictions, written before the size ran, and what came", head: []string{"metric", "variant", "series", "size", "model", "predicted", "interval", "measured", "error", "inside"}}
	for _, p := range r.Run.Predictions {
		metric, _ := MetricByName(p.Metric)
		row := []string{metric.Label + ", " + metric.Unit, p.Variant, string(p.Axis), p.Size.String(), string(p.Model), number(p.Value), "none", notMeasured, notMeasured, notMeasured}
		if p.Interval {
			row[6] = number(p.Low) + " to " + number(p.High)
		}
		for _, c := range r.Checks {
			if c.Metric == p.Metric && c.Variant == p.Variant && c.Axis == p.Axis && c.Virtual == p.Virtual && c.Size == p.Size {
				row[7], row[8], row[9] = number(c.Measured), fmt.Sprintf("%+.0f%%", 100*c.Error), yesNo(c.Inside)
			}
		}
		t.rows = append(t.rows, row)
	}
	return t
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func (r *Report) events() table {
	t := table{title: "Events", head: []string{"event", "size", "variant", "until all know", "proxy peak, B/s", "planner peak, B/s", "proxy peak, cores", "planner peak, cores", "wrong sends", "requests", "refused", "stopped"}}
	for _, e := range r.Run.Events {
		until := e.UntilAllKnow.Round(time.Millisecond).String()
		if !e.AllKnew {
			until = "not within " + until
		}
		t.rows = append(t.rows, []string{string(e.Event), e.Size.String(), e.Variant, until, number(e.PeakProxyBytes), number(e.PeakPlannerBytes),
			number(e.PeakProxyCPU), number(e.PeakPlannerCPU), fmt.Sprint(e.WrongSends), fmt.Sprint(e.Requests), fmt.Sprint(e.Refused), stopped(e.Stopped)})
	}
	return t
}

func stopped(list []Stop) string {
	if len(list) == 0 {
		return "nothing"
	}
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%s for %v", s.What, s.For.Round(time.Millisecond)))
	}
	return strings.Join(parts, "; ")
}

func (r *Report) verdicts() table {
	t := table{title: "Verdicts at " + r.Target.String(), head: []string{"budget", "variant", "limit", "unit", "value", "peak", "verdict", "by", "note"}}
	for i := range r.Verdicts {
		v := &r.Verdicts[i]
		row := []string{v.What, v.Variant, number(v.Limit), v.Unit, notMeasured, notMeasured, v.String(), string(v.Basis), v.Why}
		if v.Basis != BasisNone {
			row[4] = number(v.Value)
		}
		if v.Peak > 0 {
			row[5] = number(v.Peak)
		}
		t.rows = append(t.rows, row)
	}
	return t
}

func (r *Report) breaches() table {
	t := table{title: "Budgets broken by a measurement", head: []string{"budget", "variant", "size", "limit", "value", "unit"}}
	for _, b := range r.Breaches {
		t.rows = append(t.rows, []string{b.What, b.Variant, b.Size.String(), number(b.Limit), number(b.Value), b.Unit})
	}
	return t
}
