package tier

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Seen is what a client saw of one request.
type Seen struct {
	Proxy    string
	Taken    time.Duration // when it was sent: it was taken no earlier
	Answered time.Duration // when its answer was there: it was taken no later
	Policy   uint64
}

// The promises, as breaches name them.
const (
	OneMoment = "one moment"
	Nowhere   = "nowhere"
)

// Breach is a promise that a history doesn't keep.
type Breach struct {
	Promise string
	Text    string
	Count   int    // of requests
	History []Seen // the shortest that shows it
}

// String formats the breach with the history that shows it, one request on each line, times in milliseconds.
func (b Breach) String() string {
	lines := []string{b.Promise + ": " + b.Text}
	for _, s := range b.History {
		lines = append(lines, fmt.Sprintf("  %-5s sent %9.3f ms, answered %9.3f ms, policy %d", s.Proxy, ms(s.Taken), ms(s.Answered), s.Policy))
	}
	return strings.Join(lines, "\n")
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// Audit judges a history over all proxies. A request that was answered before another was sent was taken before it, so the other's policy is
// no older (one moment); and no request was taken under a change that was given up (nowhere). For each promise the pair that shows its
// breach most clearly is given, with the count.
func Audit(history []Seen, givenUp []uint64) (out []Breach) {
	byAnswer := slices.Clone(history)
	slices.SortFunc(byAnswer, func(a, b Seen) int { return int(a.Answered - b.Answered) })
	bySent := slices.Clone(history)
	slices.SortFunc(bySent, func(a, b Seen) int { return int(a.Taken - b.Taken) })
	var newest *Seen // of those answered so far
	count, widest := 0, Breach{Promise: OneMoment}
	i, gap := 0, time.Duration(-1)
	for k := range bySent {
		b := &bySent[k]
		for ; i < len(byAnswer) && byAnswer[i].Answered < b.Taken; i++ {
			if newest == nil || byAnswer[i].Policy > newest.Policy {
				newest = &byAnswer[i]
			}
		}
		if newest != nil && b.Policy < newest.Policy {
			count++
			if g := b.Taken - newest.Answered; g > gap {
				gap, widest.History = g, []Seen{*newest, *b}
			}
		}
	}
	if widest.Count = count; count > 0 {
		widest.Text = fmt.Sprintf("%d requests were taken under an older policy than one that had been answered before they were sent", count)
		out = append(out, widest)
	}
	nowhere, first := 0, Breach{Promise: Nowhere}
	for _, s := range bySent {
		if slices.Contains(givenUp, s.Policy) {
			if nowhere++; nowhere == 1 {
				first.History = []Seen{s}
			}
		}
	}
	if first.Count = nowhere; nowhere > 0 {
		first.Text = fmt.Sprintf("%d requests were taken under a change that was given up", nowhere)
		out = append(out, first)
	}
	return out
}
