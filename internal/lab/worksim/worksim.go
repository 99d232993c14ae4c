// Package worksim plays, on a virtual clock, a tier whose proxies hand keyed writes on (package takeover): proxies that end, stand still and
// wake, links that are cut, messages that are lost, doubled and overtaken, clocks of unlike rates, clients that ask again elsewhere, and
// databases that remember a key for a while and may run what they got late. An auditor notes every application and every answer.
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

// Config is a play's.
type Config struct {
	Seed    uint64
	Proxies int
	Writes  int           // begun, one each Every
	Every   time.Duration // in the mean
	Work    takeover.Config
	Survive takeover.Survive
	On      bool // proxies keep records; false = as without

	Loss, Double float64
	Delay        time.Duration // of a message, at most; drawn for each
	Faults       time.Duration // between two, in the mean; 0 = none
	Longest      time.Duration // that one lasts
	Members      time.Duration // until a proxy that is gone or cut off is taken out of the list of members
	Skew         float64       // by which the rates of clocks differ at most
	Window       time.Duration // for which a database remembers a key
	Limit        time.Duration // that a client waits
	Runs         time.Duration // that a write takes at the database, at most: late ones in ten times that
	Again        int           // how often clients ask again
	Together     int           // proxies that may be down, paused or cut off at one time; 0 = any number
	Rest         time.Duration // behind a fault before the next may begin, where Together is set
	Held         float64       // part of the writes that wait for a primary, for up to Limit
	Between      bool          // a proxy may stand still between its look at the promise and its write
	SameTry      time.Duration // a client asks again after so long at the latest
}

// Result is what came of it.
type Result struct {
	Writes, Served, Refused, Failed, Silent int // by the last answer that a client heard
	Applied                                 int // keys that were applied
	Doubled                                 int // that were applied more than once
	Hollow                                  int // answers 'served' without an application
	Lies                                    int // answers 'refused' where the key was applied, before or behind
	Turned                                  int // 'refused' behind 'served'
	Behind                                  int // keys that an owner sent behind one who had taken them over and sent
	Unsure                                  int // 'failed' behind 'served': it can't be known where the client asked again
	First                                   string
	Counters                                takeover.Counters
	Messages                                int
}

// Breaches counts what must not be.
func (r Result) Breaches() int { return r.Doubled + r.Hollow + r.Lies + r.Turned + r.Behind }

type sim struct {
	clockwork.Clock
	cfg   Config
	rng   *rand.Rand
	nodes []*node
	next  takeover.Member
	keys  map[string]*fate
	out   Result
	list  []takeover.Member
	ill   int

	lists   []oldList // of members that there were, and the present one
	repeats handover.Config
}

type oldList struct {
	members []takeover.Member
	ended   time.Duration
}

// fate is what is known of a key by who sees all.
type fate struct {
	name    string
	applied []time.Duration
	heard   []string
	tries   int
	epoch   takeover.Epoch // of the latest owner that has sent it
	late    int            // sends of an owner that had been followed by another, which had sent
}

type node struct {
	i       int
	book    *takeover.Book // nil = it has ended
	member  takeover.Member
	life    int
	stopped bool
	cut     bool
	offset  time.Duration
	rate    float64
	inbox   []func()
	asked   map[uint64]*ask
	ids     uint64
}

// ask is a client's.
type ask struct {
	f   *fate
	end time.Duration
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// on lets a node do something, now or once it wakes.
func (s *sim) on(n *node, life int, do func()) {
	switch {
	case n.life != life || n.book == nil:
	case n.stopped:
		n.inbox = append(n.inbox, do)
	default:
		do()
		s.settle(n)
	}
}

// Play plays it.
func Play(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x3013)), keys: map[string]*fate{},
		repeats: handover.Config{}.WithDefaults()}
	for i := range cfg.Proxies {
		s.nodes = append(s.nodes, &node{i: i, offset: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 1 + cfg.Skew*(2*s.rng.Float64()-1)})
		s.begin(s.nodes[i])
	}
	s.members()
	for i := range cfg.Writes {
		s.After(time.Duration(i)*cfg.Every+time.Duration(s.rng.Int64N(int64(cfg.Every))), func() { s.write(i) })
	}
	if cfg.Faults > 0 {
		s.After(time.Duration(s.rng.ExpFloat64()*float64(cfg.Faults)), s.fault)
	}
	end := time.Duration(cfg.Writes)*cfg.Every + time.Duration(cfg.Again+1)*(cfg.Limit+cfg.SameTry) + 30*time.Second
	s.Run(end)
	s.audit()
	return s.out
}

