package membership

import (
	"cmp"
	"slices"
	"time"
)

// isTimeDependent reports whether the member's state may change without an event.
func (member *Member) isTimeDependent() bool {
	if member.absentSince > 0 || member.failingSince > 0 || member.renamedAt > 0 || member.Entry.State == StateRemoved {
		return true
	}
	return slices.ContainsFunc(member.reports, func(r report) bool { return r.damped })
}

func (member *Member) isAlive(now time.Duration) bool {
	return member.lastAlive > 0 && !member.silent && now-member.lastAlive <= member.members.config.AliveTimeout
}

// decide returns the state of the member and the reason for it.
func (member *Member) decide(now time.Duration) (State, string) {
	config := &member.members.config
	listed, passing, critical, doubted, damped := "", "", "", "", ""
	lastDelisted := time.Duration(0)
	for i := range member.reports {
		report, catalogue := &member.reports[i], member.members.catalogues[i]
		if report.damped && report.decayedPenalty(now, config.PenaltyHalfLife) < config.ReuseThreshold {
			report.damped = false
		}
		switch {
		case report.listed && (report.Health == Draining || report.Health == Maintenance): // regardless of the other catalogues
			return StateDraining, catalogue.name + " says " + report.Health.String()
		case report.listed && catalogue.trust.Authoritative:
			return StateReady, catalogue.name + " lists it"
		case !report.listed && catalogue.trust.Authoritative && report.delistedAt > 0 && !catalogue.dropped:
			return StateRemoved, catalogue.name + " lists it no more"
		case report.damped && !catalogue.dropped:
			damped = catalogue.name
		case report.listed && report.Health.admits():
			listed, passing = catalogue.name, catalogue.name
		case report.listed:
			listed, critical = catalogue.name, catalogue.name
		case catalogue.doubtedSince > 0 && report.delistedAt >= catalogue.doubtedSince:
			doubted = catalogue.name
		}
		if !report.listed {
			lastDelisted = max(lastDelisted, report.delistedAt)
		}
	}
	if member.absentSince = 0; listed == "" && damped == "" && doubted == "" {
		member.absentSince = lastDelisted
	}
	if member.failingSince = cmp.Or(member.failingSince, now); critical == "" || passing != "" {
		member.failingSince = 0
	}
	answers := member.isAlive(now)
	viewed, inUse := member.members.view.Get(member.ID)
	inUse = inUse && viewed.State == StateReady
	switch {
	case passing != "":
		return StateReady, passing + " says passing"
	case answers && critical != "":
		return StateReady, "it answers, though " + critical + " says critical"
	case damped != "" && (answers || inUse && !member.silent):
		return StateReady, damped + " flaps, and is not followed"
	case doubted != "" && inUse:
		return StateReady, doubted + " has lost too many at once to be believed"
	case critical != "" && inUse && now-member.failingSince < config.CriticalTimeout:
		return StateReady, critical + " says critical, for now"
	case critical != "" || damped != "":
		return StateRemoved, "it doesn't answer, and " + cmp.Or(critical, damped) + " says no better"
	case answers && now-member.absentSince < config.AliveUnlistedTimeout:
		return StateReady, "it answers, though nobody lists it"
	case inUse && now-member.absentSince < config.UnlistedTimeout:
		return StateReady, "it was listed a moment ago"
	}
	return StateRemoved, "nobody lists it"
}

// describe sets the attributes of the member's entry from the listing with the highest weight.
func (member *Member) describe(now time.Duration) {
	best, weight := -1, -1.0
	role, roleWeight := NoRole, 0.0
	for i := range member.reports {
		report, catalogue := &member.reports[i], member.members.catalogues[i]
		if !report.listed && report.delistedAt == 0 {
			continue
		}
		w := catalogue.weight(now, member.members.config.WeightHalfLife)
		if !report.listed {
			w /= 100 // a former listing is used only where no catalogue lists the member
		}
		if w > weight {
			best, weight = i, w
		}
		if report.listed && report.Role != NoRole && w > roleWeight {
			role, roleWeight = report.Role, w
		}
	}
	if best < 0 {
		return
	}
	listing := &member.reports[best].Listing
	member.Address, member.Zone, member.Group, member.Weight, member.Role = listing.Address, listing.Zone, listing.Group, listing.Weight, role
	member.Started = max(member.Started, listing.Started)
}
