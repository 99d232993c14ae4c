package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Explain returns all that is known of each member, for operators, sorted by group and ID.
func (m *Members) Explain(now time.Duration) (out []Entry) {
	for _, x := range m.order {
		e := x.Entry
		for i := range x.reports {
			s, src := &x.reports[i], m.sources[i]
			if !s.listed && s.delistedAt == 0 || src.dropped {
				continue
			}
			what := s.Health.String()
			if s.Role != NoRole {
				what += ", " + s.Role.String()
			}
			if !s.listed {
				what = "not listed"
			}
			if s.damped {
				what += fmt.Sprintf(", damped (%.0f)", s.decayedPenalty(now, m.config.PenaltyHalfLife))
			}
			e.Evidence = append(e.Evidence, Evidence{Source: src.name, Claim: what, Age: now - s.unchangedSince, Confidence: src.weight(now, m.config.WeightHalfLife)})
		}
		if x.lastAlive > 0 {
			k := Evidence{Source: "seen", Claim: "answers", Age: now - x.lastAlive, Confidence: 1}
			if x.silent {
				k.Claim = "silent"
			}
			e.Evidence = append(e.Evidence, k)
		}
		slices.SortStableFunc(e.Evidence, func(a, b Evidence) int { return cmp.Compare(b.Confidence, a.Confidence) })
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Catalogues returns the state of each catalogue, for operators.
func (m *Members) Catalogues(now time.Duration) (out []Catalogue) {
	for i, s := range m.sources {
		if s.dropped {
			continue
		}
		c := Catalogue{Name: s.name, Members: s.listed, Index: s.index, SinceContact: now - s.lastContact, Lag: s.behind, Failures: s.failures,
			Doubted: s.doubtedSince > 0, DoubtCount: s.doubts, Skipped: s.skipped, LastError: s.lastErr}
		if !s.hasAnswered {
			c.SinceContact = -1
		}
		for _, x := range m.order {
			if x.report(i).damped {
				c.Suppressed++
			}
		}
		out = append(out, c)
	}
	return out
}
