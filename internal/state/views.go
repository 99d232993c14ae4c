package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// Views of the state for operators. Each call returns a copy of the current state; nothing here changes it.

// Now returns the time on the engine's clock.
func (e *Engine) Now() time.Duration { return e.clock.Now() }

// ClassView is a class with the results of its requests.
type ClassView struct {
	logic.Class
	ReadMode string
	ClassCounters
}

// ClassCounters holds the results of a class's requests since the start of the process.
type ClassCounters struct{ Received, Served, Refused, Failed, Abandoned uint64 }

// Classes returns the deployment's classes in their configured order.
func (e *Engine) Classes() (out []ClassView) {
	for i, c := range e.cfg.Logic.Classes {
		readMode := [...]string{logic.Any: "any", logic.Bounded: "bounded", logic.Session: "session", logic.Fresh: "fresh", logic.Write: "write"}[c.Read]
		out = append(out, ClassView{c, readMode, e.classCounters[i]})
	}
	return out
}

// DatabaseView is a database as the router knows it.
type DatabaseView struct {
	Name, Address string
	Group         int
	State         string // as listed
	logic.MemberStats
	Role        string
	Health      string
	PositionAge time.Duration // age of the latest known replication position; negative = not known
}

// Databases returns all databases, sorted by group and name.
func (e *Engine) Databases() (out []DatabaseView) {
	for _, m := range e.membersByName {
		out = append(out, e.view(m))
	}
	slices.SortFunc(out, func(a, b DatabaseView) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Database returns a database by name; false if the list does not contain it.
func (e *Engine) Database(name string) (DatabaseView, bool) {
	m := e.membersByName[name]
	if m == nil {
		return DatabaseView{}, false
	}
	return e.view(m), true
}

func (e *Engine) view(m *member) DatabaseView {
	view := DatabaseView{Name: m.name, Address: m.address, State: stateName(m.state), Health: "ok", PositionAge: -1}
	if facts, ok := e.router.MemberStats(e.clock.Now(), m.id); ok {
		view.MemberStats, view.Group = facts, int(facts.Group)
		switch {
		case facts.Silent:
			view.Health = "silent"
		case facts.Failing:
			view.Health = "failing"
		case facts.Cold:
			if view.Health = "cold"; facts.RestartDoubt > 0 {
				view.Health = fmt.Sprintf("cold? %.0f%%", 100*facts.RestartDoubt)
			}
		}
		if facts.Position > 0 {
			view.PositionAge = e.clock.Now() - facts.Position
		}
	}
	view.Role = roleNames[view.MemberStats.Role]
	return view
}

// SwitchView is the state of a group's primary, or a switch of primaries that has ended.
type SwitchView struct {
	Group                  int
	Phase                  string // "ended" for a switch that has ended
	Duration               time.Duration
	Cause                  string // cause of the switch; empty = no switch
	OldPrimary, NewPrimary string // members' names; empty = not known
	Rivals                 int
	HeldRequests           int
	RefusedRequests        int
	HeldBytes              int
	ExpectedRemaining      time.Duration // expected time until a primary is available
}

// Switches returns the current state of each group, sorted by group, followed by the last switches that have ended,
// newest first.
func (e *Engine) Switches() (out []SwitchView) {
	now := e.clock.Now()
	groups, ended := e.router.Failovers(now)
	name := func(id uint64) string {
		if m := e.members[logic.MemberID(id)]; m != nil {
			return m.name
		}
		return ""
	}
	for _, id := range e.router.Groups() {
		s := groups[id]
		view := SwitchView{Group: int(id), Phase: s.Phase.String(), Duration: now - s.Since, NewPrimary: name(s.Primary),
			Rivals: s.RivalPrimaries, HeldRequests: s.Held, HeldBytes: s.HeldBytes, ExpectedRemaining: s.ExpectedWait}
		if s.Phase == handover.PhaseUndiscovered { // the time since the group is known is not of interest
			view.Duration = 0
		} else if s.Primary == 0 {
			view.Cause = s.Cause.String()
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b SwitchView) int { return cmp.Compare(a.Group, b.Group) })
	for _, s := range ended {
		out = append(out, SwitchView{Group: s.Group, Phase: "ended", Duration: s.Duration, Cause: s.Cause.String(),
			OldPrimary: name(s.OldPrimary), NewPrimary: name(s.NewPrimary), HeldRequests: s.MaxHeld, RefusedRequests: s.Refused})
	}
	return out
}

// SetTuning applies another tuning of the routing.
func (e *Engine) SetTuning(t logic.Tuning) { e.router.SetTuning(t) }

// SetHandover applies other settings for switches of primaries, which must have passed their Check.
func (e *Engine) SetHandover(cfg handover.Config) { e.router.SetHandoverConfig(cfg) }

// PoolView is the number of connections to a database, by use.
type PoolView struct {
	Name, Address       string
	Busy, Idle, Opening int // a connection that is being synchronized is busy
	Probe               string
}

// Pools returns the connections to each database, sorted by name.
func (e *Engine) Pools() (out []PoolView) {
	for _, m := range e.membersByName {
		p := PoolView{Name: m.name, Address: m.address, Idle: len(m.idleConns), Opening: len(m.openingConns), Probe: "none"}
		for c := range m.conns {
			if c.state == connBusy || c.state == connSyncing {
				p.Busy++
			}
		}
		if m.probeConn != nil {
			p.Probe = [...]string{connOpening: "opening", connSyncing: "busy", connIdle: "idle", connBusy: "busy", connClosed: "closed"}[m.probeConn.state]
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b PoolView) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
