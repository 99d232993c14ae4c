package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/healthcheck"
	"havenproxy/internal/limit"
	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
)

// What a router keeps; what is done with it is in logic.go.

// Router decides for one front. It is not safe for concurrent use; calls come one at a time.
type Router struct {
	cfg Config
	act Actions
	rng *rand.Rand

	started  bool
	luck     float64 // of the request in hand, against the broken part of limits
	startAt  time.Duration
	tickAt   time.Duration        // the last housekeeping
	stoodAt  time.Duration        // when housekeeping was late: this front had stood still
	members  map[MemberID]*member // looked up only, never ranged over
	groups   map[GroupID]*group   // likewise; those that a list has named
	listed   []GroupID            // their order
	rounds   rounds               // which members are looked at, and when
	stirring []*group             // where something is to be done by time alone
	nobody   *group               // stands for groups that no list has named
	order    []*member            // all members, in the order in which they were first listed
	requests map[RequestID]*request
	held     []*request
	lead     *handover.Tracker
	pins     recent[pinKey, pin]
	commits  commits

	cost     []time.Duration      // per class, the bare answer time
	slow     []time.Duration      // and the time past which an answer is overdue
	quotas   limit.Quotas         // what tenants have asked for
	missing  float64              // share of answers that don't come though their members answer in time, moving average
	failures limit.FailureTracker // quick ones, at all members
	retries  float64              // further attempts that may still be made

	calls    limit.CallSchedule // of the list
	pings    ping.Schedule
	priority limit.ColdPriority // among classes, at cold members
	peers    *peers.Gossip      // what the other proxies have seen
	refusals [NumRefusalReasons]uint64
	looks    uint64      // at members, by time alone
	checks   checkBudget // where the tier shares them
}

// member is this front's view of one process.
type member struct {
	Member
	listed   bool
	group    *group
	seat     *handover.Member // its role, and the doubt whether it has started anew
	position time.Duration    // it has applied all commits up to then; a lower bound that only grows

	ping      time.Duration // moving average; 0 = never answered
	probing   bool
	probedAt  time.Duration       // the last probe sent
	heardAt   time.Duration       // the last sign of life
	stuck     bool                // it has an attempt overdue, and has answered none since
	toldAt    time.Duration       // when a peer last had an answer from it, as told
	verdict   healthcheck.Verdict // of the tier's checkers, the last
	ejected   bool                // by it
	inSubset  bool                // this proxy keeps connections to it
	firstAt   time.Duration       // when it is to be pinged first
	placedAt  time.Duration       // the last news of its position
	lag       time.Duration       // of its position behind the time at which it last told one itself; 0 = it has not
	restsTill time.Duration       // it need not be looked at before, unless something happens
	awake     bool                // it is in the list of those that are looked at each time
	visitedAt time.Duration       // the last tick at which it was visited

	out []*attempt // this front's attempts there, oldest first
	limit.Limit
	account limit.ColdBudget // while cold
	queue   float64          // requests that it last reported to be waiting
	queueAt time.Duration
	bench   limit.Breaker // where it fails more than the others
}

type group struct {
	members []*member
	lead    *handover.Group // who is primary, and what waits for one
	primary *member         // as lead says, here for quick use
	stirs   bool            // it is in the list of those that stir

	inRounds   bool // it is in the rounds,
	roundsTill time.Duration
	work       float64 // what arrives, moving average of bare work a request
	longWork   float64 // the part of it that is long
	worth      float64 // moving average of a request's worth
	rate       decaying

	plan  []Admission   // of reduced service, by class; empty = all is admitted
	tally []ClassCounts // by class
	draws draws
}

type request struct {
	Request
	class  *Class
	group  *group
	token  time.Duration // session reads: the commit that must be covered
	tries  []*attempt
	most   int           // attempts that it may have, as when it came; 0 = no limit
	ran    bool          // some attempt may have run
	result Result        // how the last attempt ended
	at     time.Duration // when it came
	done   bool
	over   bool // beyond its tenant's share
	held   bool // it waits for pings
	waits  bool // it waits for a primary

	asked   int           // how many rounds of pings were sent for it
	askedAt time.Duration // the last
}

type attempt struct {
	req       *request
	n         int
	to        *member
	sentAt    time.Duration
	open      bool
	ran       bool // it may have run
	calledOff bool
	overdue   bool // counted as a failure: it takes longer than its class usually does
}

type pinKey struct {
	session SessionID
	class   int
	group   GroupID
}

