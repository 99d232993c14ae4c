package analysis

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var sizes = []Size{{50, 80}, {100, 160}, {200, 320}, {400, 640}, {820, 1300}}

// known is a sample of twenty seconds.
func known(mean float64) Sample { return Sample{Mean: mean, Peak: 2 * mean, Seconds: 20} }

// made is a run in which probes grow with the fleet in variant all and don't in variant subset; so do bytes, at 200 for each probe.
func made(through int) *Run {
	r := &Run{Command: "havenlab scale", Commit: "unknown", Machine: "made up"}
	for _, size := range sizes[:through] {
		wobble := 1 + 0.01*float64(size.Proxies%3)
		for _, variant := range []string{"all", "subset"} {
			probes := 8 * wobble
			if variant == "all" {
				probes = wobble * 1.05 * float64(size.Proxies)
			}
			r.Measurements = append(r.Measurements, Measurement{Size: size, Seed: 1, Variant: variant, Vary: AxisBoth, Seconds: 20,
				ProbesPerProxy: known(probes), ControlCPU: known(0.001 * wobble), Memory: known(5e6 * wobble),
				Traffic: []Traffic{
					{KindProbe, Sent, known(probes), known(100 * probes)},
					{KindProbe, Received, known(probes), known(100 * probes)},
					{KindRequest, Sent, known(50), known(10_000)},
				},
				Processes: []Process{{Role: RoleLeader, Name: "planner-1", CPU: known(0.0004 * float64(size.Proxies))}}})
		}
	}
	return r
}

func verdictOf(t *testing.T, list []Verdict, what string) Verdict {
	t.Helper()
	for _, v := range list {
		if v.What == what {
			return v
		}
	}
	t.Fatalf("no verdict on %s", what)
	return Verdict{}
}

func TestRequestsAreNoControlTraffic(t *testing.T) {
	m := made(1).Measurements[0]
	metric, _ := MetricByName(MetricControlBytes)
	near(t, "control bytes", metric.Of(&m).Mean, 200*m.ProbesPerProxy.Mean, 1e-9)
}

func TestVerdictsByMeasurement(t *testing.T) {
	r := made(5)
	r.Events = []EventRow{
		{Event: EventPolicyChanges, Size: Target, Variant: "all", UntilAllKnow: 6 * time.Second, AllKnew: true},
		{Event: EventPrimaryCrash, Size: Target, Variant: "all", UntilAllKnow: 10 * time.Second, AllKnew: false}}
	all, subset := Judge(r, "all", Target), Judge(r, "subset", Target)
	for _, c := range []struct {
		list []Verdict
		what string
		want Outcome
	}{
		{all, "health checks", DoesNotBear},
		{all, "control traffic, both ways", DoesNotBear},
		{all, "CPU for control", BearsByFactor},
		{all, string(EventPolicyChanges), DoesNotBear},
		{all, string(EventPrimaryCrash), NotShown}, // it stopped waiting too early
		{subset, "health checks", Bears},
		{subset, string(EventPolicyChanges), NotShown},
	} {
		if v := verdictOf(t, c.list, c.what); v.Outcome != c.want {
			t.Errorf("%s, %s: %s (%s), %s was expected", v.Variant, c.what, v.Outcome, v.Why, c.want)
		}
	}
}

func TestVerdictsByPrediction(t *testing.T) {
	r := made(4)
	for _, variant := range []string{"all", "subset"} {
		r.Predictions = append(r.Predictions, PredictSize(r, variant, AxisBoth, false, Target)...)
	}
	if v := verdictOf(t, Judge(r, "all", Target), "health checks"); v.Outcome != DoesNotBear || v.Basis != BasisPredicted {
		t.Errorf("%+v; a prediction over the budget was expected", v)
	}
	if v := verdictOf(t, Judge(r, "subset", Target), "health checks"); v.Outcome != Bears || v.Basis != BasisPredicted {
		t.Errorf("%+v; a prediction within the budget was expected", v)
	}
	few := made(3)
	few.Predictions = PredictSize(few, "all", AxisBoth, false, Target)
	if v := verdictOf(t, Judge(few, "all", Target), "health checks"); v.Outcome != NotShown {
		t.Errorf("%+v; three sizes show nothing", v)
	}
}

