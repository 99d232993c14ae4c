// Package worksim simulates, on a virtual clock, a tier whose proxies take over keyed writes of one another (package takeover). Proxies end or
// are paused, links are cut, messages are lost, duplicated and reordered, clocks run at different rates, clients retry at other proxies, and
// databases deduplicate for a limited time and may run a write late. An auditor records every application of a write and every answer.
package worksim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/clockwork"
	"havenproxy/internal/takeover"
)

// Config holds the parameters of a simulation. Shares are between 0 and 1.
type Config struct {
	Seed          uint64
	Proxies       int
	Writes        int
	WriteInterval time.Duration // between two writes, in the mean
	Takeover      takeover.Config
	Durability    takeover.Durability
	Enabled       bool // proxies replicate records; false = the baseline without takeover

	Loss, Duplication   float64       // shares of the messages
	MaxDelay            time.Duration // of a message
	FaultInterval       time.Duration // between two faults, in the mean; 0 = no faults
	MaxFault            time.Duration // duration of a fault
	MembershipTimeout   time.Duration // after which a proxy that is down or cut off is removed from the members
	ClockSkew           float64       // by which the rates of clocks differ at most
	DeduplicationWindow time.Duration // for which a database remembers a key
	ClientTimeout       time.Duration
	MaxRunTime          time.Duration // of a write at the database; one in ten takes up to ten times as long
	Retries             int           // of a client
	MaxConcurrentFaults int           // 0 = any number
	FaultPause          time.Duration // after a fault before the next one, with MaxConcurrentFaults
	HeldShare           float64       // of the writes that wait for a primary, for up to ClientTimeout
	PauseBeforeWrite    bool          // a proxy may be paused between its check of the lease and its write
	MaxRetryPause       time.Duration // before a client retries; 0 = it retries after ClientTimeout
}

// Result counts what happened, by key unless it says otherwise.
type Result struct {
	Writes, Served, Refused, Failed, Unanswered int // by the last answer that the client received
	Applied                                     int
	Doubled                                     int // applied more than once
	ServedUnapplied                             int // answered as served, but not applied
	RefusedApplied                              int // answered as refused, but applied
	RefusedAfterServed                          int
	SentAfterTakeover                           int // sent by a former owner after its successor had sent it
	FailedAfterServed                           int // allowed: the proxy of a late retry may not learn the outcome
	FirstBreach                                 string
	Counters                                    takeover.Counters // summed over the proxies
	Messages                                    int
}

// Violations counts the keys for which a guarantee was violated.
func (r Result) Violations() int {
	return r.Doubled + r.ServedUnapplied + r.RefusedApplied + r.RefusedAfterServed + r.SentAfterTakeover
}

type simulation struct {
	clockwork.Clock
	config  Config
	rng     *rand.Rand
	nodes   []*proxy
	next    takeover.Member
	keys    map[string]*keyHistory
	result  Result
	members []takeover.Member
	faulty  int

	memberLists []memberList // of members that there were, and the present one
	repeats     handover.Config
}

type memberList struct {
	members []takeover.Member
	endedAt time.Duration
}

// fate is what is known of a key by who sees all.
type keyHistory struct {
	name              string
	applied           []time.Duration
	answers           []string
	attempts          int
	epoch             takeover.Epoch // of the latest owner that has sent it
	sentAfterTakeover int            // sends of an owner that had been followed by another, which had sent
}

type proxy struct {
	i           int
	registry    *takeover.Registry // nil = it has ended
	member      takeover.Member
	life        int
	stopped     bool
	cut         bool
	offset      time.Duration
	rate        float64
	inbox       []func()
	requests    map[uint64]*request
	lastRequest uint64
}

// ask is a client's.
type request struct {
	history  *keyHistory
	deadline time.Duration
}

func (n *proxy) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// on lets a node do something, now or once it wakes.
func (s *simulation) run(n *proxy, life int, do func()) {
	switch {
	case n.life != life || n.registry == nil:
	case n.stopped:
		n.inbox = append(n.inbox, do)
	default:
		do()
		s.settle(n)
	}
}

// Run runs a simulation to its end.
func Run(cfg Config) Result {
	s := &simulation{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x3013)), keys: map[string]*keyHistory{},
		repeats: handover.Config{}.WithDefaults()}
	for i := range cfg.Proxies {
		s.nodes = append(s.nodes, &proxy{i: i, offset: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 1 + cfg.ClockSkew*(2*s.rng.Float64()-1)})
		s.start(s.nodes[i])
	}
	s.broadcastMembers()
	for i := range cfg.Writes {
		s.After(time.Duration(i)*cfg.WriteInterval+time.Duration(s.rng.Int64N(int64(cfg.WriteInterval))), func() { s.write(i) })
	}
	if cfg.FaultInterval > 0 {
		s.After(time.Duration(s.rng.ExpFloat64()*float64(cfg.FaultInterval)), s.fault)
	}
	end := time.Duration(cfg.Writes)*cfg.WriteInterval + time.Duration(cfg.Retries+1)*(cfg.ClientTimeout+cfg.MaxRetryPause) + 30*time.Second
	s.Run(end)
	s.audit()
	return s.result
}

