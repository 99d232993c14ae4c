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
				what += fmt.Sprintf(", damped (%.0f)", s.decayedPenalty(now, m.config.Half))
			}
			e.Facts = append(e.Facts, Known{Source: src.name, What: what, Age: now - s.unchangedSince, Confidence: src.weight(now, m.config.Decay)})
		}
		if x.lastAlive > 0 {
			k := Known{Source: "seen", What: "answers", Age: now - x.lastAlive, Confidence: 1}
			if x.silent {
				k.What = "silent"
			}
			e.Facts = append(e.Facts, k)
		}
		slices.SortStableFunc(e.Facts, func(a, b Known) int { return cmp.Compare(b.Confidence, a.Confidence) })
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
		c := Catalogue{Name: s.name, Members: s.listed, Index: s.index, Contact: now - s.lastContact, Behind: s.behind, Failures: s.failures,
			Doubted: s.doubtedSince > 0, Doubts: s.doubts, Skipped: s.skipped, LastError: s.lastErr}
		if !s.hasAnswered {
			c.Contact = -1
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
