package analysis

import "slices"

// Report is a run with what follows from it. It is what --json writes.
type Report struct {
	Run      *Run      `json:"run"`
	Target   Size      `json:"target"`   // the size that Verdicts are for
	Fits     []Fit     `json:"fits"`     // each metric along each series
	Checks   []Check   `json:"checks"`   // predictions against what came
	Verdicts []Verdict `json:"verdicts"` // of each variant at Target
	Breaches []Breach  `json:"breaches"` // budgets that a measurement broke
}

// Analyse draws everything from a run. Verdicts are for target, which is Target but in tests and small trials.
func Analyse(r *Run, target Size) *Report {
	out := &Report{Run: r, Target: target, Checks: CheckPredictions(r), Breaches: Breaches(r)}
	for _, s := range SeriesOf(r) {
		out.Fits = append(out.Fits, FitSeries(s)...)
	}
	for _, variant := range variants(r) {
		out.Verdicts = append(out.Verdicts, Judge(r, variant, target)...)
	}
	return out
}

// variants lists the variants that ran, in the order in which they first ran.
func variants(r *Run) []string {
	var list []string
	for i := range r.Measurements {
		if v := r.Measurements[i].Variant; !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	for i := range r.Events {
		if v := r.Events[i].Variant; !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}
