package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/verdict"
	"havenproxy/internal/lab/virtual"
	"havenproxy/logic"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	e, err := Parse(filepath.Join(t.TempDir(), "x.star"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func run(t *testing.T, e *Experiment, seed uint64) *Outcome {
	t.Helper()
	out, err := e.Play(context.Background(), seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

const small = `
fleet(groups = 1, members = 3)
traffic(demand = 0.9, length = "6s")
`

// The same program against itself, on the same days but with other draws of its own: in 200 experiments no more than one in
// twenty names a winner.
func TestAgainstItself(t *testing.T) {
	const experiments = 200
	text := small + `
variant("one")
variant("again", redraw = True)
question("worth")
question("in aim", of = "kayit-yaz")
runs(looks = [8, 12])
`
	e := parse(t, text)
	wins, equal := 0, 0
	var all sync.WaitGroup
	var mu sync.Mutex
	next := make(chan uint64)
	for range 8 {
		all.Go(func() {
			for seed := range next {
				out, err := e.play(context.Background(), seed, 1, "model", e.inModel, nil)
				mu.Lock()
				if err != nil {
					t.Error(err)
				}
				for _, c := range out.Comparisons {
					if c.Answer != verdict.CannotTell {
						wins++
						break
					}
				}
				if c := out.Comparisons[0]; c.SD == 0 {
					equal++
				}
				mu.Unlock()
			}
		})
	}
	for i := range uint64(experiments) {
		next <- 1 + 100*i
	}
	close(next)
	all.Wait()
	t.Logf("a winner in %d of %d", wins, experiments)
	if wins > experiments/20 || equal > 0 {
		t.Errorf("a winner in %d of %d experiments; runs were equal in %d", wins, experiments, equal)
	}
}

// Without redraw the same variant twice gives the same runs: nothing in them hangs on the machine's time or on how many go on
// at once.
func TestTheSameSeedGivesTheSameFigures(t *testing.T) {
	e := parse(t, small+"fault(\"crash\", at = \"2s\", lasts = \"2s\")\nvariant(\"one\")\nvariant(\"two\")\nruns(looks = [5])\n")
	a, b := run(t, e, 7), run(t, e, 7)
	if c := a.Comparisons[0]; c.SD != 0 || c.Mean != 0 || c.String() != "cannot tell (the runs are equal)" {
		t.Errorf("%v: %v", c, c.Diffs)
	}
	if fmt.Sprint(a.Runs) != fmt.Sprint(b.Runs) {
		t.Error("the same seed gave other figures")
	}
	if fmt.Sprint(a.Runs["one"][0]) == fmt.Sprint(a.Runs["one"][1]) {
		t.Error("another seed gave the same")
	}
}

// A true difference is found, the right way round, and no more runs are played than that takes.
func TestATrueDifference(t *testing.T) {
	e := parse(t, `
fleet(groups = 1, members = 3)
traffic(demand = 0.7, length = "12s")
fault("drain", at = "4s", lasts = "3s")
variant("off")
variant("on", operator = "handover()")
question("in aim", of = "kayit-yaz")
question("misroutes")
question("attempts", least = 0.5)
runs(looks = [8, 16, 32])
`)
	out := run(t, e, 1)
	if c := out.Comparisons[0]; c.Answer != verdict.Better || c.Mean < 0.005 || c.Mean > 0.1 {
		t.Errorf("holding writes through a drain: %v, %+.4f (%+.4f to %+.4f)", c, c.Mean, c.Low, c.High)
	}
	if c := out.Comparisons[2]; !c.Small || c.Answer != verdict.CannotTell && c.Mean == 0 {
		t.Errorf("attempts: %v", c)
	}
	if out.Pairs > 32 || len(out.Runs["on"]) != out.Pairs {
		t.Errorf("%d pairs, %d runs", out.Pairs, len(out.Runs["on"]))
	}
}

// compare plays two variants that only Go can describe, and gives the answer on their worth.
func compare(t *testing.T, base func(seed uint64) virtual.Config, a, b func(*virtual.Config)) *verdict.Comparison {
	t.Helper()
	c := &verdict.Comparison{}
	f := &verdict.Family{Rule: verdict.Rule{Looks: []int{8, 16}}.WithDefaults(), Comparisons: []*verdict.Comparison{c}}
	for {
		n, more := f.NextLook()
		if !more {
			return c
		}
		from := len(c.Diffs)
		c.Diffs = append(c.Diffs, make([]float64, n-from)...)
		var all sync.WaitGroup
		for i := from; i < n; i++ {
			all.Go(func() {
				x, y := base(uint64(i+1)), base(uint64(i+1))
				a(&x)
				b(&y)
				c.Diffs[i] = virtual.Play(y).Worth - virtual.Play(x).Worth
			})
		}
		all.Wait()
		f.Look()
	}
}

func yard(seed uint64, demand float64, length time.Duration) virtual.Config {
	c := virtual.Yard(seed)
	rate := demand * c.Capacity()
	c.For, c.Rate = length, func(time.Duration) float64 { return rate }
	return c
}

// Whoever leaves out of the model what hurts in truth gets another verdict, and often the opposite one. Each row is a change
// that looks right without the thing and is wrong with it, or the other way round.
func TestWhatIsLeftOutFlipsTheVerdict(t *testing.T) {
	tune := func(change func(*logic.Config)) func(*virtual.Config) {
		return func(c *virtual.Config) { c.Tune = change }
	}
	nothing := func(*virtual.Config) {}
	both := func(kind fleet.Kind, lasts time.Duration) []virtual.Fault {
		return []virtual.Fault{{At: 4 * time.Second, Fault: fleet.Fault{Kind: kind, Member: 1, For: lasts, Factor: 1.8}},
			{At: 4 * time.Second, Fault: fleet.Fault{Kind: kind, Member: 2, For: lasts, Factor: 1.8}}}
	}
	for _, x := range []struct {
		name          string
		base          func(seed uint64) virtual.Config
		change        func(*virtual.Config)
		leaveOut      func(*virtual.Config)
		with, without verdict.Answer
	}{
		{"cold starts: restarting databases that are slow",
			func(seed uint64) virtual.Config {
				c := yard(seed, 1.1, 32*time.Second)
				c.Faults = both(fleet.Slow, 26*time.Second)
				return c
			},
			func(c *virtual.Config) { c.Faults = both(fleet.Crash, time.Second) },
			func(c *virtual.Config) { c.Fleet.ColdShare = 1 },
			verdict.Worse, verdict.Better},
		{"drains: holding what needs a primary",
			func(seed uint64) virtual.Config {
				c := yard(seed, 0.6, 20*time.Second)
				c.Faults = []virtual.Fault{{At: 4 * time.Second, Fault: fleet.Fault{Kind: fleet.Drain, Member: fleet.Primary, For: 3 * time.Second}},
					{At: 12 * time.Second, Fault: fleet.Fault{Kind: fleet.Drain, Member: fleet.Primary, For: 3 * time.Second}}}
				return c
			},
			func(c *virtual.Config) { c.Handover.Hold = true },
			func(c *virtual.Config) { c.Faults = nil },
			verdict.Better, verdict.CannotTell},
		{"lagging replicas: reading from them whatever their position",
			func(seed uint64) virtual.Config {
				c := yard(seed, 1.15, 15*time.Second)
				c.Fleet.Classes[0].MaxAge = 60 * time.Millisecond
				c.Fleet.LogDelay = fleet.Span{From: 200 * time.Millisecond, To: 300 * time.Millisecond}
				return c
			},
			tune(func(l *logic.Config) {
				l.Classes[0].Read = logic.Any
			}),
			func(c *virtual.Config) { c.Fleet.LogDelay, c.Fleet.ApplyShare = fleet.Span{From: 1, To: 2}, 1e-6 },
			verdict.Worse, verdict.Better},
		{"queueing: letting each proxy have no more than a few attempts out",
			func(seed uint64) virtual.Config { return yard(seed, 1.5, 15*time.Second) },
			tune(func(l *logic.Config) { l.Tuning.FirstLimit = 4 }),
			func(c *virtual.Config) { c.Fleet.Cores = 1000 },
			verdict.Better, verdict.Worse},
	} {
		without := compare(t, func(seed uint64) virtual.Config {
			c := x.base(seed)
			x.leaveOut(&c)
			return c
		}, nothing, x.change)
		with := compare(t, x.base, nothing, x.change)
		t.Logf("%s: with it %v (%+.4f), without %v (%+.4f)", x.name, with, with.Mean, without, without.Mean)
		if with.Answer != x.with || without.Answer != x.without {
			t.Errorf("%s: with it %v (%+.4f), wanted %v; without %v (%+.4f), wanted %v", x.name, with, with.Mean, x.with, without, without.Mean, x.without)
		}
	}
}

// Another build answers through its binary: the figures it prints are taken, and what goes wrong with it is told.
func TestAnotherBuild(t *testing.T) {
	dir := t.TempDir()
	script := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := script("good", `[ "$1" = model ] && [ "$3" = --seed ] || exit 9
echo "[{\"variant\": \"x\", \"seed\": $4, \"figures\": {\"worth\": 0.$4}}]"`)
	e := parse(t, small+fmt.Sprintf("variant('old', binary = %q)\nvariant('older', binary = %q)\nruns(looks = [5])\n", good, good))
	out := run(t, e, 11)
	if f := out.Runs["old"]; f[0]["worth"] != 0.11 || f[4]["worth"] != 0.15 {
		t.Errorf("%v", f)
	}
	for text, want := range map[string]string{
		"echo broken >&2; exit 3":                   "exit status 3: broken",
		"echo nonsense":                             "printed no figures",
		`echo '[{"figures": {"other": 1}}]'`:        `has no figure "worth"`,
		`echo '[{"figures": {}}, {"figures": {}}]'`: "printed no figures of one run",
	} {
		bad := script("bad", text)
		e := parse(t, small+fmt.Sprintf("variant('old', binary = %q)\nvariant('new')\nruns(looks = [5])\n", bad))
		if _, err := e.Play(context.Background(), 1, nil); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), `variant "old", seed`) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// All that is wrong with a file is told at once, at its place.
func TestBadExperiments(t *testing.T) {
	dir := t.TempDir()
	_, err := Parse(filepath.Join(dir, "bad.star"), []byte(small+`
variant("a", operator = "levels(dwel = '5s')")
variant("a", redraw = 3)
variant("c", operator_file = "../secret.star")
variant("d", operator_file = "none.star")
variant("e", binary = "/no/such/program")
question("worthy")
question("in aim")
question("worth", of = "katalog")
question("p99", of = "katalok")
runs(looks = [0], alpha = 3)
`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		`bad.star:5:14: operator's file: a:1:8: levels has no setting "dwel" (did you mean "dwell"?)`,
		`bad.star:6:1: variant "a" is there twice`, `bad.star:6:14: redraw is int, True or False was expected`,
		`operator_file is "../secret.star", a file in the experiment's folder was expected`, `none.star: no such file`, `/no/such/program`,
		`no question "worthy"`, `(did you mean "worth"?)`, `bad.star:11:1: ["in aim"`, `bad.star:12:19: ["in aim"`,
		`no class "katalok" (did you mean "katalog"?)`, `looks holds 0`, `alpha is 3`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing: %s", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
	e := parse(t, small+"variant('alone')\n")
	if _, err := e.Play(context.Background(), 1, nil); err == nil || !strings.Contains(err.Error(), "two variants at least") {
		t.Error(err)
	}
	e = parse(t, small+"proxy(count = 3)\ncut(at = '1s')\nvariant('a')\nvariant('b')\n")
	if _, err := e.PlaySockets(context.Background(), 1, 5, launchNothing); err == nil || !strings.Contains(err.Error(), "sockets can't play cut(), proxies") {
		t.Error(err)
	}
}

var launchNothing launch.Options

// The experiments that ship can be read, and name what they compare.
func TestExperimentsThatShip(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/lab/compare/*.star")
	days, err2 := filepath.Glob("../../../deploy/lab/fleet/*.star")
	if err != nil || err2 != nil || len(files) < 8 || len(days) != 6 {
		t.Fatal(files, days, err, err2)
	}
	files = append(files, days...)
	for _, path := range files {
		e, err := Read(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(e.Variants) < 2 && !strings.HasPrefix(filepath.Base(path), "with-") {
			t.Errorf("%s compares nothing", path)
		}
	}
}

// A sweep makes a variant of each combination, and a sensitivity one of each setting's values; both against the first.
func TestSweepsAndSensitivity(t *testing.T) {
	e := parse(t, small+`
sweep(operator = "handover(likely = {likely}, most_time = {time})", values = {"likely": [0.5, 0.7], "time": ["1s", "2s", "3s"]})
runs(looks = [5])
`)
	if len(e.Variants) != 6 || e.Variants[3].Name != `likely = 0.7, time = "2s"` || e.Variants[3].file.Handover.Likely != 0.7 ||
		e.Variants[3].file.Handover.MostTime != 2*time.Second || fmt.Sprint(e.Sweep.Point[3]) != "[1 1]" {
		t.Errorf("%d variants, %+v", len(e.Variants), e.Variants[3])
	}
	e, err := parse(t, small+"fault('drain', at = '2s', lasts = '2s')\nruns(looks = [5])\n").Sensitivity([]string{"handover", "levels", "routing"})
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Variants) != 1+2*len(tunables) {
		t.Errorf("%d variants", len(e.Variants))
	}
	out := run(t, e, 1)
	w := out.Weights(Question{Name: Worth})
	if len(w) != len(tunables) || w[0].Most.Mean == 0 {
		t.Errorf("%d settings, the first %+v", len(w), w[0])
	}
	for i := range w[1:] {
		if a, b := w[i].Most.Mean, w[i+1].Most.Mean; a*a < b*b {
			t.Errorf("%s (%v) before %s (%v)", w[i].Setting, a, w[i+1].Setting, b)
		}
	}
	if _, err := e.Sensitivity([]string{"mysql"}); err == nil {
		t.Error("mysql has settings to try?")
	}
	for text, want := range map[string]string{
		`sweep(operator = "handover()", values = {"likely": [1]})`:                              "operator has no {likely}",
		`sweep(operator = "handover(likely = {likely})", values = {"likely": [0.5]})`:           "1 combinations",
		`sweep(operator = "handover(likely = {likely})", values = {"likely": [0.5, 7]})`:        "likely is 7",
		`sweep(operator = "{a}{b}{c}", values = {"a": ["", ""], "b": ["", ""], "c": ["", ""]})`: "one or two settings",
	} {
		if _, err := Parse("x.star", []byte(small+text+"\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
