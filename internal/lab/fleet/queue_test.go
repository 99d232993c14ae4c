package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"havenproxy/logic"
)

// wait plays a database with so many cores under a Poisson stream and gives the mean time that a request waits for a core, in
// units of the mean work. The waiting room is as good as endless.
func wait(t *testing.T, cores int, load float64, class Class, requests int) float64 {
	t.Helper()
	class.Class = logic.Class{Name: "a", Read: logic.Any}
	f, err := New(Config{Seed: 1, Groups: 1, Members: 1, Cores: cores, WaitingRoom: 1 << 30, Classes: []Class{class}}, time.Hour, Observer{})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(2, 3))
	mean := f.MeanWork(0)
	rate := load * float64(cores) / mean
	now, sum := time.Hour, 0.0
	for range requests {
		now += time.Duration(rng.ExpFloat64() / rate * 1e9)
		luck := 1 - rng.Float64()
		f.Advance(now)
		came, q := now, Query{Luck: luck}
		work := f.work(&q)
		f.Submit(now, 0, q, func(Reply) { sum += (f.clock.Now - came - work).Seconds() })
	}
	for at, more := f.Next(); more; at, more = f.Next() {
		f.Advance(at)
	}
	return sum / float64(requests) / mean
}

// The model's queue against those that can be solved on paper. M/M/c: the mean wait is C(c, a) / (c - a) of the mean work, with
// Erlang's C and a = load * c. M/G/1, by Pollaczek and Khinchine: load / (1 - load) * (1 + s2) / 2 with s2 the squared coefficient of
// variation, which for work that is even from u to v is (v - u)^2 / 12 over the square of the mean. Within 2%.
func TestQueuesThatCanBeSolvedOnPaper(t *testing.T) {
	erlangC := func(c int, a float64) float64 {
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		last := term * float64(c) / (float64(c) - a)
		return last / (sum + last)
	}
	exponential := Class{Work: Span{From: 10 * time.Millisecond, To: 10 * time.Millisecond}, Exponential: true}
	for _, x := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.7}, {3, 0.7}, {3, 0.85}, {8, 0.8}} {
		a := x.load * float64(x.cores)
		want := erlangC(x.cores, a) / (float64(x.cores) - a)
		got := wait(t, x.cores, x.load, exponential, 1_000_000)
		t.Logf("M/M/%d at %v: %.4f of the mean work, on paper %.4f", x.cores, x.load, got, want)
		if math.Abs(got/want-1) > 0.02 {
			t.Errorf("M/M/%d at %v: %.4f of the mean work, on paper %.4f", x.cores, x.load, got, want)
		}
	}
	for _, x := range []struct {
		from, to time.Duration
		load     float64
	}{{10 * time.Millisecond, 10 * time.Millisecond, 0.7}, {1 * time.Millisecond, 19 * time.Millisecond, 0.6}, {1 * time.Millisecond, 19 * time.Millisecond, 0.8}} {
		mean := (x.from + x.to).Seconds() / 2
		s2 := math.Pow((x.to-x.from).Seconds(), 2) / 12 / (mean * mean)
		want := x.load / (1 - x.load) * (1 + s2) / 2
		got := wait(t, 1, x.load, Class{Work: Span{From: x.from, To: x.to}}, 1_000_000)
		t.Logf("M/G/1, work from %v to %v, at %v: %.4f of the mean work, on paper %.4f", x.from, x.to, x.load, got, want)
		if math.Abs(got/want-1) > 0.02 {
			t.Errorf("M/G/1, work from %v to %v, at %v: %.4f of the mean work, on paper %.4f", x.from, x.to, x.load, got, want)
		}
	}
}
