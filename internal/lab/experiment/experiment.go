// Package experiment plays variants of a scenario against each other in the model and says which is better, or that it can't
// be told. A variant is an operator's file, another scenario, or another build of this program. All variants meet the same
// days: a pair is two runs with the same seed, so the same clients ask the same at the same times, each request is the same work
// wherever it runs, and databases die and are elected alike (common random numbers; P. Glasserman and D. Yao, "Some Guidelines
// and Guarantees for Common Random Numbers", 1992). What is left of a difference is the variants'.
package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"go.starlark.net/starlark"

	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/lab/verdict"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/levels"
	"havenproxy/internal/operator"
	"havenproxy/internal/operator/star"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

// Variant is one way of doing things.
type Variant struct {
	Name     string
	Operator string             // text of an operator's file; empty = none
	Scenario *scenario.Scenario // in place of the experiment's; nil = that
	Path     string             // of that scenario's file
	Binary   string             // another build's havenlab, which plays this variant; empty = this one
	Peers    *bool              // whether proxies tell one another what they have seen; nil = as the scenario says
	Redraw   bool               // the proxies draw their own random numbers anew: the same day once more
	file     *operator.File
}

// Question is what is asked of each run.
type Question struct {
	Name  string
	Class string  // of questions that are about one
	Least float64 // differences smaller than this don't matter; 0 = all do
}

// Key names a question's figure.
func (q Question) Key() string {
	if q.Class == "" {
		return q.Name
	}
	return q.Name + " " + q.Class
}

// The questions. Those behind AboutClass are about one class.
const (
	Worth        = "worth"         // earned, as a part of what was asked for
	Worst        = "worst 10 s"    // the same in the worst ten seconds
	Attempts     = "attempts"      // a request
	Misroutes    = "misroutes"     // attempts a request that ended as a miss, turned away, without an answer or a connection
	Probes       = "probes"        // a request
	Switches     = "switches"      // of primaries
	LevelChanges = "level changes" // of levels of reduced service, at the first proxy
	InAim        = "in aim"        // part of a class's requests
	NetWorth     = "net worth"     // worth less the scenario's prices
	Messages     = "messages"      // a request: peers' messages as they came to each, in pieces of 256 bytes
	ListCalls    = "list calls"    // a request
	Connections  = "connections"   // opened to databases, a request
	RefusedPart  = "refused"       // part of a class's requests that were refused in the end
	P50          = "p50"           // answer time of what was served of a class, in ms
	P99          = "p99"
)

var (
	general    = []string{Worth, NetWorth, Worst, Attempts, Misroutes, Probes, Messages, ListCalls, Connections, Switches, LevelChanges}
	aboutClass = []string{InAim, RefusedPart, P50, P99}
	lessIsMore = []string{Attempts, Misroutes, Probes, Messages, ListCalls, Connections, LevelChanges, RefusedPart, P50, P99}
)

// Less tells whether less of it is better.
func (q Question) Less() bool { return slices.Contains(lessIsMore, q.Name) }

// Experiment is a file, read.
type Experiment struct {
	Name      string
	Path      string
	Scenario  *scenario.Scenario
	Variants  []*Variant // the first is what the others are held against
	Questions []Question
	Rule      verdict.Rule
	Sweep     *Sweep // nil = the variants are written out
	Sockets   int    // pairs to be played on sockets as well, where that is asked for
}