func (s *sim) begin(n *node) {
	s.next++
	n.member, n.book, n.life = s.next, takeover.New(s.cfg.Work), n.life+1
	n.inbox, n.asked = nil, map[uint64]*ask{}
	s.list = append(s.list, n.member)
	life := n.life
	var tick func()
	tick = func() {
		if n.life == life && n.book != nil {
			if !n.stopped {
				if !n.cut && slices.Contains(s.list, n.member) { // the planners prolong it
					n.book.Belongs(n.clock(s.Now) + s.cfg.Members*4/5)
				}
				n.book.Tick(n.clock(s.Now))
				s.settle(n)
			}
			s.After(15*time.Millisecond, tick)
		}
	}
	s.After(time.Duration(s.rng.Int64N(int64(15*time.Millisecond))), tick)
}

// members tells all, each a little later than the other, who belongs to the tier.
func (s *sim) members() {
	list := slices.Clone(s.list)
	keep := s.cfg.Members + s.cfg.Work.WithDefaults().Keep
	s.lists = slices.DeleteFunc(s.lists, func(l oldList) bool { return s.Now-l.ended > keep })
	before := slices.Clone(s.lists)
	s.lists = append(s.lists, oldList{list, s.Now})
	if len(s.lists) > 1 {
		s.lists[len(s.lists)-2].ended = s.Now
	}
	for _, n := range s.nodes {
		if n.book == nil || n.cut {
			continue
		}
		life := n.life
		s.After(time.Duration(s.rng.Int64N(int64(s.cfg.Delay)+1)), func() {
			s.on(n, life, func() {
				now := n.clock(s.Now)
				n.book.View(now, n.member, list, now+keep)
				for _, l := range before {
					n.book.Before(l.members, now+keep)
				}
			})
		})
	}
}

func (s *sim) gone(m takeover.Member) {
	if i := slices.Index(s.list, m); i >= 0 {
		s.list = slices.Delete(slices.Clone(s.list), i, i+1)
		s.members()
	}
}

// settle carries out what a proxy wants.
func (s *sim) settle(n *node) {
	for n.book != nil {
		say, orders := n.book.Out()
		if len(say)+len(orders) == 0 {
			return
		}
		for _, x := range say {
			s.post(n, x)
		}
		for _, o := range orders {
			s.do(n, o)
		}
	}
}

func (s *sim) post(n *node, x takeover.Say) {
	s.out.Messages++
	if n.cut || s.rng.Float64() < s.cfg.Loss {
		return
	}
	to := slices.IndexFunc(s.nodes, func(o *node) bool { return o.member == x.To && o.book != nil })
	if to < 0 {
		return
	}
	o, from := s.nodes[to], n.member
	life := o.life
	arrive := func() {
		if !o.cut {
			s.on(o, life, func() { o.book.Heard(o.clock(s.Now), from, x.Message) })
		}
	}
	s.After(time.Duration(s.rng.Int64N(int64(s.cfg.Delay)+1)), arrive)
	if s.rng.Float64() < s.cfg.Double {
		s.After(time.Duration(s.rng.Int64N(50*int64(s.cfg.Delay)+1)), arrive)
	}
}

// write is a client's first ask for a key.
func (s *sim) write(i int) {
	f := &fate{name: fmt.Sprint("k", i)}
	s.keys[f.name] = f
	s.out.Writes++
	s.try(f)
}

func (s *sim) try(f *fate) {
	f.tries++
	tries := f.tries
	heard := len(f.heard)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.book != nil { // its socket is open, whether it stands still or not
		life := n.life
		end := s.Now + s.cfg.Limit
		s.on(n, life, func() { s.take(n, f, end) })
	}
	// It asks again with its key where it has no answer, or is told to, and after a while anyway: it may have lost its connection.
	wait := s.cfg.Limit
	if s.cfg.SameTry > 0 {
		wait = time.Duration(s.rng.Int64N(int64(s.cfg.SameTry)))
	}
	s.After(wait, func() {
		if f.tries == tries && f.tries <= s.cfg.Again && (len(f.heard) == heard || f.heard[len(f.heard)-1] != "served") {
			s.try(f)
		}
	})
}

