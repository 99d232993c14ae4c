package handover

import (
	"cmp"
	"slices"
	"time"
)

// maxFailovers is the number of past failovers that are kept for display.
const maxFailovers = 10

// Tracker tracks the primaries of all groups. It is not safe for concurrent use. The times passed to it must not decrease.
type Tracker struct {
	cfg       Config
	durations durationEstimator
	failovers []Failover

	listLags        listLags
	silenceOutcomes silenceOutcomes
}

// New returns a tracker without groups. With a zero Config no requests are held.
func New(cfg Config) *Tracker {
	t := &Tracker{}
	t.Configure(cfg)
	return t
}

// Configure replaces the settings. What was learned is kept.
func (t *Tracker) Configure(cfg Config) {
	t.cfg = cfg.WithDefaults()
	t.durations.configure(&t.cfg)
}

// RecentFailovers returns the last failovers that have ended, the most recent first.
func (t *Tracker) RecentFailovers() []Failover {
	failovers := slices.Clone(t.failovers)
	slices.Reverse(failovers)
	return failovers
}

// Group is the state of one replication group.
type Group struct {
	tracker     *Tracker
	id          int
	members     []*Member
	primary     *Member // nil if there is none that can be used
	lastPrimary *Member // also while it can't be reached; nil once discovery has dropped it
	hadPrimary  bool
	term        int
	phase       Phase
	phaseSince  time.Duration
	cause       Cause
	startedAt   time.Duration // of the failover in progress
	causeSince  time.Duration // later than startedAt if the primary failed while it drained
	oldPrimary  uint64        // before the failover
	maxHeld     int           // most requests held at once during the failover
	refused     int           // during the failover
	held        heldRequests
}

// Member is the state of one member of a group.
type Member struct {
	ID             uint64
	tracker        *Tracker
	Role           Role
	RoleTime       time.Duration // when the member had the role
	claimedAt      time.Duration // since when it has claimed without interruption to be primary
	listedOnly     bool          // that it is primary is known from discovery only
	discoveryState DiscoveryState
	restart        restartEvidence

	Silent      bool          // answers are overdue
	SilentSince time.Duration // when that began
}

// NewGroup adds a group without members.
func (t *Tracker) NewGroup(id int) *Group {
	return &Group{tracker: t, id: id, held: heldRequests{byID: map[uint64]HeldRequest{}}}
}

// AddMember adds a member of unknown role.
func (g *Group) AddMember(id uint64) *Member {
	m := &Member{ID: id, tracker: g.tracker}
	g.members = append(g.members, m)
	return m
}

// RemoveMember removes a member. Discovery often drops a failed primary before another is elected; the failover then continues.
func (g *Group) RemoveMember(now time.Duration, m *Member) {
	g.members = slices.DeleteFunc(g.members, func(other *Member) bool { return other == m })
	if g.lastPrimary == m {
		g.lastPrimary = nil
	}
	g.UpdatePrimary(now)
}

// Primary returns the member that takes writes now, nil if none is known or reachable.
func (g *Group) Primary() *Member { return g.primary }

// Term returns the number of changes of primary.
func (g *Group) Term() int { return g.term }

// NoteStart records that discovery lists a start of a member's process. Its role is unknown again. isNews tells that the start was listed
// while this proxy watched, so that the lag of discovery can be learned from it.
func (g *Group) NoteStart(now time.Duration, m *Member, startedAt time.Duration, isNews bool) {
	m.Role, m.RoleTime, m.claimedAt, m.listedOnly = RoleUnknown, startedAt, 0, false
	m.noteListedStart(now, startedAt, isNews)
}

// SetDiscoveryState records a member's state in discovery.
func (g *Group) SetDiscoveryState(now time.Duration, m *Member, state DiscoveryState) {
	if m.discoveryState != state {
		m.discoveryState = state
		g.UpdatePrimary(now)
	}
}

