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

// State of a router; the methods that change it are in logic.go.

// Router makes the routing decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	actions Actions
	rng     *rand.Rand

	started        bool
	requestDraw    float64 // random number of the current request, compared with the fractional part of limits
	startedAt      time.Duration
	lastTickAt     time.Duration        // last run of the housekeeping timer
	stalledAt      time.Duration        // when housekeeping last ran late because this proxy had not been running
	members        map[MemberID]*member // only for lookups, never iterated
	groups         map[GroupID]*group   // groups that a list has named; only iterated where the order does not matter
	groupOrder     []GroupID            // keys of groups in order of first listing
	rounds         rounds               // members that are due for a check
	activeGroups   []*group             // groups with time-driven work
	unlistedGroup  *group               // stands for every group that no list has named
	memberOrder    []*member            // all members in order of first listing
	requests       map[RequestID]*request
	awaitingPing   []*request
	handover       *handover.Tracker
	pins           fifoMap[pinKey, pin]
	sessionCommits commitLog

	serviceTime []time.Duration      // by class: estimated answer time without queueing
	slowTime    []time.Duration      // by class: answer time beyond which an answer is overdue
	quotas      limit.Quotas         // recent requests by tenant
	loss        float64              // share of answers that are lost though their members answer in time, moving average
	failures    limit.FailureTracker // quick failures, over all members
	retryTokens float64              // retries that may still be made

	listCalls     limit.CallSchedule // calls for the member list
	pingSchedule  ping.Schedule
	coldPriority  limit.ColdPriority // priority of the worthiest class at cold members
	gossip        *peers.Gossip      // exchanges reports with the other proxies
	refusalCounts [NumRefusalReasons]uint64
	memberChecks  uint64      // number of time-driven checks of members
	checkBudget   checkBudget // limits health checks where the tier shares them
}

// member is this proxy's view of one process.
type member struct {
	Member
	listed   bool
	group    *group
	handover *handover.Member // its role, and the probability that it restarted
	position time.Duration    // it has applied all commits up to this time; a lower bound that never decreases

	pingTime     time.Duration // moving average; 0 = never answered
	probing      bool
	probedAt     time.Duration       // when the last probe was sent
	aliveAt      time.Duration       // last sign of life
	unresponsive bool                // an attempt is overdue, and the member has answered none since
	peerAliveAt  time.Duration       // when it last answered a peer, as the peer reported
	verdict      healthcheck.Verdict // latest verdict of the tier's checkers
	ejected      bool                // the latest verdict is an ejection
	inSubset     bool                // this proxy keeps connections to it
	firstPingAt  time.Duration       // when its first ping is due
	positionAt   time.Duration       // when its position was last reported
	lag          time.Duration       // how old its position was at its own last report; 0 = no report yet
	nextCheckAt  time.Duration       // no check is needed before, unless an event occurs
	active       bool                // it is in rounds.active
	visitedAt    time.Duration       // tick at which it was last visited

	inFlight []*attempt // this proxy's attempts, oldest first
	limit.Limit
	warmUpBudget    limit.ColdBudget // limits its work while it is cold
	queueLength     float64          // waiting requests according to its last report
	queueReportedAt time.Duration
	breaker         limit.Breaker // tracks whether it fails more often than the others
}

type group struct {
	members  []*member
	handover *handover.Group // the primary, and the requests held for one
	primary  *member         // the primary that handover names, cached
	active   bool            // it is in Router.activeGroups

	inRounds     bool // it is in rounds.inUse,
	roundsUntil  time.Duration
	meanWork     float64 // service time per request, moving average
	meanLongWork float64 // part of meanWork due to long reads
	meanWorth    float64 // worth per request, moving average
	rate         decayingCount

	admission []Admission   // admission plan by class; empty = everything is admitted
	counts    []ClassCounts // counts by class
	demand    demandTracker
}

type request struct {
	Request
	class           *Class
	group           *group
	token           time.Duration // session reads: the commit that the data must include
	attempts        []*attempt
	maxAttempts     int    // Config.MaxAttempts when it arrived; 0 = unlimited
	mayHaveRun      bool   // some attempt may have been executed
	lastResult      Result // result of the last attempt that ended
	arrivedAt       time.Duration
	done            bool
	overQuota       bool // it exceeds its tenant's quota
	awaitingPing    bool // it is in Router.awaitingPing
	awaitingPrimary bool // it is held for a primary

	pingRounds int           // rounds of pings sent for it
	pingedAt   time.Duration // when the last round was sent
}

type attempt struct {
	request    *request
	index      int
	member     *member
	sentAt     time.Duration
	open       bool
	mayHaveRun bool
	cancelled  bool
	overdue    bool // it took longer than usual for its class and was counted as a failure
}

type pinKey struct {
	session SessionID
	class   int
	group   GroupID
}

