// Package peers decides which reports on databases a proxy sends to the other proxies of its tier, and which of their reports it accepts.
// With many proxies in front of one fleet, each proxy gets few answers from any one database, and all together get many a second: what one
// proxy learns from an answer spares the others a ping. The package does no I/O and reads no clock: callers pass in events and the time.
//
// Each report is sent to all peers at once, since the cost at the receivers doesn't depend on who sends it. A proxy that has something to
// report waits for its next send time, and suppresses the report if a peer has sent the same meanwhile, as in Floyd and others, "A Reliable
// Multicast Framework for Light-weight Sessions" (1997). Nothing is retransmitted: a lost message costs a ping, as if it had not been sent,
// and a duplicate or late one has no effect. A peer's report never adds a database that the proxy's own list lacks, never marks a cold one as
// warm, and is no sign of life.
package peers

import "time"

// Role is the role of a database at its last answer, as in package logic.
type Role uint8

// The roles.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Status is the outcome of the last attempt to use a database.
type Status uint8

// The statuses. A peer's report of Failing or Silent is a reason to check the database, not a verdict.
const (
	Healthy Status = iota
	Failing        // it answered a request with an error, or closed the connection
	Silent         // it answers neither requests nor pings
)

// Report is an observation of a database. Times are on the proxy's own clock.
type Report struct {
	Database uint32 // as returned by ShortID
	Role     Role
	Status   Status
	At       time.Duration // time of the observation
	Position time.Duration // all commits up to then are applied; 0 = unknown
}

// Config is the configuration of Gossip. With its zero value no reports are sent or accepted.
type Config struct {
	Proxies  int           // number of proxies in the tier
	Interval time.Duration // minimum time between messages; a position is sent again once it has advanced by this much
	MaxBatch int           // maximum number of reports in one message
	Phase    float64       // 0 to 1, different for each proxy, so that they don't send at the same time
}

const (
	roleInterval = 500 * time.Millisecond // interval at which an unchanged role is sent again
	maxAge       = 2 * time.Second        // older reports are not sent or accepted
	maxClockSkew = 50 * time.Millisecond  // reports from further in the future are rejected: the sender's clock is wrong
)

// Gossip holds the reports that one proxy has made and accepted. It is not safe for concurrent use.
type Gossip struct {
	cfg       Config
	databases map[uint64]*database
	byShortID map[uint32]*database // nil where two databases have the same short ID: neither can be reported
	pending   []*database
	nextSend  time.Duration // earliest time of the next message
	message   []Report
}

// database is the state of one database.
type database struct {
	id            uint64
	ownReport     Report // the newest of this proxy
	sharedReport  Report // the newest that was sent to all, by this proxy or a peer
	queued        bool   // in pending
	unsentFailure bool   // a failure has not been sent yet
}

// New returns a Gossip without databases.
func New(cfg Config) *Gossip {
	return &Gossip{cfg: cfg, databases: map[uint64]*database{}, byShortID: map[uint32]*database{}}
}

// Enabled reports whether reports are sent and accepted at all.
func (g *Gossip) Enabled() bool { return g.cfg.Proxies > 1 && g.cfg.Interval > 0 && g.cfg.MaxBatch > 0 }

// ShortID returns the ID of a database in messages: a hash of its ID by the finalizer of MurmurHash3.
func ShortID(id uint64) uint32 {
	id ^= id >> 33
	id *= 0xff51afd7ed558ccd
	id ^= id >> 33
	id *= 0xc4ceb9fe1a85ec53
	return uint32(id >> 32)
}

// Add registers a database that the proxy's own list names, so that it can be reported.
func (g *Gossip) Add(id uint64) {
	if !g.Enabled() || g.databases[id] != nil {
		return
	}
	db, short := &database{id: id}, ShortID(id)
	g.databases[id] = db
	if _, collides := g.byShortID[short]; collides {
		g.byShortID[short] = nil
		return
	}
	g.byShortID[short] = db
}

// Remove removes a database. If its short ID collided with another's, that ID remains unusable.
func (g *Gossip) Remove(id uint64) {
	if short := ShortID(id); g.databases[id] != nil && g.byShortID[short] == g.databases[id] {
		delete(g.byShortID, short)
	}
	delete(g.databases, id)
}

// Observe records an answer of a database to this proxy.
func (g *Gossip) Observe(now time.Duration, id uint64, role Role, at, position time.Duration) {
	db := g.databases[id]
	if db == nil || g.byShortID[ShortID(id)] != db {
		return
	}
	db.ownReport.Status = Healthy
	if at >= db.ownReport.At {
		db.ownReport.At = at
		if role != Unknown {
			db.ownReport.Role = role
		}
	}
	db.ownReport.Position = max(db.ownReport.Position, position)
	g.queue(now, db)
}

// ObserveFailure records that a request to a database has failed now. Every failure is reported, since their number distinguishes occasional
// failures from a database that must be avoided; a silence is reported once.
func (g *Gossip) ObserveFailure(now time.Duration, id uint64, status Status) {
	db := g.databases[id]
	if db == nil || g.byShortID[ShortID(id)] != db || status == Silent && db.sharedReport.Status == Silent && now-db.sharedReport.At < maxAge {
		return
	}
	db.ownReport.Status, db.ownReport.At, db.unsentFailure = status, now, true
	g.queue(now, db)
}

// queue queues a database for the next message if it has something to report.
func (g *Gossip) queue(now time.Duration, db *database) {
	if !db.queued && g.needsSending(db) {
		if len(g.pending) == 0 { // delayed by this proxy's phase
			g.nextSend = max(g.nextSend, now+time.Duration(g.cfg.Phase*float64(g.cfg.Interval)/2))
		}
		db.queued = true
		g.pending = append(g.pending, db)
	}
}

// needsSending reports whether this proxy's report of a database has news for its peers.
func (g *Gossip) needsSending(db *database) bool {
	own, shared := &db.ownReport, &db.sharedReport
	if db.unsentFailure || shared.At == 0 && own.At > 0 { // the first answer is news unless a peer has reported it
		return true
	}
	if own.Role != Unknown && own.At > shared.At && (own.Role != shared.Role || own.At-shared.At >= roleInterval) {
		return true
	}
	return own.Role == Replica && own.Position >= shared.Position+g.cfg.Interval
}

// NextMessage returns the reports that are to be sent now in one message; nil = none. The result is valid until the next call.
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
		if g.needsSending(db) && now-db.ownReport.At < maxAge && g.databases[db.id] == db {
			report := db.ownReport
			report.Database = ShortID(db.id)
			db.sharedReport, db.unsentFailure = report, false
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

// Accept checks a peer's report. It returns the ID of its database, and the report with times not later than now. ok is false if the report
// is rejected: its database is unknown, it is from the future, too old or malformed, or its position is later than the observation.
func (g *Gossip) Accept(now time.Duration, report Report) (id uint64, used Report, ok bool) {
	db := g.byShortID[report.Database]
	if db == nil || report.At > now+maxClockSkew || now-report.At > maxAge || report.Position > report.At || report.Role > Replica || report.Status > Silent || report.At <= 0 {
		return 0, report, false
	}
	report.At = min(report.At, now)
	report.Position = min(report.Position, now)
	if report.Position > db.sharedReport.Position {
		db.sharedReport.Position = report.Position
	}
	if report.At > db.sharedReport.At {
		db.sharedReport.At, db.sharedReport.Role, db.sharedReport.Status = report.At, report.Role, report.Status
	}
	return db.id, report, true
}