func (s *sim) take(n *node, f *fate, end time.Duration) {
	n.ids++
	id := n.ids
	n.asked[id] = &ask{f, end}
	if !s.cfg.On {
		s.send(n, f.name, math.MaxInt64)
		return
	}
	for _, o := range s.nodes { // as its links show: one that stands still keeps its own
		n.book.Link(o.member, o.book != nil && !o.cut && !n.cut)
	}
	n.book.Begin(n.clock(s.Now), id, takeover.Work{Key: f.name, Digest: 7, Left: max(end-s.Now, 0), Repeat: f.tries > 1}, s.cfg.Survive)
}

func (s *sim) do(n *node, o takeover.Order) {
	switch o.Do {
	case takeover.Go:
		last := time.Duration(math.MaxInt64) // when it may be sent
		if o.Run != nil && o.Run.May && !s.cfg.Work.Without.Has(takeover.NoWindow) {
			// It must not be under way any more when its group forgets the key, by the judgement of one proxy.
			last = s.repeats.ResendUntil(s.Now-o.Run.First, s.cfg.Window, 10*s.cfg.Runs)
		}
		if s.rng.Float64() < s.cfg.Held { // it waits for a primary
			life := n.life
			s.After(time.Duration(s.rng.Int64N(int64(s.cfg.Limit))), func() {
				s.on(n, life, func() { s.send(n, o.Key, last) })
			})
			return
		}
		s.send(n, o.Key, last)
	case takeover.Without:
		s.send(n, o.Key, math.MaxInt64)
	case takeover.Answer:
		s.hear(n, o.ID, "served")
	case takeover.Refuse:
		s.hear(n, o.ID, "refused")
	case takeover.Give, takeover.Clash:
		s.hear(n, o.ID, "failed")
	}
}

// send is the proxy's look at the promise, and its write, at last then.
func (s *sim) send(n *node, key string, last time.Duration) {
	life := n.life
	if s.cfg.On && !n.book.MaySend(n.clock(s.Now), key) {
		return // the keepers' word counts from here on
	}
	if s.Now >= last {
		n.book.Ended(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Unknown})
		s.settle(n)
		return
	}
	epoch := takeover.Epoch(0)
	if s.cfg.On {
		epoch = n.book.Epoch(key)
	}
	write := func() {
		f := s.keys[key]
		if epoch > 0 && epoch < f.epoch {
			f.late++
		}
		f.epoch = max(f.epoch, epoch)
		took := time.Duration(s.rng.Int64N(int64(s.cfg.Runs) + 1))
		if s.rng.IntN(10) == 0 {
			took *= 10
		}
		if s.rng.IntN(20) == 0 { // lost on its way
			return
		}
		s.After(took, func() {
			if k := len(f.applied); k == 0 || s.Now-f.applied[k-1] >= s.cfg.Window {
				f.applied = append(f.applied, s.Now)
			}
			if s.rng.IntN(20) == 0 { // the answer is
				return
			}
			s.After(time.Duration(s.rng.Int64N(int64(2*time.Millisecond))), func() {
				s.on(n, life, func() {
					if s.cfg.On {
						n.book.Ended(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Served})
						return
					}
					for id, a := range n.asked {
						if a.f == f {
							s.hear(n, id, "served")
						}
					}
				})
			})
		})
		// Without an answer in its time the attempt is given up: what became of it isn't known.
		s.After(s.cfg.Limit, func() {
			s.on(n, life, func() {
				if s.cfg.On {
					n.book.Ended(n.clock(s.Now), key, takeover.Result{Outcome: takeover.Unknown})
				}
			})
		})
	}
	if s.cfg.Between && s.rng.IntN(50) == 0 {
		s.After(time.Duration(s.rng.Int64N(int64(s.cfg.Longest))), func() {
			if n.life == life && n.book != nil {
				n.book.Judge(n.clock(s.Now), key)
				write()
			}
		})
		return
	}
	write()
}