type pin struct {
	member *member
	term   int
}

// decayingCount is a count that decays exponentially with time.
type decayingCount struct {
	sum       float64
	updatedAt time.Duration
}

func (d *decayingCount) value(now, span time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.updatedAt)/float64(max(span, 1)))
}

func (d *decayingCount) add(now, span time.Duration) {
	d.sum, d.updatedAt = d.value(now, span)+1, now
}

func (r *Router) newGroup(id GroupID) *group {
	return &group{counts: make([]ClassCounts, len(r.cfg.Classes)), handover: r.handover.NewGroup(int(id))}
}

// listedGroup returns the group with an ID from the list, and creates it if needed.
func (r *Router) listedGroup(id GroupID) *group {
	if r.groups[id] == nil {
		r.groups[id] = r.newGroup(id)
		r.groupOrder = append(r.groupOrder, id)
	}
	return r.groups[id]
}

// requestedGroup returns the group that a request names. A group that no list has named is not created, since
// clients could name millions.
func (r *Router) requestedGroup(id GroupID) *group {
	if g := r.groups[id]; g != nil {
		return g
	}
	return r.unlistedGroup
}

// heldRequest returns the request in the form that the handover state takes.
func (q *request) heldRequest(serviceTime, usualTime time.Duration, ahead int) handover.HeldRequest {
	concurrency := 0
	price := q.group.workPrice()
	if p := q.group.primary; p != nil {
		concurrency = int(p.MaxInFlight / 2) // assumes that half of the attempts allowed in flight are queued
	}
	return handover.HeldRequest{ID: uint64(q.ID), ReceivedAt: q.arrivedAt, Deadline: q.Deadline, ServiceTime: serviceTime, SlowServiceTime: usualTime, Aim: q.class.Aim, LateFactor: q.class.Late,
		Worth: q.class.Worth, ShadowPrice: price, Size: q.Size, MayHaveRun: q.mayHaveRun, AlreadyHeld: q.awaitingPrimary, QueuedAhead: ahead, Concurrency: concurrency}
}

// usualTime returns the time of an answer that is slow for its class but not late.
func (r *Router) usualTime(q *request) time.Duration { return min(r.slowTime[q.Class], q.class.Aim) }

// recordWork adds a request to the group's averages of work and worth.
func (g *group) recordWork(work, worth float64, long bool) {
	g.meanWork += workWeight * (work - g.meanWork)
	g.meanWorth += workWeight * (worth - g.meanWorth)
	if !long {
		work = 0
	}
	g.meanLongWork += workWeight * (work - g.meanLongWork)
}

// The price of a group's work rises from zero to its full value between these mean strains of its members.
const idleStrain, fullStrain = 0.3, limit.HighLatencyRatio

// workPrice returns the worth that a second of the group's work earns, in proportion to how loaded its members
// are. A held request takes that much away from other requests.
func (g *group) workPrice() float64 {
	load, members := 0.0, 0
	for _, m := range g.members {
		if m.State == Ready && !m.handover.Silent {
			load += min(max((m.LatencyRatio-idleStrain)/(fullStrain-idleStrain), 0), 1)
			members++
		}
	}
	if members == 0 || g.meanWork <= 0 {
		return 0
	}
	return load / float64(members) * g.meanWorth / g.meanWork
}

// restarted clears what only applied to the member's previous process: its failures and its queue. Its log
// continues.
func (m *member) restarted() { m.breaker, m.queueLength, m.unresponsive = limit.Breaker{}, 0, false }

// role returns the role that the member last reported.
func (m *member) role() Role { return Role(m.handover.Role) }

func (q *request) pinKey() pinKey { return pinKey{q.Session, q.Class, q.Group} }

func (q *request) tried(m *member) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.member == m })
}

func (q *request) hasOpenAttempt() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.open })
}

// requestRate returns the group's requests per second at this proxy.
func (r *Router) requestRate(now time.Duration, g *group) float64 {
	return g.rate.value(now, rateWindow) / min(rateWindow, now-r.startedAt+time.Second).Seconds()
}

// sessionToken returns the commit that a session read must include. For a session unknown here it is the newest
// commit that was evicted.
func (r *Router) sessionToken(now time.Duration, in *Request) time.Duration {
	if r.cfg.SessionTokens {
		if in.TokenAge > 0 {
			return now - in.TokenAge
		}
		return 0
	}
	return r.sessionCommits.lastCommit(in.Session)
}

// sharingMembers returns the number of members that share a group's work. If proxies exchange reports, members that
// are being replaced do not count: their replacements are listed at the same time, and each would get half of its
// part.
func (r *Router) sharingMembers(g *group) float64 {
	n := len(g.members)
	if r.gossip.Enabled() {
		n = 0
		for _, m := range g.members {
			if m.State == Ready {
				n++
			}
		}
	}
	return float64(max(n, 1))
}
