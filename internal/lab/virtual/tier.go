package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/lab/history"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

// Tier is what lies between several proxies before one fleet, and what befalls them. The zero value is a tier without talk, whose
// proxies live for ever.
type Tier struct {
	Peers    int           // facts that a datagram to all peers may hold; 0 = there is no talk
	PeerWay  time.Duration // of a datagram; 1 ms
	PeerLoss float64       // part of the datagrams that don't arrive, drawn for each receiver

	// Uneven is how traffic is spread: a proxy's part of it falls as a power, the first of a hundred gets 100^(1-1/Uneven) times the mean.
	// 1 or less = evenly.
	Uneven float64

	// ListCalls is how many calls a second the list's service answers, all proxies together, one after the other; 0 = any number at once.
	// A call that would wait for longer than ListPatience fails. A list that is pushed to a watcher counts as a call.
	ListCalls    float64
	ListPatience time.Duration // 1 s

	Mutes  []Mute
	Splits []Split
	Stops  []Stop

	Planners *Planners // nil = proxies take requests without a lease
	// Checks are health checks that the tier shares; it needs Planners. nil = each proxy checks all.
	Checks *SharedChecks
}

// Mute is a time in which peers don't hear each other.
type Mute struct{ At, For time.Duration }

// Split cuts a zone off: nothing passes between what is in it, proxies and databases, and what is not. Connections stay open, and silent.
type Split struct {
	At, For time.Duration
	Zone    int
	Others  []int // zones that are cut off together with it
}

// apart tells whether the cut lies between two zones.
func (s *Split) apart(a, b int) bool { return s.inside(a) != s.inside(b) }

func (s *Split) inside(zone int) bool { return zone == s.Zone || slices.Contains(s.Others, zone) }

// Stop ends proxies, and starts them again with nothing but the list that they had.
type Stop struct {
	At      time.Duration
	First   float64       // the first of them, as a part of the tier
	Share   float64       // how many, as a part of the tier
	For     time.Duration // until they start again, behind their end
	Proxies []int         // which; nil = those that First and Share say
	// Orderly proxies are told (SIGTERM): they take requests for 0.4 s more, answer all that they have and end, after 2 s at the latest.
	// Others are killed, and their clients see their connections reset.
	Orderly bool
}

// What an orderly end is given, by the platform's page.
const (
	stillServes = 400 * time.Millisecond
	endsAfter   = 2 * time.Second
)

// peerBuckets is how finely the times are told apart at which a datagram comes to its receivers: one event for each, not one for each
// receiver, or a day of 300 proxies would take hours.
const peerBuckets = 4

// tier is the model of it.
type tier struct {
	*Tier
	rng      *rand.Rand
	listFree time.Duration // when the list's service has time
	buckets  [peerBuckets][]*node
}

func (w *world) beginTier() {
	t := &tier{Tier: &w.cfg.Tier, rng: rand.New(rand.NewPCG(w.cfg.Seed, 0x71e2))}
	if t.PeerWay == 0 {
		t.PeerWay = time.Millisecond
	}
	if t.ListPatience == 0 {
		t.ListPatience = time.Second
	}
	w.tier = t
}

// Broadcast implements state.PeerSender: a datagram to all, over links that lose, delay and are cut. Whatever is sent to a proxy that is down, or
// that stands still for too long, is lost with it.
func (n *node) Broadcast(message []byte) {
	w, t := n.w, n.w.tier
	w.res.Messages++
	w.res.MessageBytes += uint64(len(message))
	n.count(noDatabase, PeerMessage, Sent, len(message))
	text := append([]byte(nil), message...)
	start := t.rng.IntN(len(w.nodes)) // receivers change buckets: nobody is always the last to hear
	for b := range t.buckets {
		t.buckets[b] = t.buckets[b][:0]
	}
	for i, to := range w.nodes {
		if to == n || to.dead || t.PeerLoss > 0 && t.rng.Float64() < t.PeerLoss || t.parted(w.clock.now, n.zone, to.zone) || t.mute(w.clock.now) {
			continue
		}
		b := (start + i) % peerBuckets
		t.buckets[b] = append(t.buckets[b], to)
	}
	for b := range t.buckets {
		if len(t.buckets[b]) == 0 {
			continue
		}
		to := append([]*node(nil), t.buckets[b]...)
		w.res.Delivered += uint64(len(to))
		w.res.DeliveredBytes += uint64(len(to) * len(message))
		w.at(w.clock.now+t.PeerWay+time.Duration(t.rng.ExpFloat64()*float64(t.PeerWay)), func() {
			for _, n := range to {
				n.hear(text)
			}
		})
	}
}

func (n *node) hear(text []byte) {
	if n.dead || n.w.clock.now < n.late { // a socket's buffer is not modelled: who doesn't read in time misses it
		return
	}
	if n.w.cfg.Clocked {
		defer n.clocked(n.w.stopwatch(), ControlWork, &n.w.res.InPeers)
	}
	n.count(noDatabase, PeerMessage, Received, len(text))
	n.front.ReceivePeerMessage(text)
	n.arm()
}

func (t *tier) mute(now time.Duration) bool {
	for _, m := range t.Mutes {
		if now >= base+m.At && now < base+m.At+m.For {
			return true
		}
	}
	return false
}