func (s *sim) hear(n *node, id uint64, what string) {
	a := n.asked[id]
	if a == nil {
		return
	}
	delete(n.asked, id)
	if s.Now > a.end+500*time.Millisecond { // its client has gone
		return
	}
	a.f.heard = append(a.f.heard, what)
}

// fault lets a proxy end, stand still or be cut off, for a while.
func (s *sim) fault() {
	s.After(time.Duration(s.rng.ExpFloat64()*float64(s.cfg.Faults)), s.fault)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.stopped || n.cut || n.book == nil || s.cfg.Together > 0 && s.ill >= s.cfg.Together {
		return
	}
	s.ill++
	lasts := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(s.cfg.Longest)))
	s.After(max(lasts, s.cfg.Members)+s.cfg.Rest, func() { s.ill-- })
	m, life := n.member, n.life
	expire := func() {
		s.After(s.cfg.Members, func() {
			if n.life != life || n.member != m || n.stopped || n.cut || n.book == nil {
				s.gone(m)
			}
		})
	}
	switch s.rng.IntN(3) {
	case 0:
		n.book = nil
		s.After(s.cfg.Members, func() { s.gone(m) })
		s.After(max(lasts, s.cfg.Members), func() { s.begin(n); s.members() })
	case 1:
		n.stopped = true
		expire()
		s.After(lasts, func() { s.wake(n, m) })
	default:
		n.cut = true
		expire()
		s.After(lasts, func() { n.cut = false; s.wake(n, m) })
	}
}

// wake lets a proxy go on: what waits in its sockets is read first. One that was taken out of the tier joins anew.
func (s *sim) wake(n *node, m takeover.Member) {
	n.stopped = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		if n.book != nil {
			do()
			s.settle(n)
		}
	}
	if n.book != nil && !slices.Contains(s.list, m) {
		s.next++
		n.member = s.next
		s.list = append(slices.Clone(s.list), n.member)
		s.members()
	}
}

func (s *sim) audit() {
	note := func(n *int, f *fate, what string) {
		if *n++; s.out.First == "" {
			s.out.First = fmt.Sprintf("%s %s: applied at %v, clients heard %v", f.name, what, f.applied, f.heard)
		}
	}
	for i := range s.out.Writes {
		f := s.keys[fmt.Sprint("k", i)]
		if len(f.applied) > 0 {
			s.out.Applied++
		}
		if len(f.applied) > 1 {
			note(&s.out.Doubled, f, "was doubled")
		}
		if f.late > 0 && !s.cfg.Between {
			note(&s.out.Behind, f, "was sent by one who had lost it")
		}
		served := slices.Index(f.heard, "served")
		switch {
		case served >= 0 && len(f.applied) == 0:
			note(&s.out.Hollow, f, "was served and not applied")
		case served >= 0 && slices.Contains(f.heard[served:], "failed"):
			s.out.Unsure++
		case served >= 0 && slices.Contains(f.heard[served:], "refused"):
			note(&s.out.Turned, f, "had another outcome behind served")
		}
		if slices.Contains(f.heard, "refused") && len(f.applied) > 0 && !s.cleared(f) {
			note(&s.out.Lies, f, "was refused and applied")
		}
		switch {
		case len(f.heard) == 0:
			s.out.Silent++
		case served >= 0:
			s.out.Served++
		case f.heard[len(f.heard)-1] == "refused":
			s.out.Refused++
		default:
			s.out.Failed++
		}
	}
	for _, n := range s.nodes {
		if n.book != nil {
			c := n.book.Counters
			s.out.Counters.Recorded += c.Recorded
			s.out.Counters.Without += c.Without
			s.out.Counters.Claimed += c.Claimed
			s.out.Counters.Again += c.Again
			s.out.Counters.Unknown += c.Unknown
			s.out.Counters.Joined += c.Joined
			s.out.Counters.Lost += c.Lost
			s.out.Counters.Beyond += c.Beyond
			s.out.Counters.Refused += c.Refused
		}
	}
}

// cleared tells that a key that was refused was asked for once more behind it, and ran then: a refusal is for what never ran by then.
func (s *sim) cleared(f *fate) bool {
	return f.tries > len(f.heard) || f.heard[len(f.heard)-1] != "refused"
}