// Read reads an experiment's file: a scenario with variant(), question() and runs() in it.
func Read(path string) (*Experiment, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse reads its text. Other files that it names are looked for beside it.
func Parse(path string, src []byte) (*Experiment, error) {
	e := &Experiment{Name: strings.TrimSuffix(filepath.Base(path), ".star"), Path: path}
	p := &parser{e: e, dir: filepath.Dir(path)}
	var err error
	e.Scenario, err = scenario.ParseWith(path, src, map[string]star.Func{"variant": p.variant, "question": p.question, "runs": p.runs, "sweep": p.sweep}, p.finish)
	if err != nil {
		return nil, err
	}
	e.Rule = e.Rule.WithDefaults()
	return e, e.Rule.Check()
}

type parser struct {
	e    *Experiment
	dir  string
	asks []*star.Call
}

// beside reads a file in the experiment's folder or below it.
func (p *parser) beside(c *star.Call, arg string) (path string, text []byte) {
	name := c.String(arg, "")
	if name == "" {
		return "", nil
	}
	if !filepath.IsLocal(name) {
		c.Errorf(arg, "%s is %q, a file in the experiment's folder was expected", arg, name)
		return "", nil
	}
	path = filepath.Join(p.dir, name)
	text, err := os.ReadFile(path)
	if err != nil {
		c.Errorf(arg, "%s: %v", arg, err)
	}
	return path, text
}

func (p *parser) variant(c *star.Call) starlark.Value {
	v := &Variant{Name: c.PositionalString("name"), Redraw: c.Bool("redraw", false), Binary: c.String("binary", "")}
	for _, o := range p.e.Variants {
		if o.Name == v.Name && v.Name != "" {
			c.Errorf("", "variant %q is there twice", v.Name)
		}
	}
	if c.Has("peers") {
		on := c.Bool("peers", false)
		if v.Peers = &on; v.Binary != "" {
			c.Errorf("peers", "peers is for this build's variants: give another build a scenario with tier(peers = ...)")
		}
	}
	v.Operator = c.String("operator", "")
	if c.Has("operator_file") {
		if c.Has("operator") {
			c.Errorf("operator_file", "operator is the file's text, operator_file its name: one of the two was expected")
		}
		_, text := p.beside(c, "operator_file")
		v.Operator = string(text)
	}
	if path, text := p.beside(c, "scenario"); text != nil {
		var err error
		if v.Scenario, err = scenario.Parse(path, text); err != nil {
			c.Errorf("scenario", "%v", err)
		}
		v.Path = path
	}
	if v.Binary != "" {
		if _, err := exec.LookPath(v.Binary); err != nil {
			c.Errorf("binary", "%v", err)
		}
	}
	p.e.Variants = append(p.e.Variants, v)
	p.asks = append(p.asks, c)
	return nil
}

func (p *parser) question(c *star.Call) starlark.Value {
	q := Question{Name: c.PositionalString("name"), Class: c.String("of", ""), Least: c.Float("least", 0, 0, math.Inf(1))}
	known := append(slices.Clone(general), aboutClass...)
	switch {
	case q.Name == "":
	case !slices.Contains(known, q.Name):
		c.Errorf("", "no question %q, one of %s was expected%s", q.Name, strings.Join(known, ", "), star.Suggestion(q.Name, known))
	case slices.Contains(aboutClass, q.Name) != (q.Class != ""):
		c.Errorf("of", "%q is asked of one class with of = NAME, and %s are not", aboutClass, strings.Join(general, ", "))
	case slices.Contains(p.e.Questions, q):
		c.Errorf("", "question %q is there twice", q.Key())
	}
	p.e.Questions = append(p.e.Questions, q)
	return nil
}

func (p *parser) runs(c *star.Call) starlark.Value {
	r := &p.e.Rule
	r.Alpha = c.Float("alpha", 0, 0.0001, 0.49)
	r.Power = c.Float("power", 0, 0.5, 0.999)
	c.List("looks", func(v starlark.Value) {
		n, err := starlark.AsInt32(v)
		if err != nil || n < 1 || n > 100_000 {
			c.Errorf("looks", "looks holds %s, numbers of pairs were expected", v)
			return
		}
		r.Looks = append(r.Looks, n)
	})
	p.e.Sockets = c.Int("sockets", 0, 2, 1000)
	return nil
}

// finish checks what only the whole file tells.
func (p *parser) finish(s *scenario.Scenario) {
	if len(p.e.Questions) == 0 {
		p.e.Questions = []Question{{Name: Worth}}
	}
	for i, v := range p.e.Variants {
		own := s
		if v.Scenario != nil {
			own = v.Scenario
		}
		if err := v.read(own); err != nil {
			p.asks[i].Errorf("operator", "operator's file: %v", err)
		}
	}
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	for _, q := range p.e.Questions {
		if q.Class != "" && len(p.asks) > 0 && !slices.Contains(names, q.Class) {
			p.asks[0].Errorf("", "question %q: no class %q%s", q.Key(), q.Class, star.Suggestion(q.Class, names))
		}
	}
}

// read reads a variant's operator's file for a scenario.
func (v *Variant) read(s *scenario.Scenario) (err error) {
	v.file, err = operator.Parse(v.Name, []byte(v.Operator), levelClasses(s))
	return err
}

func levelClasses(s *scenario.Scenario) []levels.Class {
	classes := make([]logic.Class, len(s.Classes))
	for i := range s.Classes {
		classes[i] = s.Classes[i].Class
	}
	return state.LevelClasses(logic.Config{Classes: classes})
}

// Model gives a scenario's run in the model; file is an operator's, nil = none.
func Model(s *scenario.Scenario, file *operator.File, seed uint64) virtual.Config {
	c := virtual.Config{Seed: seed, Fleet: s.Fleet, For: s.Length, Rate: s.Rate, Sessions: s.Sessions, HotSession: s.HotSession,
		Retries: s.Retry.Most, RetryWait: s.Retry.Wait, Honour: s.Retry.Honour, Proxies: s.Proxies, Roam: s.Roam, Way: s.Way, Jitter: s.Jitter, Loss: s.Loss}
	c.Fleet.Seed = seed
	c.Before = play.Settle // as on sockets: what a proxy learns in a quiet second counts
	c.Fleet.Classes = slices.Clone(s.Fleet.Classes)
	for i, k := range s.Classes {
		c.Shares = append(c.Shares, k.Share)
		c.Fleet.Classes[i].Class = k.Class
		c.Fleet.Classes[i].Late = k.LateWorth
	}
	c.Tier = s.Tier
	c.Arrivals, _ = s.Arrivals(seed)
	for _, f := range s.Faults {
		c.Faults = append(c.Faults, virtual.Fault{At: f.At, Fault: f.Fault})
	}
	for _, x := range s.Cuts {
		c.Cuts = append(c.Cuts, virtual.Cut(x))
	}
	if file != nil {
		c.Levels, c.Handover, c.Tuning = file.Levels, file.Handover, file.Tuning
	}
	return c
}

// Figures answers all questions of a run.
func Figures(s *scenario.Scenario, r *virtual.Result) map[string]float64 {
	classes, offered := s.Classes, 0
	for _, k := range r.Classes {
		offered += k.Offered
	}
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	c := &r.Counters
	out := map[string]float64{Worth: r.Worth, Worst: r.Worst10, Attempts: part(int(c.Sent), offered), Probes: part(int(c.Probes), offered),
		Misroutes: part(int(c.Misdirected+c.Rejected+c.TimedOut+c.ConnectFailed+c.Reset), offered), Switches: float64(len(r.Switches)), LevelChanges: float64(len(r.Changes))}
	out[Messages], out[ListCalls], out[Connections] = part(int(r.DeliveredBytes), 256*offered), part(int(r.ListCalls), offered), part(int(c.Opened), offered)
	p := &s.Prices
	out[NetWorth] = r.Worth - p.Probe*out[Probes] - p.Connection*out[Connections] - p.List*out[ListCalls] - p.Message*out[Messages]
	for i, k := range r.Classes {
		name := classes[i].Name
		out[InAim+" "+name] = part(k.InAim, k.Offered)
		out[RefusedPart+" "+name] = part(k.Refused, k.Offered)
		out[P50+" "+name] = float64(r.Latency[i].ValueAtQuantile(50)) / 1e3
		out[P99+" "+name] = float64(r.Latency[i].ValueAtQuantile(99)) / 1e3
	}
	return out
}

// Run is one variant's figures with one seed.
type Run struct {
	Variant string             `json:"variant"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
}

// Outcome is what an experiment came to.
type Outcome struct {
	Experiment  *Experiment
	Pairs       int
	Runs        map[string][]map[string]float64 // by variant, a run each pair
	Comparisons []*Compared
	Clock       string // "model" or "sockets"
}

// Compared is a question about one variant against the first.
type Compared struct {
	*verdict.Comparison
	Variant  string
	Question Question
}

// player plays one variant with one seed.
type player func(ctx context.Context, v *Variant, seed uint64) (map[string]float64, error)

// Play plays an experiment in the model until all is answered or the budget is spent. progress, if any, is told after each look.
func (e *Experiment) Play(ctx context.Context, seed uint64, progress func(*Outcome)) (*Outcome, error) {
	return e.play(ctx, seed, runtime.GOMAXPROCS(0), "model", e.inModel, progress)
}

func (e *Experiment) play(ctx context.Context, seed uint64, workers int, clock string, do player, progress func(*Outcome)) (*Outcome, error) {
	if len(e.Variants) < 2 {
		return nil, errors.New("two variants at least are needed for a comparison: variant(\"NAME\", operator = ...)")
	}
	out := &Outcome{Experiment: e, Runs: map[string][]map[string]float64{}, Clock: clock}
	rule := e.Rule
	rule.Seed = seed
	family := &verdict.Family{Rule: rule}
	for _, v := range e.Variants[1:] {
		for _, q := range e.Questions {
			c := &verdict.Comparison{Name: fmt.Sprintf("%s: %s", v.Name, q.Key()), Less: q.Less(), Least: q.Least}
			family.Comparisons = append(family.Comparisons, c)
			out.Comparisons = append(out.Comparisons, &Compared{c, v.Name, q})
		}
	}
	for {
		pairs, more := family.NextLook()
		if !more {
			return out, nil
		}
		if err := e.runs(ctx, out, seed, pairs, workers, do); err != nil {
			return nil, err
		}
		for _, c := range out.Comparisons {
			c.Diffs = c.Diffs[:0]
			for i := range out.Pairs {
				a, b := out.Runs[e.Variants[0].Name][i], out.Runs[c.Variant][i]
				c.Diffs = append(c.Diffs, b[c.Question.Key()]-a[c.Question.Key()])
			}
		}
		family.Look()
		if progress != nil {
			progress(out)
		}
	}
}

// runs plays what is missing up to so many pairs, side by side; what comes out does not depend on how many at once.
func (e *Experiment) runs(ctx context.Context, out *Outcome, seed uint64, pairs, workers int, do player) error {
	type job struct {
		v *Variant
		i int
	}
	var jobs []job
	for i := out.Pairs; i < pairs; i++ {
		for _, v := range e.Variants {
			jobs = append(jobs, job{v, i})
		}
	}
	for _, v := range e.Variants {
		out.Runs[v.Name] = append(out.Runs[v.Name], make([]map[string]float64, pairs-out.Pairs)...)
	}
	next, errs := make(chan job), make([]error, max(workers, 1))
	var all sync.WaitGroup
	for w := range errs {
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range next {
				if errs[w] != nil || ctx.Err() != nil {
					continue
				}
				f, err := do(ctx, j.v, seed+uint64(j.i))
				if err != nil {
					errs[w] = fmt.Errorf("variant %q, seed %d: %w", j.v.Name, seed+uint64(j.i), err)
				}
				out.Runs[j.v.Name][j.i] = f
			}
		}()
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	all.Wait()
	out.Pairs = pairs
	return errors.Join(append(errs, ctx.Err())...)
}

// inModel plays a variant in the model, by another build where it names one.
func (e *Experiment) inModel(ctx context.Context, v *Variant, seed uint64) (map[string]float64, error) {
	if v.Binary != "" {
		return e.byBinary(ctx, v, seed)
	}
	s := e.scenarioOf(v)
	cfg := Model(s, v.file, seed)
	if v.Peers != nil {
		scenario.SetPeers(&cfg.Tier, *v.Peers)
	}
	if v.Redraw {
		cfg.ProxySeed = seed ^ 0x5eed<<40
	}
	return Figures(s, virtual.Play(cfg)), nil
}

func (e *Experiment) scenarioOf(v *Variant) *scenario.Scenario {
	if v.Scenario != nil {
		return v.Scenario
	}
	return e.Scenario
}

// byBinary lets another build play: its sub-command `model` reads the same scenario and prints the same figures.
func (e *Experiment) byBinary(ctx context.Context, v *Variant, seed uint64) (map[string]float64, error) {
	path := e.Path
	if v.Path != "" {
		path = v.Path
	}
	args := []string{"model", path, "--seed", strconv.FormatUint(seed, 10), "--json", "-"}
	if v.Operator != "" {
		dir, err := os.MkdirTemp("", "havenlab")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		file := filepath.Join(dir, "operator.star")
		if err := os.WriteFile(file, []byte(v.Operator), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.CommandContext(ctx, v.Binary, args...)
	text, err := cmd.Output()
	if err != nil {
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return nil, fmt.Errorf("%s: %w: %s", v.Binary, err, strings.TrimSpace(string(exit.Stderr)))
		}
		return nil, err
	}
	var runs []Run
	if err := json.Unmarshal(text, &runs); err != nil || len(runs) != 1 {
		return nil, fmt.Errorf("%s printed no figures of one run: %v", v.Binary, err)
	}
	for _, q := range e.Questions {
		if _, ok := runs[0].Figures[q.Key()]; !ok {
			return nil, fmt.Errorf("%s has no figure %q", v.Binary, q.Key())
		}
	}
	return runs[0].Figures, nil
}

// Mean gives a variant's mean figure.
func (o *Outcome) Mean(variant, key string) float64 {
	sum := 0.0
	for _, r := range o.Runs[variant] {
		sum += r[key]
	}
	return sum / float64(max(len(o.Runs[variant]), 1))
}