// NoteListedPrimary records that discovery lists a member as the primary as of a time. As discovery lags by seconds, that counts only if
// the member itself has reported no role, or, with late set, an earlier one.
func (g *Group) NoteListedPrimary(now time.Duration, m *Member, at time.Duration, late bool) {
	if m.Role == RoleUnknown || at > m.RoleTime && late {
		m.Role, m.RoleTime, m.listedOnly, m.claimedAt = Primary, at, true, at
		g.UpdatePrimary(now)
	}
}

// NoteRole records the role that a member reported itself, as of a time. Reports may arrive late and out of order: one that is older than
// what is known is ignored, such as a ping answer that was sent before a failover and arrives after it.
func (g *Group) NoteRole(now time.Duration, m *Member, role Role, at time.Duration) {
	if role == RoleUnknown || at < m.RoleTime {
		return
	}
	before := m.Role
	m.RoleTime = at
	if role == Primary && (before != Primary || m.listedOnly) {
		m.claimedAt = at
	}
	m.Role, m.listedOnly = role, false
	if before != role || role == Primary && g.primary != m {
		g.UpdatePrimary(now)
	}
}

// NoteSilence records that answers of a member are overdue.
func (g *Group) NoteSilence(now time.Duration, m *Member) {
	if !m.Silent {
		m.Silent, m.SilentSince = true, now
		m.restart.beginSilence(now)
		g.UpdatePrimary(now)
	}
}

// NoteResponse records any response of a member. wasSilent reports whether it ends a silence, and mayHaveRestarted whether the member may
// have restarted during it.
func (g *Group) NoteResponse(now time.Duration, m *Member) (wasSilent, mayHaveRestarted bool) {
	if !m.Silent {
		return false, false
	}
	m.Silent = false
	mayHaveRestarted = m.restart.endSilence(now, g.tracker.silenceOutcomes.prior())
	g.UpdatePrimary(now)
	return true, mayHaveRestarted
}

// NoteWriteServed records that the primary has answered a write.
func (g *Group) NoteWriteServed(now time.Duration) {
	if g.phase == PhaseFound {
		g.enterPhase(now, PhaseSettling)
	}
}

// strongestClaim returns the member that is primary according to all reports, nil if none claims to be. Of two claimants, the one whose
// claim began later was elected later: the other has not learned of it yet, for example after a hang, and its reports don't count however
// recent they are. But a claimant that is silent yields to one that still claims well after the silence began: there may have been another
// election, back to the first, that only the silent one could report. A role from discovery yields to any member's own report.
func (g *Group) strongestClaim() *Member {
	var best *Member
	for _, m := range g.members {
		if m.Role == Primary && (best == nil || g.outranks(m, best)) {
			best = m
		}
	}
	return best
}

// outranks reports whether a's claim takes precedence over b's.
func (g *Group) outranks(a, b *Member) bool {
	if a.listedOnly != b.listedOnly {
		return b.listedOnly
	}
	if a.claimedAt == b.claimedAt {
		return a.RoleTime > b.RoleTime
	}
	if a.claimedAt < b.claimedAt {
		return !g.outranks(b, a)
	}
	return !(a.Silent && b.RoleTime > a.SilentSince+g.tracker.cfg.Blip)
}

// RivalPrimaries returns how many members other than the primary report that they are primary.
func (g *Group) RivalPrimaries() (n int) {
	for _, m := range g.members {
		if m.Role == Primary && m != g.primary && m.discoveryState == Ready && !m.Silent && !m.listedOnly {
			n++
		}
	}
	return n
}

// UpdatePrimary determines the primary from the present reports. A primary that was silent and returns unchanged begins no new term.
func (g *Group) UpdatePrimary(now time.Duration) {
	best := g.strongestClaim()
	g.primary = nil
	if best != nil && !best.Silent && best.discoveryState == Ready {
		if g.primary = best; best != g.lastPrimary {
			g.term++
			g.lastPrimary, g.hadPrimary = best, true
		}
	}
	g.updatePhase(now)
}