func (s *simulation) start(n *proxy) {
	s.next++
	n.member, n.registry, n.life = s.next, takeover.New(s.config.Takeover), n.life+1
	n.inbox, n.requests = nil, map[uint64]*request{}
	s.members = append(s.members, n.member)
	life := n.life
	var tick func()
	tick = func() {
		if n.life == life && n.registry != nil {
			if !n.stopped {
				if !n.cut && slices.Contains(s.members, n.member) { // the planners prolong it
					n.registry.ExtendMembership(n.clock(s.Now) + s.config.MembershipTimeout*4/5)
				}
				n.registry.Tick(n.clock(s.Now))
				s.settle(n)
			}
			s.After(15*time.Millisecond, tick)
		}
	}
	s.After(time.Duration(s.rng.Int64N(int64(15*time.Millisecond))), tick)
}

// members tells all, each a little later than the other, who belongs to the tier.
func (s *simulation) broadcastMembers() {
	list := slices.Clone(s.members)
	keep := s.config.MembershipTimeout + s.config.Takeover.WithDefaults().Retention
	s.memberLists = slices.DeleteFunc(s.memberLists, func(l memberList) bool { return s.Now-l.endedAt > keep })
	before := slices.Clone(s.memberLists)
	s.memberLists = append(s.memberLists, memberList{list, s.Now})
	if len(s.memberLists) > 1 {
		s.memberLists[len(s.memberLists)-2].endedAt = s.Now
	}
	for _, n := range s.nodes {
		if n.registry == nil || n.cut {
			continue
		}
		life := n.life
		s.After(time.Duration(s.rng.Int64N(int64(s.config.MaxDelay)+1)), func() {
			s.run(n, life, func() {
				now := n.clock(s.Now)
				n.registry.SetMembers(now, n.member, list, now+keep)
				for _, l := range before {
					n.registry.AddPastMembers(l.members, now+keep)
				}
			})
		})
	}
}

func (s *simulation) remove(m takeover.Member) {
	if i := slices.Index(s.members, m); i >= 0 {
		s.members = slices.Delete(slices.Clone(s.members), i, i+1)
		s.broadcastMembers()
	}
}

// settle carries out what a proxy wants.
func (s *simulation) settle(n *proxy) {
	for n.registry != nil {
		ready := n.registry.TakeReady()
		if ready.Empty() {
			return
		}
		for _, x := range ready.Messages {
			s.send(n, x)
		}
		for _, o := range ready.Actions {
			s.act(n, o)
		}
	}
}

func (s *simulation) send(n *proxy, x takeover.Envelope) {
	s.result.Messages++
	if n.cut || s.rng.Float64() < s.config.Loss {
		return
	}
	to := slices.IndexFunc(s.nodes, func(o *proxy) bool { return o.member == x.To && o.registry != nil })
	if to < 0 {
		return
	}
	o, from := s.nodes[to], n.member
	life := o.life
	arrive := func() {
		if !o.cut {
			s.run(o, life, func() { o.registry.Receive(o.clock(s.Now), from, x.Message) })
		}
	}
	s.After(time.Duration(s.rng.Int64N(int64(s.config.MaxDelay)+1)), arrive)
	if s.rng.Float64() < s.config.Duplication {
		s.After(time.Duration(s.rng.Int64N(50*int64(s.config.MaxDelay)+1)), arrive)
	}
}

// write is a client's first ask for a key.
func (s *simulation) write(i int) {
	f := &keyHistory{name: fmt.Sprint("k", i)}
	s.keys[f.name] = f
	s.result.Writes++
	s.request(f)
}

func (s *simulation) request(f *keyHistory) {
	f.attempts++
	tries := f.attempts
	heard := len(f.answers)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.registry != nil { // its socket is open, whether it stands still or not
		life := n.life
		end := s.Now + s.config.ClientTimeout
		s.run(n, life, func() { s.receiveRequest(n, f, end) })
	}
	// It asks again with its key where it has no answer, or is told to, and after a while anyway: it may have lost its connection.
	wait := s.config.ClientTimeout
	if s.config.MaxRetryPause > 0 {
		wait = time.Duration(s.rng.Int64N(int64(s.config.MaxRetryPause)))
	}
	s.After(wait, func() {
		if f.attempts == tries && f.attempts <= s.config.Retries && (len(f.answers) == heard || f.answers[len(f.answers)-1] != "served") {
			s.request(f)
		}
	})
}