func TestPredictionsDoNotSeeTheSizeTheyAreFor(t *testing.T) {
	before := PredictSize(made(4), "all", AxisBoth, false, Target)
	after := PredictSize(made(5), "all", AxisBoth, false, Target)
	if len(before) == 0 || len(before) != len(after) {
		t.Fatalf("%d and %d predictions", len(before), len(after))
	}
	for i := range before {
		if before[i].Value != after[i].Value || before[i].High != after[i].High {
			t.Errorf("%v before, %v after the size ran", before[i], after[i])
		}
	}
	r := made(5)
	r.Predictions = before
	for _, c := range CheckPredictions(r) {
		if !c.Inside || c.Error > 0.05 || c.Error < -0.05 {
			t.Errorf("%v: %v came, error %.3f", c.Prediction, c.Measured, c.Error)
		}
	}
}

func TestPartialMeasurementsAreNotFitted(t *testing.T) {
	r := made(4)
	for i := range r.Measurements {
		if r.Measurements[i].Size == sizes[3] {
			r.Measurements[i].Partial = "time was up"
		}
	}
	for _, f := range Analyse(r, Target).Fits {
		if f.Line.Sizes != 3 || f.Note == "" {
			t.Errorf("%s: %d sizes, note %q", f.Metric, f.Line.Sizes, f.Note)
		}
	}
}

func TestReportIsWrittenWhole(t *testing.T) {
	r := made(4)
	r.Predictions = PredictSize(r, "all", AxisBoth, false, Target)
	r.Measurements = append(r.Measurements, made(5).Measurements[8:]...)
	r.Events = []EventRow{{Event: EventZone, Size: Target, Variant: "all", UntilAllKnow: time.Second, AllKnew: true, Stopped: []Stop{{"writes of 3 groups", 2 * time.Second}}}}
	report := Analyse(r, Target)
	var text, page strings.Builder
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	pictures, err := report.WritePlots(folder)
	if err != nil || len(pictures) == 0 {
		t.Fatalf("plots %v, error %v", pictures, err)
	}
	if err := report.WriteMarkdown(&page, pictures); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"820x1300", "does not bear: 8", "linear", "writes of 3 groups for 2s", "Predictions"} {
		if !strings.Contains(text.String(), want) || !strings.Contains(page.String(), want) {
			t.Errorf("%q is missing in\n%s", want, text.String())
		}
	}
	picture, err := os.ReadFile(filepath.Join(folder, "probes-both.svg"))
	if err != nil || !strings.Contains(string(picture), "budget, 10") {
		t.Errorf("the budget is missing in the plot, error %v", err)
	}
	if _, err := json.Marshal(report); err != nil {
		t.Error(err)
	}
	if len(report.Breaches) == 0 {
		t.Error("no breach was found")
	}
}

// A line may fall below zero at the smallest sizes, where a logarithmic axis has no place for it.
func TestPlotsOfLinesBelowZero(t *testing.T) {
	r := &Run{}
	for i, cost := range []float64{1e-4, 1.1e-4, 1.2e-4, 9e-3} {
		r.Measurements = append(r.Measurements, Measurement{Size: sizes[i], Variant: "all", Vary: AxisBoth, ControlCPU: known(cost)})
	}
	r.Predictions = PredictSize(r, "all", AxisBoth, false, Target)
	if len(r.Predictions) != 1 || r.Predictions[0].Low < 0 {
		t.Errorf("%+v; one prediction from 0 on was expected", r.Predictions)
	}
	if _, err := Analyse(r, Target).WritePlots(t.TempDir()); err != nil {
		t.Error(err)
	}
}
