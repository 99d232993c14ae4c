package membership

import (
	"cmp"
	"slices"
	"time"
)

// waits tells of a member whose state may change by time alone.
func (x *Member) isTimeDependent() bool {
	if x.absentSince > 0 || x.failingSince > 0 || x.renamedAt > 0 || x.Entry.State == StateRemoved {
		return true
	}
	return slices.ContainsFunc(x.reports, func(s report) bool { return s.damped })
}

func (x *Member) isAlive(now time.Duration) bool {
	return x.lastAlive > 0 && !x.silent && now-x.lastAlive <= x.members.config.AliveTimeout
}

// decide says what becomes of a member, and why.
func (x *Member) decide(now time.Duration) (State, string) {
	c := &x.members.config
	listed, passing, critical, doubted, damped := "", "", "", "", ""
	lost := time.Duration(0)
	for i := range x.reports {
		s, src := &x.reports[i], x.members.sources[i]
		if s.damped && s.decayedPenalty(now, c.PenaltyHalfLife) < c.ReuseThreshold {
			s.damped = false
		}
		switch {
		case s.listed && (s.Health == Draining || s.Health == Maintenance): // whatever else is said
			return StateDraining, src.name + " says " + s.Health.String()
		case s.listed && src.trust.Authoritative:
			return StateReady, src.name + " lists it"
		case !s.listed && src.trust.Authoritative && s.delistedAt > 0 && !src.dropped:
			return StateRemoved, src.name + " lists it no more"
		case s.damped && !src.dropped:
			damped = src.name
		case s.listed && s.Health.admits():
			listed, passing = src.name, src.name
		case s.listed:
			listed, critical = src.name, src.name
		case src.doubtedSince > 0 && s.delistedAt >= src.doubtedSince:
			doubted = src.name
		}
		if !s.listed {
			lost = max(lost, s.delistedAt)
		}
	}
	if x.absentSince = 0; listed == "" && damped == "" && doubted == "" {
		x.absentSince = lost
	}
	if x.failingSince = cmp.Or(x.failingSince, now); critical == "" || passing != "" {
		x.failingSince = 0
	}
	answers := x.isAlive(now)
	was, inUse := x.members.view.Get(x.ID)
	inUse = inUse && was.State == StateReady
	switch {
	case passing != "":
		return StateReady, passing + " says passing"
	case answers && critical != "":
		return StateReady, "it answers, though " + critical + " says critical"
	case damped != "" && (answers || inUse && !x.silent):
		return StateReady, damped + " flaps, and is not followed"
	case doubted != "" && inUse:
		return StateReady, doubted + " has lost too many at once to be believed"
	case critical != "" && inUse && now-x.failingSince < c.CriticalTimeout:
		return StateReady, critical + " says critical, for now"
	case critical != "" || damped != "":
		return StateRemoved, "it doesn't answer, and " + cmp.Or(critical, damped) + " says no better"
	case answers && now-x.absentSince < c.AliveUnlistedTimeout:
		return StateReady, "it answers, though nobody lists it"
	case inUse && now-x.absentSince < c.UnlistedTimeout:
		return StateReady, "it was listed a moment ago"
	}
	return StateRemoved, "nobody lists it"
}

// describe fills in what the view tells of a member, from the weightiest source that lists it.
func (x *Member) describe(now time.Duration) {
	best, weight := -1, -1.0
	role, roleWeight := NoRole, 0.0
	for i := range x.reports {
		s, src := &x.reports[i], x.members.sources[i]
		if !s.listed && s.delistedAt == 0 {
			continue
		}
		w := src.weight(now, x.members.config.WeightHalfLife)
		if !s.listed {
			w /= 100 // what it last said, where nobody says more
		}
		if w > weight {
			best, weight = i, w
		}
		if s.listed && s.Role != NoRole && w > roleWeight {
			role, roleWeight = s.Role, w
		}
	}
	if best < 0 {
		return
	}
	f := &x.reports[best].Listing
	x.Address, x.Zone, x.Group, x.Weight, x.Role = f.Address, f.Zone, f.Group, f.Weight, role
	x.Started = max(x.Started, f.Started)
}