// parted tells whether nothing passes between two zones.
func (t *tier) parted(now time.Duration, a, b int) bool {
	for _, s := range t.Splits {
		if now >= base+s.At && now < base+s.At+s.For && s.apart(a, b) {
			return true
		}
	}
	return false
}

// partedUntil is the same for what waits for the end of the cut; 0 = they are not parted.
func (t *tier) partedUntil(now time.Duration, a, b int) (end time.Duration) {
	for _, s := range t.Splits {
		if now >= base+s.At && now < base+s.At+s.For && s.apart(a, b) {
			end = max(end, base+s.At+s.For)
		}
	}
	return end
}

// listed calls back when the list's service has had time for a call.
func (w *world) listed(n *node, do func(ok bool)) {
	t, now, life := w.tier, w.clock.now, n.life
	w.res.ListCalls++
	at, ok := now+time.Millisecond, true
	if t.ListCalls > 0 {
		each := time.Duration(float64(time.Second) / t.ListCalls)
		t.listFree = max(t.listFree, now)
		if t.listFree-now > t.ListPatience {
			at, ok = now+t.ListPatience, false
		} else {
			t.listFree += each
			at = t.listFree
		}
	}
	w.at(at, func() {
		if n.life == life {
			do(ok)
		}
	})
}

// ---- Proxies that stop ----

func (w *world) stops() {
	for _, s := range w.cfg.Tier.Stops {
		for _, n := range w.hitBy(&s) {
			if !s.Orderly {
				w.at(base+s.At, func() { n.kill(s.For) })
				continue
			}
			w.at(base+s.At+stillServes, func() { n.leaving = true })
			w.at(base+s.At+stillServes, func() { n.end(base+s.At+endsAfter, s.For) })
		}
	}
}

// hitBy gives the proxies that a stop ends.
func (w *world) hitBy(s *Stop) (nodes []*node) {
	for _, i := range s.Proxies {
		nodes = append(nodes, w.nodes[i])
	}
	if s.Proxies != nil {
		return nodes
	}
	first := int(math.Round(s.First * float64(len(w.nodes))))
	last := min(first+int(math.Round(s.Share*float64(len(w.nodes)))), len(w.nodes))
	return w.nodes[min(first, last):last]
}

// end waits until all is answered, or until the time is over.
func (n *node) end(latest, down time.Duration) {
	if n.dead {
		return
	}
	if n.front.Pending() > 0 && n.w.clock.now < latest {
		n.w.at(n.w.clock.now+5*time.Millisecond, func() { n.end(latest, down) })
		return
	}
	n.kill(down)
}

// kill ends a proxy at once. Who waits for an answer of it sees the connection reset; the databases see theirs end.
func (n *node) kill(down time.Duration) {
	if n.dead {
		return
	}
	w := n.w
	n.dead, n.leaving = true, false
	n.life++
	w.res.Stopped++
	if n.link != nil {
		n.link.leave()
	}
	n.inbox = nil
	for _, list := range w.watched {
		for _, r := range list {
			if !r.over && r.n == n && r.inHand {
				r.lost()
			}
		}
	}
	for c := range n.conns {
		c.Close()
	}
	addCounters(&w.res.Counters, &n.front.Counters)
	known := w.list(logic.ListCached)
	w.at(w.clock.now+down, func() { n.start(known) })
}

// start brings a proxy up with nothing but a list.
func (n *node) start(known state.List) {
	n.dead, n.watch = false, false
	n.front = n.w.front(n)
	if n.w.planner != nil {
		n.w.planner.join(n)
	}
	n.proxy(func() { n.front.Start(n, known) })
}

// lost is the end of a try whose proxy died: its client comes again at another one, as far as it does so at all.
func (r *request) lost() {
	r.inHand = false
	r.record(history.Failed)
	w := r.w
	if r.tries > w.cfg.Retries || w.clock.now+w.cfg.RetryWait >= r.until {
		r.end(&w.res.Classes[r.class].Failed, 0)
		return
	}
	w.at(w.clock.now+max(w.cfg.RetryWait, time.Millisecond), func() {
		r.n = w.living(r.n.i + 1)
		r.try()
	})
}

// joined tells whether a proxy has the tier's policy, without which it is not ready.
func (n *node) joined() bool { return n.link == nil || n.link.proxy.Member() != 0 }

// living gives the proxy at a place, or the next that takes requests.
func (w *world) living(i int) *node {
	for k := range w.nodes {
		if n := w.nodes[(i+k)%len(w.nodes)]; !n.dead && !n.leaving && n.joined() {
			return n
		}
	}
	return w.nodes[i%len(w.nodes)]
}

// home is the place of a session's proxy.
func (w *world) home(group, session int) int {
	i := group*w.cfg.Sessions + session
	if w.cfg.Tier.Uneven <= 1 {
		return i % len(w.nodes)
	}
	u := float64(uint64(i+1)*0x9e3779b97f4a7c15>>11) / (1 << 53)
	return min(int(math.Pow(u, w.cfg.Tier.Uneven)*float64(len(w.nodes))), len(w.nodes)-1)
}
