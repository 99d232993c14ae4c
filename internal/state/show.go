package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// What an operator may see. Each call makes a copy of what holds now; nothing here changes anything.

// Now is the front's clock.
func (f *Engine) Now() time.Duration { return f.clock.Now() }

// ClassView is a class with what became of its requests.
type ClassView struct {
	logic.Class
	ReadMode string
	ClassCounters
}

// ClassCounters count a class's requests since the start.
type ClassCounters struct{ Received, Served, Refused, Failed, Abandoned uint64 }

// Classes gives the deployment's classes in their order.
func (f *Engine) Classes() (out []ClassView) {
	for i, c := range f.cfg.Logic.Classes {
		reads := [...]string{logic.Any: "any", logic.Bounded: "bounded", logic.Session: "session", logic.Fresh: "fresh", logic.Write: "write"}[c.Read]
		out = append(out, ClassView{c, reads, f.perClass[i]})
	}
	return out
}

// DatabaseView is a database as the router sees it.
type DatabaseView struct {
	Name, Address string
	Group         int
	State         string // as listed
	logic.MemberStats
	Role        string
	Health      string
	PositionAge time.Duration // age of the newest position known; negative = none is known
}

// Databases gives all of them, by group and name.
func (f *Engine) Databases() (out []DatabaseView) {
	for _, m := range f.names {
		out = append(out, f.view(m))
	}
	slices.SortFunc(out, func(a, b DatabaseView) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Database gives one of them; false = the list has none of that name.
func (f *Engine) Database(name string) (DatabaseView, bool) {
	m := f.names[name]
	if m == nil {
		return DatabaseView{}, false
	}
	return f.view(m), true
}

func (f *Engine) view(m *member) DatabaseView {
	d := DatabaseView{Name: m.name, Address: m.address, State: stateName(m.state), Health: "ok", PositionAge: -1}
	if facts, ok := f.planned.MemberStats(f.clock.Now(), m.id); ok {
		d.MemberStats, d.Group = facts, int(facts.Group)
		switch {
		case facts.Silent:
			d.Health = "silent"
		case facts.Failing:
			d.Health = "failing"
		case facts.Cold:
			if d.Health = "cold"; facts.RestartDoubt > 0 {
				d.Health = fmt.Sprintf("cold? %.0f%%", 100*facts.RestartDoubt)
			}
		}
		if facts.Position > 0 {
			d.PositionAge = f.clock.Now() - facts.Position
		}
	}
	d.Role = roleNames[d.MemberStats.Role]
	return d
}

// SwitchView is a group's place with its primary, or a switch that has ended.
type SwitchView struct {
	Group                  int
	Phase                  string // "ended" for one that has
	Duration               time.Duration
	Cause                  string // of the switch; empty where there is none
	OldPrimary, NewPrimary string // members' names; empty where not known
	Rivals                 int
	HeldRequests           int
	RefusedRequests        int
	HeldBytes              int
	ExpectedRemaining      time.Duration // until a primary is back
}

// Switches gives the groups' places in their order, and behind them the last switches that have ended, the newest first.
func (f *Engine) Switches() (out []SwitchView) {
	now := f.clock.Now()
	groups, ended := f.planned.Handovers(now)
	name := func(id uint64) string {
		if m := f.members[logic.MemberID(id)]; m != nil {
			return m.name
		}
		return ""
	}
	for _, id := range f.planned.Groups() {
		s := groups[id]
		v := SwitchView{Group: int(id), Phase: s.Phase.String(), Duration: now - s.Since, NewPrimary: name(s.Primary), Rivals: s.RivalPrimaries, HeldRequests: s.Held,
			HeldBytes: s.HeldBytes, ExpectedRemaining: s.ExpectedWait}
		if s.Phase == handover.PhaseUndiscovered { // since the group is known, which is not what an operator asks
			v.Duration = 0
		} else if s.Primary == 0 {
			v.Cause = s.Cause.String()
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b SwitchView) int { return cmp.Compare(a.Group, b.Group) })
	for _, s := range ended {
		out = append(out, SwitchView{Group: s.Group, Phase: "ended", Duration: s.Duration, Cause: s.Cause.String(), OldPrimary: name(s.OldPrimary), NewPrimary: name(s.NewPrimary),
			HeldRequests: s.MaxHeld, RefusedRequests: s.Refused})
	}
	return out
}

// SetTuning puts another tuning of the routes into force.
func (f *Engine) SetTuning(t logic.Tuning) { f.planned.SetTuning(t) }

// SetHandover puts other settings for switches into force; they must have passed their Check.
func (f *Engine) SetHandover(cfg handover.Config) { f.planned.SetHandoverConfig(cfg) }

// PoolView is the connections to a database.
type PoolView struct {
	Name, Address       string
	Busy, Idle, Opening int
	Probe               string
}

// Pools gives the connections by database, by name.
func (f *Engine) Pools() (out []PoolView) {
	for _, m := range f.names {
		p := PoolView{Name: m.name, Address: m.address, Idle: len(m.idle), Opening: len(m.opening), Probe: "none"}
		for l := range m.links {
			if l.state == linkBusy {
				p.Busy++
			}
		}
		if m.probe != nil {
			p.Probe = [...]string{linkOpening: "opening", linkIdle: "idle", linkBusy: "busy", linkClosed: "closed"}[m.probe.state]
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b PoolView) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
