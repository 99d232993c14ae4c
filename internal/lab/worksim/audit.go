package worksim

import (
	"fmt"
	"slices"
)

// The auditor: what must hold of every key at the end.

func (s *simulation) audit() {
	note := func(n *int, f *keyHistory, what string) {
		if *n++; s.result.FirstBreach == "" {
			s.result.FirstBreach = fmt.Sprintf("%s %s: applied at %v, clients heard %v", f.name, what, f.applied, f.answers)
		}
	}
	for i := range s.result.Writes {
		f := s.keys[fmt.Sprint("k", i)]
		if len(f.applied) > 0 {
			s.result.Applied++
		}
		if len(f.applied) > 1 {
			note(&s.result.Doubled, f, "was doubled")
		}
		if f.sentAfterTakeover > 0 && !s.config.PauseBeforeWrite {
			note(&s.result.SentAfterTakeover, f, "was sent by one who had lost it")
		}
		served := slices.Index(f.answers, "served")
		switch {
		case served >= 0 && len(f.applied) == 0:
			note(&s.result.ServedUnapplied, f, "was served and not applied")
		case served >= 0 && slices.Contains(f.answers[served:], "failed"):
			s.result.FailedAfterServed++
		case served >= 0 && slices.Contains(f.answers[served:], "refused"):
			note(&s.result.RefusedAfterServed, f, "had another outcome behind served")
		}
		if slices.Contains(f.answers, "refused") && len(f.applied) > 0 && !s.cleared(f) {
			note(&s.result.RefusedApplied, f, "was refused and applied")
		}
		switch {
		case len(f.answers) == 0:
			s.result.Unanswered++
		case served >= 0:
			s.result.Served++
		case f.answers[len(f.answers)-1] == "refused":
			s.result.Refused++
		default:
			s.result.Failed++
		}
	}
	for _, n := range s.nodes {
		if n.registry != nil {
			c := n.registry.Counters
			s.result.Counters.Replicated += c.Replicated
			s.result.Counters.Unreplicated += c.Unreplicated
			s.result.Counters.TakenOver += c.TakenOver
			s.result.Counters.Resent += c.Resent
			s.result.Counters.Unknown += c.Unknown
			s.result.Counters.Deduplicated += c.Deduplicated
			s.result.Counters.Lost += c.Lost
			s.result.Counters.SentAfterLease += c.SentAfterLease
			s.result.Counters.Rejected += c.Rejected
		}
	}
}

// cleared tells that a key that was refused was asked for once more behind it, and ran then: a refusal is for what never ran by then.
func (s *simulation) cleared(f *keyHistory) bool {
	return f.attempts > len(f.answers) || f.answers[len(f.answers)-1] != "refused"
}
