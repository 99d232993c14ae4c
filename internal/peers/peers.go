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
	roleInterval = 500 * time.Millisecond // a role that stays is told anew so often
	maxAge       = 2 * time.Second        // what lies so far back tells nothing
	maxClockSkew = 50 * time.Millisecond  // a fact from further ahead comes from a clock that can't be trusted
)

// Gossip is one proxy's.
type Gossip struct {
	cfg       Config
	databases map[uint64]*database
	byShortID map[uint32]*database // nil where two databases share a number: nothing can be said of either
	pending   []*database
	nextSend  time.Duration // when the next message may go out
	message   []Report
}

// known is what there is to know of one database.
type database struct {
	id            uint64
	observed      Report // by this proxy, the newest
	published     Report // the newest that all have heard, from whomever
	queued        bool   // it is in pending
	unsentFailure bool   // it has failed since it was last told of
}

// New makes one that knows no database.
func New(cfg Config) *Gossip {
	return &Gossip{cfg: cfg, databases: map[uint64]*database{}, byShortID: map[uint32]*database{}}
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
	if !g.Enabled() || g.databases[id] != nil {
		return
	}
	db, short := &database{id: id}, ShortID(id)
	g.databases[id] = db
	if _, twice := g.byShortID[short]; twice {
		g.byShortID[short] = nil
		return
	}
	g.byShortID[short] = db
}

// Remove forgets a database. The number of one that shared it stays barred.
func (g *Gossip) Remove(id uint64) {
	if short := ShortID(id); g.databases[id] != nil && g.byShortID[short] == g.databases[id] {
		delete(g.byShortID, short)
	}
	delete(g.databases, id)
}

// Observe notes what this proxy has seen itself.
func (g *Gossip) Observe(now time.Duration, id uint64, role Role, at, position time.Duration) {
	db := g.databases[id]
	if db == nil || g.byShortID[ShortID(id)] != db {
		return
	}
	db.observed.Status = Healthy
	if at >= db.observed.At {
		db.observed.At = at
		if role != Unknown {
			db.observed.Role = role
		}
	}
	db.observed.Position = max(db.observed.Position, position)
	g.queue(now, db)
}

// ObserveFailure notes that a database has failed just now. Each failure is told, a silence once: how many fail is what tells a database that
// fails now and then from one that must be left alone.
func (g *Gossip) ObserveFailure(now time.Duration, id uint64, status Status) {
	db := g.databases[id]
	if db == nil || g.byShortID[ShortID(id)] != db || status == Silent && db.published.Status == Silent && now-db.published.At < maxAge {
		return
	}
	db.observed.Status, db.observed.At, db.unsentFailure = status, now, true
	g.queue(now, db)
}

// queue lets news wait for this proxy's turn.
func (g *Gossip) queue(now time.Duration, db *database) {
	if !db.queued && g.hasNews(db) {
		if len(g.pending) == 0 { // the turn comes at a time of this proxy's own
			g.nextSend = max(g.nextSend, now+time.Duration(g.cfg.Phase*float64(g.cfg.Interval)/2))
		}
		db.queued = true
		g.pending = append(g.pending, db)
	}
}

// news tells whether the others are to hear what this proxy knows of a database.
func (g *Gossip) hasNews(db *database) bool {
	observed, published := &db.observed, &db.published
	if db.unsentFailure || published.At == 0 && observed.At > 0 { // that it answers is news as long as nobody has told
		return true
	}
	if observed.Role != Unknown && observed.At > published.At && (observed.Role != published.Role || observed.At-published.At >= roleInterval) {
		return true
	}
	return observed.Role == Replica && observed.Position >= published.Position+g.cfg.Interval
}

// NextMessage gives what is to be told now, in one message; nil = nothing. It is valid until the next call.
func (g *Gossip) NextMessage(now time.Duration) []Report {
	if len(g.pending) == 0 || now < g.nextSend {
		return nil
	}
	g.message = g.message[:0]
	taken := 0
	for _, db := range g.pending {
		if len(g.message) == g.cfg.MaxBatch {
			break
		}
		taken++
		db.queued = false
		if g.hasNews(db) && now-db.observed.At < maxAge && g.databases[db.id] == db {
			report := db.observed
			report.Database = ShortID(db.id)
			db.published, db.unsentFailure = report, false
			g.message = append(g.message, report)
		}
	}
	g.pending = append(g.pending[:0], g.pending[taken:]...)
	if len(g.message) == 0 {
		return nil
	}
	g.nextSend = now + g.cfg.Interval
	return g.message
}

// Accept holds a peer's word against what is known. It gives the database meant, and the fact as far as it may be used; false =
// it is of no use: unknown here, from a clock ahead, too old, or claiming data fresher than the moment at which they were seen.
func (g *Gossip) Accept(now time.Duration, report Report) (id uint64, used Report, ok bool) {
	db := g.byShortID[report.Database]
	if db == nil || report.At > now+maxClockSkew || now-report.At > maxAge || report.Position > report.At || report.Role > Replica || report.Status > Silent || report.At <= 0 {
		return 0, report, false
	}
	report.At = min(report.At, now)
	report.Position = min(report.Position, now)
	if report.Position > db.published.Position {
		db.published.Position = report.Position
	}
	if report.At > db.published.At {
		db.published.At, db.published.Role, db.published.Status = report.At, report.Role, report.Status
	}
	return db.id, report, true
}
