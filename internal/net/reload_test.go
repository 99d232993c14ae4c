package net

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"havenproxy/internal/limit"
)

// reloadBound is by when a change counts as known that the service named by a reload had before that.
const reloadBound = 4 * time.Second

// listedAs tells how the proxy lists a database.
func (s *service) listedAs(name string) string {
	for _, m := range s.front.Databases() {
		if m.Name == name {
			return m.State
		}
	}
	return "none"
}

// reload moves the proxy to another service, which counts its lists anew and begins with one draining database. Whatever the service before
// still has under way, it answers with a list in which none drains.
func (s *service) reload(gen int64, drains string) {
	before := s.open
	s.open, s.mood, s.gen, s.gone = nil, answers, gen, []string{drains}
	s.address = "second:1"
	s.discovery.SetAddress(s.address)
	for _, l := range before {
		s.later(s.some(time.Second), func() {
			body := fmt.Sprintf(`{"generation":99,"reset":true,"instances":[{"instanceId":%q,"hostPort":"a:1","lifecycle":"in_service"}]}`, drains)
			l.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		})
	}
}

// A new configuration names another service, whatever became of the calls to the one before: what the new one tells at once is known within
// its bound, and so is a drain that begins soon after.
func TestADrainBehindAReloadIsKnown(t *testing.T) {
	quiet(t)
	for _, bound := range []time.Duration{limit.DefaultPropagationBound, time.Second} {
		for seed := range uint64(1500) {
			s := newService(seed, bound)
			start := s.clock.now
			at := start
			for range s.rng.IntN(4) {
				at += s.some(3 * time.Second)
				s.later(at-start, func() { s.turn(mood(s.rng.IntN(int(moods)))) })
			}
			reloaded := at + s.some(2*time.Second)
			s.later(reloaded-start, func() { s.reload(1+s.rng.Int64N(6), "first") })
			drained := reloaded + s.some(5*time.Second)
			s.later(drained-start, func() { s.change("second") })
			s.run(reloaded + min(reloadBound, bound))
			if how := s.listedAs("first"); how != "draining" {
				t.Fatalf("bound %v, seed %d: what the new service had at %v is %s", bound, seed, reloaded-start, how)
			}
			s.run(drained + bound)
			if how := s.listedAs("second"); how != "draining" {
				t.Fatalf("bound %v, seed %d: reloaded at %v, the drain of %v is %s", bound, seed, reloaded-start, drained-start, how)
			}
			if s.astray > 0 {
				t.Fatalf("bound %v, seed %d: %d calls went to the service before the reload at %v", bound, seed, s.astray, reloaded-start)
			}
		}
	}
}

// An open watch falls silent at any moment, late ones among them, also in the middle of an answer: it is opened anew in time for a drain that
// begins then to be known within the bound.
func TestAWatchThatFallsSilentLateIsOpenedAnew(t *testing.T) {
	quiet(t)
	for _, half := range []bool{false, true} {
		for silent := 50 * time.Millisecond; silent < 30*time.Second; silent += 70 * time.Millisecond {
			s := newService(uint64(silent), 0)
			start := s.clock.now
			s.later(silent, func() {
				for _, l := range s.open {
					if half {
						l.say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"genera")
					}
					l.muted = true
				}
				s.open = nil
				s.change("m")
			})
			s.run(start + silent + limit.DefaultPropagationBound)
			if how := s.listedAs("m"); how != "draining" {
				t.Fatalf("silent at %v (half an answer: %v): the drain of that moment is %s", silent, half, how)
			}
		}
	}
}

// A list that comes whole behind changes counts as a whole: who is left out of it leaves, who is named in it is as it says, and the changes
// that come behind it count again.
func TestAWholeListBehindChanges(t *testing.T) {
	quiet(t)
	s := newService(1, 0)
	s.run(s.clock.now + time.Second)
	tell := func(generation int, whole bool, instances string) {
		if len(s.open) != 1 {
			t.Fatalf("%d calls wait", len(s.open))
		}
		l := s.open[0]
		s.open, s.gen = nil, int64(generation)
		body := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, instances)
		l.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		s.run(s.clock.now + time.Second)
	}
	one := func(name, lifecycle string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"a:1","lifecycle":%q}`, name, lifecycle)
	}
	tell(4, false, one("a", "in_service")+","+one("b", "in_service"))
	tell(5, false, one("a", "terminating"))
	tell(6, true, one("a", "terminating")+","+one("c", "in_service"))
	tell(7, false, one("c", "terminating"))
	var got []string
	for _, m := range s.front.Databases() {
		got = append(got, m.Name+" "+m.State)
	}
	if want := []string{"a draining", "c draining"}; !slices.Equal(got, want) {
		t.Errorf("known are %q, want %q", got, want)
	}
}
