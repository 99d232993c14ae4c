// Package peers decides what a proxy tells the others of its tier about the databases, and what it believes of what they tell.
// With many proxies before one fleet each sees little of any database, and together they see each of them many times in a second:
// what one has learned from an answer spares the others a ping. It is pure: events and a clock are handed in.
//
// Each fact goes to all at once, since each receiver has its price whoever sends. Who has something to tell waits for its next turn, and
// holds it back if another has told as much meanwhile, as in Floyd and others, "A Reliable Multicast Framework for Light-weight
// Sessions" (1997). Nothing is ever repeated: a lost message costs a ping, as if nobody had told, and a doubled or late one tells nothing
// new. A peer's word never adds a database that the own list has not named, never warms a cold one, and is no sign of life.
package peers

import "time"

// Role is what a database was when it last spoke, as in package logic.
type Role uint8

// The roles.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Status is how a database fared when it was last tried.
type Status uint8

// The ways in which it may fare. What a peer tells of one that ails is a reason to look, not a verdict.
const (
	Healthy Status = iota
	Failing        // it has answered a request with an error, or broken its connection
	Silent         // it owes answers and gives none, pings neither
)

// Report is what was seen of a database. Times are on the proxy's own clock.
type Report struct {
	Database uint32 // short for the database's number: see Short
	Role     Role
	Status   Status
	At       time.Duration // when it was so
	Position time.Duration // all commits up to then are applied; 0 = not told
}

// Config is what Gossip needs to know of the deployment. The zero value tells and believes nothing.
type Config struct {
	Proxies  int           // of the tier
	Interval time.Duration // a position is told anew once it has moved by so much
	MaxBatch int           // facts in one message
	Phase    float64       // 0 to 1, each proxy's own: turns don't come at one time
}

const (
	rolesEvery = 500 * time.Millisecond // a role that stays is told anew so often
	tooOld     = 2 * time.Second        // what lies so far back tells nothing
	skew       = 50 * time.Millisecond  // a fact from further ahead comes from a clock that can't be trusted
)

// Gossip is one proxy's.
type Gossip struct {
	cfg     Config
	known   map[uint64]*known
	short   map[uint32]*known // nil where two databases share a number: nothing can be said of either
	pending []*known
	turn    time.Duration // when the next message may go out
	out     []Report
}

// known is what there is to know of one database.
type known struct {
	id    uint64
	seen  Report // by this proxy, the newest
	told  Report // the newest that all have heard, from whomever
	waits bool   // it is in pending
	fresh bool   // it has failed since it was last told of
}

// New makes one that knows no database.
func New(cfg Config) *Gossip {
	return &Gossip{cfg: cfg, known: map[uint64]*known{}, short: map[uint32]*known{}}
}

// Enabled tells whether anything is ever told.
func (g *Gossip) Enabled() bool { return g.cfg.Proxies > 1 && g.cfg.Interval > 0 && g.cfg.MaxBatch > 0 }

// ShortID gives the number of a database in messages, by the finalizer of MurmurHash3.
func ShortID(id uint64) uint32 {
	id ^= id >> 33
	id *= 0xff51afd7ed558ccd
	id ^= id >> 33
	id *= 0xc4ceb9fe1a85ec53
	return uint32(id >> 32)
}

// Add lets a database be told of; the own list has named it.
func (g *Gossip) Add(id uint64) {
	if !g.Enabled() || g.known[id] != nil {
		return
	}
	k, s := &known{id: id}, ShortID(id)
	g.known[id] = k
	if _, twice := g.short[s]; twice {
		g.short[s] = nil
		return
	}
	g.short[s] = k
}

// Remove forgets a database. The number of one that shared it stays barred.
func (g *Gossip) Remove(id uint64) {
	if s := ShortID(id); g.known[id] != nil && g.short[s] == g.known[id] {
		delete(g.short, s)
	}
	delete(g.known, id)
}

// Observe notes what this proxy has seen itself.
func (g *Gossip) Observe(now time.Duration, id uint64, role Role, at, position time.Duration) {
	k := g.known[id]
	if k == nil || g.short[ShortID(id)] != k {
		return
	}
	k.seen.Status = Healthy
	if at >= k.seen.At {
		k.seen.At = at
		if role != Unknown {
			k.seen.Role = role
		}
	}
	k.seen.Position = max(k.seen.Position, position)
	g.queue(now, k)
}

// ObserveFailure notes that a database has failed just now. Each failure is told, a silence once: how many fail is what tells a database that
// fails now and then from one that must be left alone.
func (g *Gossip) ObserveFailure(now time.Duration, id uint64, how Status) {
	k := g.known[id]
	if k == nil || g.short[ShortID(id)] != k || how == Silent && k.told.Status == Silent && now-k.told.At < tooOld {
		return
	}
	k.seen.Status, k.seen.At, k.fresh = how, now, true
	g.queue(now, k)
}

// queue lets news wait for this proxy's turn.
func (g *Gossip) queue(now time.Duration, k *known) {
	if !k.waits && g.news(k) {
		if len(g.pending) == 0 { // the turn comes at a time of this proxy's own
			g.turn = max(g.turn, now+time.Duration(g.cfg.Phase*float64(g.cfg.Interval)/2))
		}
		k.waits = true
		g.pending = append(g.pending, k)
	}
}

// news tells whether the others are to hear what this proxy knows of a database.
func (g *Gossip) news(k *known) bool {
	s, t := &k.seen, &k.told
	if k.fresh || t.At == 0 && s.At > 0 { // that it answers is news as long as nobody has told
		return true
	}
	if s.Role != Unknown && s.At > t.At && (s.Role != t.Role || s.At-t.At >= rolesEvery) {
		return true
	}
	return s.Role == Replica && s.Position >= t.Position+g.cfg.Interval
}

// NextMessage gives what is to be told now, in one message; nil = nothing. It is valid until the next call.
func (g *Gossip) NextMessage(now time.Duration) []Report {
	if len(g.pending) == 0 || now < g.turn {
		return nil
	}
	g.out = g.out[:0]
	n := 0
	for _, k := range g.pending {
		if len(g.out) == g.cfg.MaxBatch {
			break
		}
		n++
		k.waits = false
		if g.news(k) && now-k.seen.At < tooOld && g.known[k.id] == k {
			f := k.seen
			f.Database = ShortID(k.id)
			k.told, k.fresh = f, false
			g.out = append(g.out, f)
		}
	}
	g.pending = append(g.pending[:0], g.pending[n:]...)
	if len(g.out) == 0 {
		return nil
	}
	g.turn = now + g.cfg.Interval
	return g.out
}

// Accept holds a peer's word against what is known. It gives the database meant, and the fact as far as it may be used; false =
// it is of no use: unknown here, from a clock ahead, too old, or claiming data fresher than the moment at which they were seen.
func (g *Gossip) Accept(now time.Duration, f Report) (id uint64, used Report, ok bool) {
	k := g.short[f.Database]
	if k == nil || f.At > now+skew || now-f.At > tooOld || f.Position > f.At || f.Role > Replica || f.Status > Silent || f.At <= 0 {
		return 0, f, false
	}
	f.At = min(f.At, now)
	f.Position = min(f.Position, now)
	if f.Position > k.told.Position {
		k.told.Position = f.Position
	}
	if f.At > k.told.At {
		k.told.At, k.told.Role, k.told.Status = f.At, f.Role, f.Status
	}
	return k.id, f, true
}
