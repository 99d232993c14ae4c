package analysis

import "slices"

// Axis says which part of the size a series varies.
type Axis string

// The axes, as --vary names them.
const (
	AxisBoth      Axis = "both"      // databases in proportion to proxies; x is the number of proxies
	AxisProxies   Axis = "proxies"   // the number of databases is fixed
	AxisDatabases Axis = "databases" // the number of proxies is fixed
)

// Axes lists all axes in the order in which tables show them.
var Axes = []Axis{AxisBoth, AxisProxies, AxisDatabases}

// X gives the number that an axis varies.
func (a Axis) X(s Size) float64 {
	if a == AxisDatabases {
		return float64(s.Databases)
	}
	return float64(s.Proxies)
}

// Series is the measurements that one line is fitted to: of one variant, one axis, and one kind of clock.
type Series struct {
	Variant string `json:"variant"`
	Axis    Axis   `json:"axis"`
	Virtual bool   `json:"virtual"`

	points []*Measurement
}

// SeriesOf sorts a run's measurements into series. Partial measurements are left out: their window is not that of the others.
func SeriesOf(r *Run) []Series {
	var list []Series
	for i := range r.Measurements {
		m := &r.Measurements[i]
		if m.Partial != "" {
			continue
		}
		s := Series{Variant: m.Variant, Axis: m.Vary, Virtual: m.Virtual}
		at := slices.IndexFunc(list, func(other Series) bool { return other.same(s) })
		if at < 0 {
			list, at = append(list, s), len(list)
		}
		list[at].points = append(list[at].points, m)
	}
	return list
}

// same tells whether two series vary the same thing in the same way.
func (s Series) same(o Series) bool {
	return s.Variant == o.Variant && s.Axis == o.Axis && s.Virtual == o.Virtual
}

// values gives a metric's points, those that were measured.
func (s *Series) values(m Metric) (x, y []float64, sizes []Size) {
	for _, point := range s.points {
		sample := m.Of(point)
		if !sample.Measured() {
			continue
		}
		x = append(x, s.Axis.X(point.Size))
		y = append(y, sample.Mean)
		sizes = append(sizes, point.Size)
	}
	return x, y, sizes
}

// Fit is how one metric grows along one series.
type Fit struct {
	Series
	Metric MetricName `json:"metric"`
	Unit   string     `json:"unit"`
	X      []float64  `json:"x"` // proxies or databases, by the axis
	Y      []float64  `json:"y"` // means, in Unit
	Line   Line       `json:"line"`
	Power  Power      `json:"power"`
	Note   string     `json:"note,omitempty"` // what keeps the fit from being evidence; empty = nothing
}

// FitSeries fits all metrics that were measured at two sizes at least.
func FitSeries(s Series) []Fit {
	var list []Fit
	for _, m := range Metrics {
		x, y, _ := s.values(m)
		line, err := FitLine(x, y)
		if err != nil {
			continue
		}
		f := Fit{Series: s, Metric: m.Name, Unit: m.Unit, X: x, Y: y, Line: line, Power: FitPower(x, y)}
		if !line.Enough() {
			f.Note = "fewer than four sizes: no evidence of a slope"
		}
		list = append(list, f)
	}
	return list
}