type pin struct {
	to   *member
	term int
}

// decaying is a count that shrinks evenly with the time since it last grew.
type decaying struct {
	sum  float64
	last time.Duration
}

func (d *decaying) at(now, span time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.last)/float64(max(span, 1)))
}

func (d *decaying) add(now, span time.Duration) {
	d.sum, d.last = d.at(now, span)+1, now
}

func (r *Router) newGroup(id GroupID) *group {
	return &group{tally: make([]ClassCounts, len(r.cfg.Classes)), lead: r.lead.NewGroup(int(id))}
}

// groupOf finds the group that a list names, or makes it.
func (r *Router) groupOf(id GroupID) *group {
	if r.groups[id] == nil {
		r.groups[id] = r.newGroup(id)
		r.listed = append(r.listed, id)
	}
	return r.groups[id]
}

// askedOf finds the group that a request names. One that no list has named is not kept: clients could name millions.
func (r *Router) askedOf(id GroupID) *group {
	if g := r.groups[id]; g != nil {
		return g
	}
	return r.nobody
}

// asHeld is the request as far as holding it is concerned.
func (q *request) asHeld(cost, slow time.Duration, ahead int) handover.HeldRequest {
	width := 0
	price := q.group.price()
	if p := q.group.primary; p != nil {
		width = int(p.MaxInFlight / 2) // of what may be out there, a part waits
	}
	return handover.HeldRequest{ID: uint64(q.ID), ReceivedAt: q.at, Deadline: q.Deadline, ServiceTime: cost, SlowServiceTime: slow, Aim: q.class.Aim, LateFactor: q.class.Late,
		Worth: q.class.Worth, ShadowPrice: price, Size: q.Size, MayHaveRun: q.ran, AlreadyHeld: q.waits, QueuedAhead: ahead, Concurrency: width}
}

// usual is what an answer takes that is slow for its class, but not late.
func (r *Router) usual(q *request) time.Duration { return min(r.slow[q.Class], q.class.Aim) }

// mixed notes a request in the group's mix of work.
func (g *group) mixed(cost, worth float64, long bool) {
	g.work += workWeight * (cost - g.work)
	g.worth += workWeight * (worth - g.worth)
	if !long {
		cost = 0
	}
	g.longWork += workWeight * (cost - g.longWork)
}

// Between these strains of its members a group's work gets its price: the lower is that of members at ease.
const strainFree, strainFull = 0.3, limit.HighStrain

// price is what a second of the group's work earns, as far as there is none to spare: what a held request takes there,
// others don't get.
func (g *group) price() float64 {
	sum, n := 0.0, 0
	for _, m := range g.members {
		if m.State == Ready && !m.seat.Silent {
			sum += min(max((m.Strain-strainFree)/(strainFull-strainFree), 0), 1)
			n++
		}
	}
	if n == 0 || g.work <= 0 {
		return 0
	}
	return sum / float64(n) * g.worth / g.work
}

// reborn forgets what only held of the process before: its failures, and what it had waiting. Its log it goes on with.
func (m *member) reborn() { m.bench, m.queue, m.stuck = limit.Breaker{}, 0, false }

// role is what the member was when it last spoke.
func (m *member) role() Role { return Role(m.seat.Role) }

func (q *request) pinKey() pinKey { return pinKey{q.Session, q.Class, q.Group} }

func (q *request) tried(m *member) bool {
	return slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.to == m })
}

func (q *request) open() bool {
	return slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.open })
}

// rateOf gives how many requests a second come to a group, by this front.
func (r *Router) rateOf(now time.Duration, g *group) float64 {
	return g.rate.at(now, thinSpan) / min(thinSpan, now-r.startAt+time.Second).Seconds()
}

// tokenOf gives the commit that a session read must see; if unknown here, the newest one forgotten.
func (r *Router) tokenOf(now time.Duration, in *Request) time.Duration {
	if r.cfg.SessionTokens {
		if in.TokenAge > 0 {
			return now - in.TokenAge
		}
		return 0
	}
	return r.commits.of(in.Session)
}

// bearers gives among how many members a group's work is shared. Where many fronts talk, those that are being replaced don't count: the
// replacements are listed beside them, and each would be given half of its part.
func (r *Router) bearers(g *group) float64 {
	n := len(g.members)
	if r.peers.Enabled() {
		n = 0
		for _, m := range g.members {
			if m.State == Ready {
				n++
			}
		}
	}
	return float64(max(n, 1))
}
