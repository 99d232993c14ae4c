package membership

import (
	"math"
	"time"
)

// report is the last listing of a member by one catalogue, with its history.
type report struct {
	Listing
	listed         bool
	unchangedSince time.Duration // since when health, role and listed are the same
	delistedAt     time.Duration // when the member was last delisted; 0 = never
	penalty        float64
	penaltyAt      time.Duration // when penalty was computed
	damped         bool          // the listing is ignored until the penalty has decayed
}

// report returns the member's report of the catalogue with index i.
func (member *Member) report(index int) *report {
	for len(member.reports) <= index {
		member.reports = append(member.reports, report{})
	}
	return &member.reports[index]
}

// admits reports whether a member with this health may be in use.
func (h Health) admits() bool { return h == Passing || h == Warning }

// receive applies a listing of the catalogue with index i.
func (member *Member) receive(now time.Duration, index int, listing Listing) {
	report := member.report(index)
	if !report.listed && report.delistedAt > 0 || report.listed && report.Health.admits() != listing.Health.admits() && listing.Health < Draining && report.Health < Draining {
		member.addPenalty(now, report)
	}
	if !report.listed || report.Health != listing.Health || report.Role != listing.Role {
		report.unchangedSince = now
	}
	if listing.Started > 0 && listing.Started > report.Started && report.Started > 0 {
		member.lastAlive, member.silent = 0, false // another process: observations of the old one no longer apply
	}
	report.Listing, report.listed = listing, true
	member.enqueue()
}

// delist records that the catalogue with index i no longer lists the member.
func (member *Member) delist(now time.Duration, index int) {
	report := member.report(index)
	if report.listed {
		report.listed, report.delistedAt, report.unchangedSince = false, now, now
		member.addPenalty(now, report)
		member.enqueue()
	}
}

// addPenalty adds the penalty of one change to the decayed penalty of the earlier ones.
func (member *Member) addPenalty(now time.Duration, r *report) {
	config := &member.members.config
	r.penalty = min(r.decayedPenalty(now, config.PenaltyHalfLife)+config.FlapPenalty, config.MaxPenalty)
	r.penaltyAt = now
	if r.penalty > config.SuppressThreshold {
		r.damped = true
	}
}

func (r *report) decayedPenalty(now, half time.Duration) float64 {
	return r.penalty * math.Exp2(-float64(now-r.penaltyAt)/float64(half))
}
