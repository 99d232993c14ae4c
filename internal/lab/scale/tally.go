package scale

import "havenproxy/internal/lab/scale/analysis"

// tally adds up amounts by second and by owner, a proxy or a database.
type tally struct {
	current []float64 // of the second that runs, by owner
	seconds []float64 // sums over all owners of the seconds that have ended
	busiest float64   // the highest second of one owner
}

func newTally(owners int) *tally { return &tally{current: make([]float64, owners)} }

// add adds to an owner's amount in the second that runs.
func (t *tally) add(owner int, amount float64) { t.current[owner] += amount }

// roll ends a second.
func (t *tally) roll() {
	sum := 0.0
	for _, x := range t.current {
		sum += x
		t.busiest = max(t.busiest, x)
	}
	t.seconds = append(t.seconds, sum)
	clear(t.current)
}

// discard drops a second that isn't measured.
func (t *tally) discard() { clear(t.current) }

// each gives the sample for one owner: means over all of them, and the busiest.
func (t *tally) each() analysis.Sample {
	s := t.total()
	n := float64(len(t.current))
	return analysis.Sample{Mean: s.Mean / n, Peak: s.Peak / n, Busiest: t.busiest, Seconds: s.Seconds}
}

// total gives the sample of the sum over all owners.
func (t *tally) total() analysis.Sample {
	s := analysis.Sample{Seconds: len(t.seconds)}
	for _, x := range t.seconds {
		s.Mean += x / float64(len(t.seconds))
		s.Peak = max(s.Peak, x)
	}
	return s
}
