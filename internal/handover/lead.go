package handover

import (
	"cmp"
	"slices"
	"time"
)

// kept is how many switches are remembered to be shown.
const kept = 10

// Tracker follows all groups. It is not safe for concurrent use; times must not go back.
type Tracker struct {
	cfg     Config
	lengths estimator
	ended   []Failover

	lags     lags
	restarts restarts
}

// New makes one. A zero Config holds nothing.
func New(cfg Config) *Tracker {
	h := &Tracker{}
	h.Configure(cfg)
	return h
}

// Configure puts other settings into force. What was learned stays.
func (h *Tracker) Configure(cfg Config) {
	h.cfg = cfg.WithDefaults()
	h.lengths.configure(&h.cfg)
}

// RecentFailovers gives the last switches that have ended, the newest first.
func (h *Tracker) RecentFailovers() []Failover {
	out := slices.Clone(h.ended)
	slices.Reverse(out)
	return out
}

// Group is one group's place.
type Group struct {
	h       *Tracker
	id      int
	seats   []*Member
	primary *Member
	leader  *Member // the last known primary, also while it can't be reached; nil once the list has dropped it
	led     bool    // there has been one
	term    int
	phase   Phase
	since   time.Duration
	cause   Cause
	began   time.Duration // the switch under way
	from    time.Duration // its present cause: a drain may end in a death
	old     uint64        // the primary before it
	held    int           // at most at once
	refused int
	room    room
}

// Member is one member's place in its group.
type Member struct {
	ID       uint64
	h        *Tracker
	Role     Role
	RoleTime time.Duration // when the role was true at the member
	claim    time.Duration // since when it has said that it is primary, without a word against it
	told     bool          // that it is, is the list's word alone
	presence DiscoveryState
	suspect  suspicion

	Silent      bool          // it owes answers and gives none,
	SilentSince time.Duration // since then
}

// NewGroup makes the place of a group.
func (h *Tracker) NewGroup(id int) *Group {
	return &Group{h: h, id: id, room: room{in: map[uint64]HeldRequest{}}}
}

// AddMember makes a member's place.
func (g *Group) AddMember(id uint64) *Member {
	s := &Member{ID: id, h: g.h}
	g.seats = append(g.seats, s)
	return s
}

// RemoveMember forgets a member. A primary that died is often dropped from the list before another is elected: the switch goes on.
func (g *Group) RemoveMember(now time.Duration, s *Member) {
	g.seats = slices.DeleteFunc(g.seats, func(x *Member) bool { return x == s })
	if g.leader == s {
		g.leader = nil
	}
	g.UpdatePrimary(now)
}

// Primary gives the member that takes writes now, nil where none is known or it can't be reached.
func (g *Group) Primary() *Member { return g.primary }

// Term counts the changes of primary.
func (g *Group) Term() int { return g.term }

// NoteStart notes that a member's process has started anew: its role is open again. late tells that this is news, from which it
// can be learned how late the list is.
func (g *Group) NoteStart(now time.Duration, s *Member, at time.Duration, late bool) {
	s.Role, s.RoleTime, s.claim, s.told = RoleUnknown, at, 0, false
	s.born(now, at, late)
}

// SetDiscoveryState notes what the list says of a member's presence.
func (g *Group) SetDiscoveryState(now time.Duration, s *Member, p DiscoveryState) {
	if s.presence != p {
		s.presence = p
		g.UpdatePrimary(now)
	}
}

// NoteListedPrimary takes the list's word that a member was primary at a time. The list is seconds late, so it counts only where
// nothing newer was heard from the member itself.
func (g *Group) NoteListedPrimary(now time.Duration, s *Member, at time.Duration, late bool) {
	if s.Role == RoleUnknown || at > s.RoleTime && late {
		s.Role, s.RoleTime, s.told, s.claim = Primary, at, true, at
		g.UpdatePrimary(now)
	}
}

// NoteRole takes a member's own word on its role, true at a time. Words come late and out of order: one that is older than
// what is known says nothing, such as a ping's answer that left before a switch and comes after it.
func (g *Group) NoteRole(now time.Duration, s *Member, role Role, at time.Duration) {
	if role == RoleUnknown || at < s.RoleTime {
		return
	}
	was := s.Role
	s.RoleTime = at
	if role == Primary && (was != Primary || s.told) {
		s.claim = at
	}
	s.Role, s.told = role, false
	if was != role || role == Primary && g.primary != s {
		g.UpdatePrimary(now)
	}
}

// NoteSilence notes that a member owes answers and gives none.
func (g *Group) NoteSilence(now time.Duration, s *Member) {
	if !s.Silent {
		s.Silent, s.SilentSince = true, now
		s.suspect.lost(now)
		g.UpdatePrimary(now)
	}
}

// NoteResponse notes a sign of life. back tells that it ends a silence, and doubted that the member may have started anew in it.
func (g *Group) NoteResponse(now time.Duration, s *Member) (back, doubted bool) {
	if !s.Silent {
		return false, false
	}
	s.Silent = false
	doubted = s.suspect.heard(now, g.h.restarts.before())
	g.UpdatePrimary(now)
	return true, doubted
}

// NoteWriteServed notes that the primary has answered a write.
func (g *Group) NoteWriteServed(now time.Duration) {
	if g.phase == PhaseFound {
		g.enter(now, PhaseSettling)
	}
}