func (s *simulation) receiveRequest(n *proxy, f *keyHistory, end time.Duration) {
	n.lastRequest++
	id := n.lastRequest
	n.requests[id] = &request{f, end}
	if !s.config.Enabled {
		s.sendWrite(n, f.name, math.MaxInt64)
		return
	}
	for _, o := range s.nodes { // as its links show: one that stands still keeps its own
		n.registry.SetReachable(o.member, o.registry != nil && !o.cut && !n.cut)
	}
	n.registry.Begin(n.clock(s.Now), id, takeover.Work{Key: f.name, Digest: 7, TimeLeft: max(end-s.Now, 0), IsRetry: f.attempts > 1}, s.config.Durability)
}

func (s *simulation) act(n *proxy, o takeover.Action) {
	switch o.Kind {
	case takeover.Send:
		last := time.Duration(math.MaxInt64) // when it may be sent
		if o.TakenOver != nil && o.TakenOver.MayHaveBeenSent && !s.config.Takeover.DisabledGuards.Has(takeover.NoWindowCheck) {
			// It must not be under way any more when its group forgets the key, by the judgement of one proxy.
			last = s.repeats.ResendDeadline(s.Now-o.TakenOver.SinceFirstSend, s.config.DeduplicationWindow, 10*s.config.MaxRunTime)
		}
		if s.rng.Float64() < s.config.HeldShare { // it waits for a primary
			life := n.life
			s.After(time.Duration(s.rng.Int64N(int64(s.config.ClientTimeout))), func() {
				s.run(n, life, func() { s.sendWrite(n, o.Key, last) })
			})
			return
		}
		s.sendWrite(n, o.Key, last)
	case takeover.SendUnreplicated:
		s.sendWrite(n, o.Key, math.MaxInt64)
	case takeover.Answer:
		s.answer(n, o.ID, "served")
	case takeover.Reject:
		s.answer(n, o.ID, "refused")
	case takeover.FailUnknown, takeover.Conflict:
		s.answer(n, o.ID, "failed")
	}
}

// send is the proxy's look at the promise, and its write, at last then.
func (s *simulation) sendWrite(n *proxy, key string, last time.Duration) {
	life := n.life
	if s.config.Enabled && !n.registry.MaySend(n.clock(s.Now), key) {
		return // the keepers' word counts from here on
	}
	if s.Now >= last {
		n.registry.Complete(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Unknown})
		s.settle(n)
		return
	}
	epoch := takeover.Epoch(0)
	if s.config.Enabled {
		epoch = n.registry.Epoch(key)
	}
	write := func() {
		f := s.keys[key]
		if epoch > 0 && epoch < f.epoch {
			f.sentAfterTakeover++
		}
		f.epoch = max(f.epoch, epoch)
		took := time.Duration(s.rng.Int64N(int64(s.config.MaxRunTime) + 1))
		if s.rng.IntN(10) == 0 {
			took *= 10
		}
		if s.rng.IntN(20) == 0 { // lost on its way
			return
		}
		s.After(took, func() {
			if k := len(f.applied); k == 0 || s.Now-f.applied[k-1] >= s.config.DeduplicationWindow {
				f.applied = append(f.applied, s.Now)
			}
			if s.rng.IntN(20) == 0 { // the answer is
				return
			}
			s.After(time.Duration(s.rng.Int64N(int64(2*time.Millisecond))), func() {
				s.run(n, life, func() {
					if s.config.Enabled {
						n.registry.Complete(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Served})
						return
					}
					for id, a := range n.requests {
						if a.history == f {
							s.answer(n, id, "served")
						}
					}
				})
			})
		})
		// Without an answer in its time the attempt is given up: what became of it isn't known.
		s.After(s.config.ClientTimeout, func() {
			s.run(n, life, func() {
				if s.config.Enabled {
					n.registry.Complete(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Unknown})
				}
			})
		})
	}
	if s.config.PauseBeforeWrite && s.rng.IntN(50) == 0 {
		s.After(time.Duration(s.rng.Int64N(int64(s.config.MaxFault))), func() {
			if n.life == life && n.registry != nil {
				n.registry.CheckSent(n.clock(s.Now), key)
				write()
			}
		})
		return
	}
	write()
}

func (s *simulation) answer(n *proxy, id uint64, what string) {
	a := n.requests[id]
	if a == nil {
		return
	}
	delete(n.requests, id)
	if s.Now > a.deadline+500*time.Millisecond { // its client has gone
		return
	}
	a.history.answers = append(a.history.answers, what)
}
