package analysis

import (
	"fmt"
	"time"
)

// The budgets of the target, as the operators state them. 2 KB is read as 2,000 bytes and 64 MB as 64,000,000, the stricter readings.
const (
	BudgetControlCPU   = 0.013 // share of one core that a proxy may spend for control
	BudgetMemory       = 64e6  // bytes that a proxy may hold for control
	BudgetControlBytes = 2000  // bytes a second and proxy, both ways, all control traffic together
	BudgetProbes       = 10    // health checks a second and proxy

	BudgetPolicy   = 5 * time.Second  // from a change of configuration until it is in force everywhere
	BudgetFailover = 18 * time.Second // from a primary's crash until all use the new one
)

// largeFactor is from which factor on a verdict says "bears by a factor".
const largeFactor = 2

// Budget bounds one metric's mean for one proxy.
type Budget struct {
	Metric MetricName
	Limit  float64 // the metric's unit
}

// Budgets are those of the metrics, in the order in which tables show them.
var Budgets = []Budget{
	{MetricControlCPU, BudgetControlCPU},
	{MetricMemory, BudgetMemory},
	{MetricControlBytes, BudgetControlBytes},
	{MetricProbes, BudgetProbes},
}

// EventBudget bounds the time until all know of an event.
type EventBudget struct {
	Event Event
	Limit time.Duration
}

// EventBudgets are those of the events.
var EventBudgets = []EventBudget{
	{EventPolicyChanges, BudgetPolicy},
	{EventPrimaryCrash, BudgetFailover},
}

// BudgetOf gives a metric's budget; ok = false where there is none.
func BudgetOf(name MetricName) (limit float64, ok bool) {
	for _, b := range Budgets {
		if b.Metric == name {
			return b.Limit, true
		}
	}
	return 0, false
}

// Outcome is a verdict's word.
type Outcome string

// The outcomes.
const (
	Bears         Outcome = "bears"
	BearsByFactor Outcome = "bears by a factor"
	DoesNotBear   Outcome = "does not bear"
	NotShown      Outcome = "not shown"
)

// Basis says what a verdict rests on.
type Basis string

// The bases.
const (
	BasisMeasured  Basis = "measured"
	BasisPredicted Basis = "predicted"
	BasisNone      Basis = "none"
)

// Verdict says whether the target size keeps one budget.
type Verdict struct {
	What    string  `json:"what"` // the metric's label or the event's name
	Variant string  `json:"variant"`
	Unit    string  `json:"unit"`
	Limit   float64 `json:"limit"`  // in Unit
	Value   float64 `json:"value"`  // in Unit, measured or predicted; 0 where Basis is none
	Judged  float64 `json:"judged"` // what was held against Limit: Value, or the end of the prediction's interval that decides
	Peak    float64 `json:"peak"`   // in Unit, measured; 0 where it is not
	Outcome Outcome `json:"outcome"`
	Basis   Basis   `json:"basis"`
	Why     string  `json:"why,omitempty"` // why it is not shown, or what limits it
}

// Factor is how many times the judged value fits into the limit; below 1 it doesn't. 0 where there is none.
func (v *Verdict) Factor() float64 {
	if v.Judged <= 0 {
		return 0
	}
	return v.Limit / v.Judged
}

// String writes the outcome with its factor.
func (v *Verdict) String() string {
	switch v.Outcome {
	case BearsByFactor:
		if v.Judged <= 0 {
			return "bears, nothing spent"
		}
		return fmt.Sprintf("bears by %.1f times", v.Factor())
	case DoesNotBear:
		return fmt.Sprintf("does not bear: %.1f times the budget", v.Judged/v.Limit)
	}
	return string(v.Outcome)
}

// judge holds a value against the limit.
func (v *Verdict) judge(value float64) {
	v.Judged = value
	switch {
	case value > v.Limit:
		v.Outcome = DoesNotBear
	case value*largeFactor <= v.Limit:
		v.Outcome = BearsByFactor
	default:
		v.Outcome = Bears
	}
}

