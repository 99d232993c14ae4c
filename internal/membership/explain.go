package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Explain returns all members with their evidence, for operators, sorted by group and ID.
func (m *Members) Explain(now time.Duration) (entries []Entry) {
	for _, member := range m.ordered {
		entry := member.Entry
		for i := range member.reports {
			report, catalogue := &member.reports[i], m.catalogues[i]
			if !report.listed && report.delistedAt == 0 || catalogue.dropped {
				continue
			}
			claim := report.Health.String()
			if report.Role != NoRole {
				claim += ", " + report.Role.String()
			}
			if !report.listed {
				claim = "not listed"
			}
			if report.damped {
				claim += fmt.Sprintf(", damped (%.0f)", report.decayedPenalty(now, m.config.PenaltyHalfLife))
			}
			entry.Evidence = append(entry.Evidence, Evidence{Source: catalogue.name, Claim: claim, Age: now - report.unchangedSince, Confidence: catalogue.weight(now, m.config.WeightHalfLife)})
		}
		if member.lastAlive > 0 {
			evidence := Evidence{Source: "seen", Claim: "answers", Age: now - member.lastAlive, Confidence: 1}
			if member.silent {
				evidence.Claim = "silent"
			}
			entry.Evidence = append(entry.Evidence, evidence)
		}
		slices.SortStableFunc(entry.Evidence, func(a, b Evidence) int { return cmp.Compare(b.Confidence, a.Confidence) })
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID)) })
	return entries
}

// Catalogues returns the state of each catalogue, for operators.
func (m *Members) Catalogues(now time.Duration) (infos []Catalogue) {
	for i, catalogue := range m.catalogues {
		if catalogue.dropped {
			continue
		}
		info := Catalogue{Name: catalogue.name, Members: catalogue.listed, Index: catalogue.index, SinceContact: now - catalogue.lastContact, Lag: catalogue.lag, Failures: catalogue.failures,
			Doubted: catalogue.doubtedSince > 0, DoubtCount: catalogue.doubtCount, Skipped: catalogue.skipped, LastError: catalogue.lastError}
		if !catalogue.hasAnswered {
			info.SinceContact = -1
		}
		for _, member := range m.ordered {
			if member.report(i).damped {
				info.Suppressed++
			}
		}
		infos = append(infos, info)
	}
	return infos
}
