package analysis

import (
	"fmt"
	"math"
)

// Model names what a prediction is made by.
type Model string

// The models.
const (
	ModelLine  Model = "line"
	ModelPower Model = "power law"
)

// PredictSize says what a size will cost, from those measured so far: the runner calls it before that size begins and keeps the result.
// A straight line is carried on, except where the log-log exponent lies above linear: then the power law.
// Measurements of the size itself are left out, so the result is the same when it is called afterwards.
func PredictSize(r *Run, variant string, axis Axis, virtual bool, size Size) []Prediction {
	wanted := Series{Variant: variant, Axis: axis, Virtual: virtual}
	var list []Prediction
	for _, s := range SeriesOf(r) {
		if !s.same(wanted) {
			continue
		}
		smaller := s.smallerThan(size)
		for _, m := range Metrics {
			if p, ok := predict(&smaller, m, size); ok {
				list = append(list, p)
			}
		}
	}
	return list
}

// smallerThan leaves out a size and what is larger along the series.
func (s Series) smallerThan(size Size) Series {
	points := s.points
	s.points = nil
	for _, point := range points {
		if s.Axis.X(point.Size) < s.Axis.X(size) {
			s.points = append(s.points, point)
		}
	}
	return s
}

func predict(s *Series, m Metric, size Size) (Prediction, bool) {
	x, y, sizes := s.values(m)
	line, err := FitLine(x, y)
	if err != nil {
		return Prediction{}, false
	}
	p := Prediction{Metric: m.Name, Variant: s.Variant, Axis: s.Axis, Virtual: s.Virtual, Size: size, From: sizes, Model: ModelLine}
	p.Value, p.Low, p.High, p.Interval = line.Predict(s.Axis.X(size))
	if power := FitPower(x, y); power.Shape == ShapeSuperlinear || power.Shape == ShapeQuadratic {
		p.Model = ModelPower
		p.Value, p.Low, p.High, p.Interval = power.Predict(s.Axis.X(size))
	}
	p.Low = max(p.Low, 0) // no cost is negative
	return p, true
}

// Check holds a prediction against what came.
type Check struct {
	Prediction
	Measured float64 `json:"measured"` // the metric's unit
	Error    float64 `json:"error"`    // (Measured - Value) / Value; 0 where Value is 0
	Inside   bool    `json:"inside"`   // Measured lies in the prediction interval; false also where there is none
}

// CheckPredictions holds a run's predictions against its measurements; predictions for a size that did not run are left out.
func CheckPredictions(r *Run) []Check {
	var list []Check
	for _, p := range r.Predictions {
		metric, known := MetricByName(p.Metric)
		m := find(r, p)
		if !known || m == nil || !metric.Of(m).Measured() {
			continue
		}
		c := Check{Prediction: p, Measured: metric.Of(m).Mean}
		if p.Value != 0 {
			c.Error = (c.Measured - p.Value) / math.Abs(p.Value)
		}
		c.Inside = p.Interval && c.Measured >= p.Low && c.Measured <= p.High
		list = append(list, c)
	}
	return list
}

// find gives the whole measurement that a prediction was made for, nil where there is none.
func find(r *Run, p Prediction) *Measurement {
	for i := range r.Measurements {
		m := &r.Measurements[i]
		if m.Size == p.Size && m.Variant == p.Variant && m.Vary == p.Axis && m.Virtual == p.Virtual && m.Partial == "" {
			return m
		}
	}
	return nil
}

// String writes a prediction as the run prints it before the size begins.
func (p Prediction) String() string {
	metric, _ := MetricByName(p.Metric)
	text := fmt.Sprintf("%v %s: %s %s", p.Size, metric.Label, number(p.Value), metric.Unit)
	if !p.Interval {
		return fmt.Sprintf("%s by a %s through %d points, no interval", text, p.Model, len(p.From))
	}
	return fmt.Sprintf("%s (95%%: %s to %s) by a %s through %d points", text, number(p.Low), number(p.High), p.Model, len(p.From))
}
