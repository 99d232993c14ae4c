package fit

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/trace"
	"havenproxy/logic"
)

// traced turns a scenario's traffic into the trace that a proxy would have kept of it.
func traced(t *testing.T, text string, seed uint64) *trace.Trace {
	t.Helper()
	s, err := scenario.Parse("x", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var shares []float64
	out := &trace.Trace{Header: trace.Header{Sample: 1}}
	for _, c := range s.Classes {
		shares, out.Classes = append(shares, c.Share), append(out.Classes, c.Name)
	}
	source := arrivals.New(arrivals.Config{Seed: seed, Rate: s.Rate, For: s.Length, Shares: shares, Groups: s.Fleet.Groups, Sessions: s.Sessions, HotSession: s.HotSession})
	salt := trace.Salt("a secret of 16 b")
	for r, more := source.Next(); more; r, more = source.Next() {
		out.Records = append(out.Records, trace.Record{At: r.At, Class: r.Class, Group: r.Group, Session: salt.Hash(uint64(r.Group)<<32 | uint64(r.Session)), Wait: time.Second})
	}
	return out
}

// again reads the scenario that a fit writes.
func again(t *testing.T, f *Fit) *scenario.Scenario {
	t.Helper()
	var b strings.Builder
	if err := f.Scenario(&b, "day.trace"); err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("fit", []byte(b.String()))
	if err != nil {
		t.Fatalf("%v\n%s", err, b.String())
	}
	return s
}

// What a scenario makes, traced and fitted, is that scenario again; and its traffic can't be told from the trace's.
func TestAFitFindsWhatWasThere(t *testing.T) {
	f, err := Of(traced(t, `
fleet(groups = 4, members = 3)
traffic(rps = 300, length = "60s", sessions = 50, hot_session = 0.3, shape = ramp(start = 0.5, end = 1.5, over = "60s"))
request_class("katalog", share = 3)
`, 1), Options{Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Rate/300-1) > 0.03 || f.Groups != 4 || f.Sessions < 49 || f.Sessions > 52 || math.Abs(f.Hot-0.3) > 0.03 || f.Dispersion > 1.2 || f.Times > 1 {
		t.Errorf("%+v", f)
	}
	if first, last := f.Steps[0].Rate, f.Steps[len(f.Steps)-1].Rate; first > 190 || first < 120 || last < 400 || last > 500 {
		t.Errorf("from %v to %v a second", first, last)
	}
	for _, c := range f.Classes {
		if c.Name == "katalog" && math.Abs(c.Share-3/(3+0.35+0.33+0.03+0.11)) > 0.02 {
			t.Errorf("%+v", c)
		}
	}
	for _, d := range f.Distances {
		if d.KS > 1.5*d.Chance {
			t.Errorf("%+v", d)
		}
	}
	if w := f.Warnings(); len(w) > 0 {
		t.Errorf("%q", w)
	}
	s := again(t, f)
	if math.Abs(s.Rate(0)/f.Steps[0].Rate-1) > 0.02 || s.Length.Round(time.Second) != time.Minute {
		t.Errorf("%v a second at first, %v long", s.Rate(0), s.Length)
	}
}

// Bursts that come by chance are found, with their lengths and their weight; Poisson traffic has none.
func TestBurstsAreFound(t *testing.T) {
	f, err := Of(traced(t, `
fleet(groups = 1, members = 3)
traffic(rps = 400, length = "200s", shape = bursts(apart = "6s", length = "1500ms", times = 4, seed = 3))
`, 2), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if f.Dispersion < 3 || f.Times < 3 || f.Times > 5 || f.Burst < time.Second || f.Burst > 2500*time.Millisecond || f.Apart < 4*time.Second || f.Apart > 9*time.Second {
		t.Errorf("dispersion %.1f, %v for %v, %.1f times", f.Dispersion, f.Apart, f.Burst, f.Times)
	}
	again(t, f)
}

// What a scenario can't hold is told: a clock like a metronome's is no Poisson process, and the distance says so.
func TestWhatDoesNotFitIsTold(t *testing.T) {
	tr := &trace.Trace{Header: trace.Header{Sample: 0.1, Classes: []string{"katalog", "none of ours"}}, CorruptBlocks: 2, Truncated: true, BackwardSteps: 3}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 3000 {
		r := trace.Record{At: time.Duration(i) * 10 * time.Millisecond, Session: rng.Uint64() % 40, Retry: i%5 == 0}
		if i%4 == 0 {
			r.Group = 1
		}
		tr.Records = append(tr.Records, r)
	}
	f, err := Of(tr, Options{})
	if err != nil {
		t.Fatal(err)
	}
	all := strings.Join(f.Warnings(), "\n")
	for _, want := range []string{"cut off", "2 blocks", "ran back 3 times", "busiest group has 1.5", "20 % are repeats", "sample of 0.1", "gaps between requests differ"} {
		if !strings.Contains(all, want) {
			t.Errorf("missing: %s in\n%s", want, all)
		}
	}
	if math.Abs(f.Rate-1000) > 10 {
		t.Errorf("a sample of a tenth, 100 a second in it: %v a second", f.Rate)
	}
	if _, err := Of(&trace.Trace{}, Options{}); err == nil {
		t.Error("fitted nothing")
	}
}

// Ten times as fast is the same requests in a tenth of the time.
func TestSpeed(t *testing.T) {
	tr := traced(t, "fleet(groups = 2)\ntraffic(rps = 100, length = '60s')\n", 4)
	f, err := Of(tr, Options{Speed: 10})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Rate/1000-1) > 0.05 || math.Abs(f.Length.Seconds()-6) > 0.1 {
		t.Errorf("%v a second for %v", f.Rate, f.Length)
	}
}

// A class that the lab doesn't know becomes one of the scenario's own, and is told; one that the trace lacks has no share.
func TestClassesThatAreNotKnown(t *testing.T) {
	tr := &trace.Trace{Header: trace.Header{Sample: 1, Classes: []string{"katalog", "fatura", "odeme"}}}
	for i := range 900 {
		tr.Records = append(tr.Records, trace.Record{At: time.Duration(i) * 5 * time.Millisecond, Class: i % 3, Session: uint64(i), Write: i%3 == 2, Wait: 700 * time.Millisecond})
	}
	f, err := Of(tr, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if w := strings.Join(f.Warnings(), "\n"); !strings.Contains(w, "fatura, odeme need") {
		t.Error(w)
	}
	s := again(t, f)
	shares := map[string]float64{}
	for _, c := range s.Classes {
		shares[c.Name] = c.Share
		if c.Name == "odeme" && (c.Read != logic.Write || c.Limit != 700*time.Millisecond || c.Aim != 350*time.Millisecond) {
			t.Errorf("%+v", c)
		}
	}
	if len(s.Classes) != 7 || shares["fatura"] < 0.33 || shares["fatura"] > 0.34 || shares["kayit-yaz"] != 0 || len(s.Fleet.Classes) != 7 {
		t.Errorf("%v", shares)
	}
}