// Judge gives the verdicts of one variant at a size: of the metrics from a measurement there, else from a prediction whose whole interval
// lies on one side of the budget; of events from what was measured there.
func Judge(r *Run, variant string, size Size) []Verdict {
	var list []Verdict
	for _, b := range Budgets {
		list = append(list, judgeMetric(r, b, variant, size))
	}
	for _, b := range EventBudgets {
		list = append(list, judgeEvent(r, b, variant, size))
	}
	return list
}

func judgeMetric(r *Run, b Budget, variant string, size Size) Verdict {
	metric, _ := MetricByName(b.Metric)
	v := Verdict{What: metric.Label, Variant: variant, Unit: metric.Unit, Limit: b.Limit, Outcome: NotShown, Basis: BasisNone,
		Why: "neither measured nor predicted"}
	for i := range r.Measurements {
		m := &r.Measurements[i]
		sample := metric.Of(m)
		if m.Variant != variant || m.Size != size || m.Partial != "" || !sample.Measured() {
			continue
		}
		// Of several measurements the worst decides.
		if v.Basis == BasisNone || sample.Mean > v.Value {
			v.Value, v.Peak, v.Basis, v.Why = sample.Mean, sample.Peak, BasisMeasured, ""
			v.judge(sample.Mean)
		}
	}
	if v.Basis == BasisNone {
		judgePredicted(&v, r, b, variant, size)
	}
	return v
}

func judgePredicted(v *Verdict, r *Run, b Budget, variant string, size Size) {
	for _, p := range r.Predictions {
		if p.Metric != b.Metric || p.Variant != variant || p.Size != size {
			continue
		}
		v.Value, v.Basis = p.Value, BasisPredicted
		switch {
		case !p.Interval || len(p.From) < LeastSizes:
			v.Why = fmt.Sprintf("predicted from %d sizes, %d are needed", len(p.From), LeastSizes)
		case p.High <= b.Limit:
			v.judge(p.High)
			v.Why = "by the upper end of the prediction"
		case p.Low > b.Limit:
			v.judge(p.Low)
			v.Why = "by the lower end of the prediction"
		default:
			v.Why = "the budget lies inside the prediction's interval"
		}
		return
	}
}

func judgeEvent(r *Run, b EventBudget, variant string, size Size) Verdict {
	v := Verdict{What: string(b.Event), Variant: variant, Unit: "s until all know", Limit: b.Limit.Seconds(), Outcome: NotShown, Basis: BasisNone,
		Why: "not measured"}
	for _, e := range r.Events {
		if e.Event != b.Event || e.Variant != variant {
			continue
		}
		took := e.UntilAllKnow.Seconds()
		switch {
		case e.Size != size && v.Basis == BasisNone:
			v.Why = fmt.Sprintf("measured at %v only", e.Size)
		case e.Size != size:
		case v.Basis == BasisMeasured && took <= v.Value: // of several the slowest decides
		case !e.AllKnew && e.UntilAllKnow <= b.Limit:
			v.Value, v.Basis, v.Outcome, v.Why = took, BasisMeasured, NotShown, "the run stopped waiting within the budget"
		default:
			v.Value, v.Basis, v.Why = took, BasisMeasured, ""
			v.judge(took)
		}
	}
	return v
}

// Breach is a budget that a measurement broke, at whichever size.
type Breach struct {
	What    string  `json:"what"`
	Variant string  `json:"variant"`
	Size    Size    `json:"size"`
	Unit    string  `json:"unit"`
	Limit   float64 `json:"limit"` // in Unit
	Value   float64 `json:"value"` // in Unit
}

// Breaches lists every budget that was measured and broken. The run's exit code is 1 where there is one.
func Breaches(r *Run) []Breach {
	var list []Breach
	for i := range r.Measurements {
		m := &r.Measurements[i]
		for _, b := range Budgets {
			metric, _ := MetricByName(b.Metric)
			if sample := metric.Of(m); sample.Measured() && sample.Mean > b.Limit {
				list = append(list, Breach{metric.Label, m.Variant, m.Size, metric.Unit, b.Limit, sample.Mean})
			}
		}
	}
	for _, e := range r.Events {
		for _, b := range EventBudgets {
			if e.Event == b.Event && e.UntilAllKnow > b.Limit {
				list = append(list, Breach{string(e.Event), e.Variant, e.Size, "s until all know", b.Limit.Seconds(), e.UntilAllKnow.Seconds()})
			}
		}
	}
	return list
}