// Tick applies the phase changes that are due by the time.
func (g *Group) Tick(now time.Duration) { g.updatePhase(now) }

func (g *Group) enterPhase(now time.Duration, p Phase) {
	if g.phase != p {
		g.phase, g.phaseSince = p, now
	}
}

// updatePhase derives the phase from the primary, its state and the time.
func (g *Group) updatePhase(now time.Duration) {
	if g.primary != nil {
		switch {
		case g.phase == PhaseUndiscovered:
			g.oldPrimary = g.primary.ID
			g.enterPhase(now, PhaseSteady)
		case g.phase == PhaseDraining || g.phase == PhaseLost || g.phase == PhaseElecting:
			g.endFailover(now)
		case (g.phase == PhaseFound || g.phase == PhaseSettling) && now-g.phaseSince >= g.tracker.cfg.Settle:
			g.enterPhase(now, PhaseSteady)
		}
		return
	}
	if !g.hadPrimary {
		return
	}
	cause := g.lossCause()
	switch {
	case g.phase == PhaseSteady || g.phase == PhaseFound || g.phase == PhaseSettling: // a failover begins
		g.startedAt, g.causeSince, g.cause, g.maxHeld, g.refused = now, now, cause, 0, 0
	case g.cause == CausePlanned && cause != CausePlanned: // the primary failed while it drained
		g.cause, g.causeSince = cause, now
	}
	switch {
	case g.cause == CausePlanned:
		g.enterPhase(now, PhaseDraining)
	case now-g.causeSince >= g.tracker.cfg.Blip:
		g.enterPhase(now, PhaseElecting)
	default:
		g.enterPhase(now, PhaseLost)
	}
}

// lossCause returns why the last known primary can't be used.
func (g *Group) lossCause() Cause {
	last := g.lastPrimary
	switch {
	case last == nil || last.discoveryState == Unlisted:
		return CauseUnlisted
	case last.Silent:
		return CauseSilent
	}
	return CausePlanned // it drains, reports that it is a replica, or an unreachable member has the later claim
}

func (g *Group) endFailover(now time.Duration) {
	g.tracker.durations.add(g.cause, g.id, now-g.causeSince, now)
	g.tracker.failovers = append(g.tracker.failovers, Failover{Group: g.id, Cause: g.cause, OldPrimary: g.oldPrimary, NewPrimary: g.primary.ID,
		StartedAt: g.startedAt, Duration: now - g.startedAt, MaxHeld: g.maxHeld, Refused: g.refused})
	if len(g.tracker.failovers) > maxFailovers {
		g.tracker.failovers = g.tracker.failovers[1:]
	}
	g.oldPrimary = g.primary.ID
	g.enterPhase(now, PhaseFound)
}

// SearchInterval returns how often each member should be pinged while a new primary is awaited; 0 = as usual. As all proxies search at the
// same time, the interval grows with their number.
func (g *Group) SearchInterval(now time.Duration, proxies int) time.Duration {
	if !g.tracker.cfg.Hold || g.primary != nil || !g.hadPrimary {
		return 0
	}
	if g.cause != CausePlanned && len(g.held.byID) == 0 && g.tracker.durations.endsWithin(g.cause, g.id, now, now-g.causeSince, time.Second) < 0.05 {
		return 0
	}
	return g.tracker.cfg.Search * time.Duration(max(1, (proxies+3)/4))
}

// Status returns the group's present state.
func (g *Group) Status(now time.Duration) Status {
	s := Status{Phase: g.phase, Since: g.phaseSince, RivalPrimaries: g.RivalPrimaries(), Held: len(g.held.byID), HeldBytes: g.held.bytes, Cause: g.cause}
	if g.primary != nil {
		s.Primary = g.primary.ID
	} else if g.hadPrimary {
		s.ExpectedWait = g.tracker.durations.remaining(g.cause, g.id, now, now-g.causeSince, 0.5)
	}
	return s
}

// byDeadline orders held requests by their deadlines, the earliest first.
func byDeadline(a, b HeldRequest) int {
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
}