// claimant finds who is primary by all that was said. Of two who say so, the one whose claim began later was elected later:
// the other has not heard of it yet, as after a hang, and its words, however new, don't count. But a claim that has fallen
// silent gives way to one that goes on behind it: there may have been a further election, back to the first, of which only
// the silent one could tell. The list's word gives way to anybody's own.
func (g *Group) claimant() *Member {
	var best *Member
	for _, s := range g.seats {
		if s.Role == Primary && (best == nil || g.before(s, best)) {
			best = s
		}
	}
	return best
}

// before tells whether a's claim counts more than b's.
func (g *Group) before(a, b *Member) bool {
	if a.told != b.told {
		return b.told
	}
	if a.claim == b.claim {
		return a.RoleTime > b.RoleTime
	}
	if a.claim < b.claim {
		return !g.before(b, a)
	}
	return !(a.Silent && b.RoleTime > a.SilentSince+g.h.cfg.Blip)
}

// RivalPrimaries counts the members that claim to be primary beside the one that counts as it.
func (g *Group) RivalPrimaries() (n int) {
	for _, s := range g.seats {
		if s.Role == Primary && s != g.primary && s.presence == Ready && !s.Silent && !s.told {
			n++
		}
	}
	return n
}

// UpdatePrimary finds the primary anew. One that was silent and returns unchanged begins no new term.
func (g *Group) UpdatePrimary(now time.Duration) {
	best := g.claimant()
	g.primary = nil
	if best != nil && !best.Silent && best.presence == Ready {
		if g.primary = best; best != g.leader {
			g.term++
			g.leader, g.led = best, true
		}
	}
	g.step(now)
}

// Tick moves on what moves by time alone.
func (g *Group) Tick(now time.Duration) { g.step(now) }

func (g *Group) enter(now time.Duration, p Phase) {
	if g.phase != p {
		g.phase, g.since = p, now
	}
}

// step moves the phase.
func (g *Group) step(now time.Duration) {
	if g.primary != nil {
		switch {
		case g.phase == PhaseUndiscovered:
			g.old = g.primary.ID
			g.enter(now, PhaseSteady)
		case g.phase == PhaseDraining || g.phase == PhaseLost || g.phase == PhaseElecting:
			g.found(now)
		case (g.phase == PhaseFound || g.phase == PhaseSettling) && now-g.since >= g.h.cfg.Settle:
			g.enter(now, PhaseSteady)
		}
		return
	}
	if !g.led {
		return
	}
	cause := g.why()
	switch {
	case g.phase == PhaseSteady || g.phase == PhaseFound || g.phase == PhaseSettling: // it begins
		g.began, g.from, g.cause, g.held, g.refused = now, now, cause, 0, 0
	case g.cause == CausePlanned && cause != CausePlanned: // a primary that dies while it hands over
		g.cause, g.from = cause, now
	}
	switch {
	case g.cause == CausePlanned:
		g.enter(now, PhaseDraining)
	case now-g.from >= g.h.cfg.Blip:
		g.enter(now, PhaseElecting)
	default:
		g.enter(now, PhaseLost)
	}
}

// why tells why the last known primary is none.
func (g *Group) why() Cause {
	l := g.leader
	switch {
	case l == nil || l.presence == Unlisted:
		return CauseUnlisted
	case l.Silent:
		return CauseSilent
	}
	return CausePlanned // it drains, says that it is a replica, or another's claim, which can't be reached, is newer
}

func (g *Group) found(now time.Duration) {
	g.h.lengths.add(g.cause, g.id, now-g.from, now)
	g.h.ended = append(g.h.ended, Failover{Group: g.id, Cause: g.cause, OldPrimary: g.old, NewPrimary: g.primary.ID, StartedAt: g.began,
		Duration: now - g.began, MaxHeld: g.held, Refused: g.refused})
	if len(g.h.ended) > kept {
		g.h.ended = g.h.ended[1:]
	}
	g.old = g.primary.ID
	g.enter(now, PhaseFound)
}

// SearchInterval tells how often a member is to be pinged while another primary is awaited; 0 = as always. All proxies look at
// once, so each looks the less often the more there are.
func (g *Group) SearchInterval(now time.Duration, proxies int) time.Duration {
	if !g.h.cfg.Hold || g.primary != nil || !g.led {
		return 0
	}
	if g.cause != CausePlanned && len(g.room.in) == 0 && g.h.lengths.within(g.cause, g.id, now, now-g.from, time.Second) < 0.05 {
		return 0
	}
	return g.h.cfg.Search * time.Duration(max(1, (proxies+3)/4))
}

// Status tells where the group stands.
func (g *Group) Status(now time.Duration) Status {
	s := Status{Phase: g.phase, Since: g.since, RivalPrimaries: g.RivalPrimaries(), Held: len(g.room.in), HeldBytes: g.room.bytes, Cause: g.cause}
	if g.primary != nil {
		s.Primary = g.primary.ID
	} else if g.led {
		s.ExpectedWait = g.h.lengths.remaining(g.cause, g.id, now, now-g.from, 0.5)
	}
	return s
}

// order is that in which what is held leaves: the least time left first.
func order(a, b HeldRequest) int {
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
}
