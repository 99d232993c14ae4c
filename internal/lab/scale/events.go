package scale

import (
	"context"
	"fmt"
	"math"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/virtual"
)

const (
	machinesLost   = 4  // on an ordinary day
	rackProxies    = 20 // in a rack,
	rackDatabases  = 30 // and databases
	restartedPart  = 10 // one proxy of so many is restarted
	restartOver    = 10 * time.Second
	restartDown    = 2 * time.Second
	awayFor        = 20 * time.Second // that machines of a rack or zone are away, and a crashed primary
	changesMade    = 10               // of policy
	changesWithin  = time.Minute
	discoveryAway  = time.Minute
	forGood        = 24 * time.Hour
	knownWithin    = 30 * time.Second // the run stops waiting so long behind the event
	lookEvery      = 20 * time.Millisecond
	refusedTooMany = 0.01 // part of a second's requests
)

// incident is an event as it is brought about in the model.
type incident struct {
	lasts time.Duration // until it is over
	apply func(*virtual.Config)
	facts []fact // that every proxy has to know
	// slowest gives the time until all knew, where that is not to be seen by facts; false = not all did.
	slowest func(*virtual.Result) (time.Duration, bool)
	begins  time.Duration // since the run's beginning, from when facts are looked for
	steps   *failoverSteps
}

// fact tells whether a proxy that is up knows something.
type fact func(v *virtual.View, proxy int) bool

// MeasureEvent brings an event about at a size, in the model.
func (c *Config) MeasureEvent(ctx context.Context, name analysis.Event, size analysis.Size) (analysis.EventRow, analysis.Steps, error) {
	row := analysis.EventRow{Event: name, Size: size, Seed: c.Seed, Variant: c.Variant}
	if err := CheckSize(size); err != nil {
		return row, analysis.Steps{}, err
	}
	x, err := c.incident(name, size)
	if err != nil {
		return row, analysis.Steps{}, err
	}
	own := *c
	own.For, own.ChangeEvery = x.lasts+knownWithin, 0
	cfg := own.modelConfig(size)
	x.apply(&cfg)
	r := newRecorder(size, c.Settle, c.Settle+own.For)
	stopped := ""
	r.goOn = func(at time.Duration) bool {
		c.tell(size, at, cfg.For)
		stopped = c.overLimit(ctx)
		return stopped == ""
	}
	cfg.Observer = r
	seen := &spread{incident: x, begin: c.Settle, next: make([]int, size.Proxies)}
	if len(x.facts) > 0 {
		cfg.Watch = &virtual.Watch{From: max(x.begins, c.Settle), Every: lookEvery, Look: seen.look}
	}
	result := play(cfg)
	if stopped != "" {
		return row, analysis.Steps{}, fmt.Errorf("%s at %v: %s", name, size, stopped)
	}
	if row.UntilAllKnow, row.AllKnew = seen.took, seen.all; x.slowest != nil {
		row.UntilAllKnow, row.AllKnew = x.slowest(result)
	}
	if !row.AllKnew {
		row.UntilAllKnow = own.For
	}
	r.fill(&row)
	row.Worth = result.Worth
	var steps analysis.Steps
	if x.steps != nil {
		steps = x.steps.result(c.Settle, seen)
	}
	return row, steps, nil
}

// spread follows how knowledge of an event spreads. Each proxy is asked about one fact after the other: what it knows it keeps.
type spread struct {
	*incident
	begin time.Duration
	next  []int // by proxy: the first fact that it has not been seen to know
	took  time.Duration
	all   bool
}

func (s *spread) look(v *virtual.View) bool {
	if s.steps != nil {
		s.steps.look(v)
	}
	all := true
	for i := range s.next {
		if v.Proxy(i) == nil {
			continue
		}
		for s.next[i] < len(s.facts) && s.facts[s.next[i]](v, i) {
			s.next[i]++
		}
		all = all && s.next[i] == len(s.facts)
	}
	if all {
		s.took, s.all = v.At-s.begin, true
	}
	return all
}

// fill tells what an event cost, of what was counted since it began.
func (r *recorder) fill(row *analysis.EventRow) {
	row.PeakProxyBytes = r.controlBytes.each().Peak
	row.PeakProxyCPU = r.work[virtual.ControlWork].each().Peak
	row.PeakPlannerCPU = r.work[virtual.PlannerWork].total().Peak
	for second := range r.requests.seconds {
		bytes := 0.0
		for _, kind := range []virtual.MessageKind{virtual.LeaseMessage, virtual.PolicyMessage, virtual.HealthMessage} {
			bytes += r.traffic[kind][virtual.Sent].bytes.seconds[second] + r.traffic[kind][virtual.Received].bytes.seconds[second]
		}
		row.PeakPlannerBytes = max(row.PeakPlannerBytes, bytes)
	}
	until := min(int(math.Ceil(row.UntilAllKnow.Seconds())), len(r.requests.seconds))
	for second := range until {
		row.WrongSends += int(r.wrongSends.seconds[second])
		row.Requests += int(r.requests.seconds[second])
		row.Refused += int(r.refused.seconds[second])
	}
	refusing, shut := 0, 0
	for second, requests := range r.requests.seconds {
		if r.unserved.seconds[second] > refusedTooMany*requests {
			refusing++
		}
		if r.gateShut.seconds[second] > 0 {
			shut++
		}
	}
	row.Stopped = appendStop(row.Stopped, "over 1% of requests refused or failed", refusing)
	row.Stopped = appendStop(row.Stopped, "requests at proxies without a lease", shut)
}

func appendStop(list []analysis.Stop, what string, seconds int) []analysis.Stop {
	if seconds == 0 {
		return list
	}
	return append(list, analysis.Stop{What: what, For: time.Duration(seconds) * time.Second})
}

// notListedOrUnfit is the fact that a database is gone from the list, or taken for one that does not answer.
func notListedOrUnfit(member int) fact {
	return func(v *virtual.View, proxy int) bool {
		d, listed := v.Database(proxy, member)
		return !listed || d.Health != "ok" || d.State != "ready"
	}
}

// newPrimary is the fact that another database than this one is a group's primary.
func newPrimary(group, old int) fact {
	return func(v *virtual.View, proxy int) bool {
		now := v.Primary(group)
		d, listed := v.Database(proxy, now)
		return now != old && listed && d.Role == "primary"
	}
}

// serves is the fact that a proxy may take requests.
func serves(v *virtual.View, proxy int) bool { return v.Serves(proxy) }

// crash lets databases die, and gives the facts that follow.
func crash(cfg *virtual.Config, at, length time.Duration, members []int) (facts []fact) {
	for _, m := range members {
		group, place := m/groupOf, m%groupOf
		cfg.Faults = append(cfg.Faults, virtual.Fault{At: at, Fault: fleet.Fault{Kind: fleet.Crash, Group: group, Member: place, For: length}})
		facts = append(facts, notListedOrUnfit(m))
		if place == 0 { // it is the primary, until there is an election
			facts = append(facts, newPrimary(group, m))
		}
	}
	return facts
}
