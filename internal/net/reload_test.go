package net

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"havenproxy/internal/limit"
)

// reloadMaxDelay is the time within which a change counts as known that the new service had before the reload.
const reloadMaxDelay = 4 * time.Second

// listedState returns the state in which the proxy lists a database.
func (s *discoveryService) listedState(name string) string {
	for _, database := range s.engine.Databases() {
		if database.Name == name {
			return database.State
		}
	}
	return "none"
}

// switchService moves the proxy to another service, which has its own generations and begins with one draining
// database. Calls to the previous service that are still under way are answered with a list in which nothing drains.
func (s *discoveryService) switchService(gen int64, drains string) {
	before := s.waiting
	s.waiting, s.mode, s.generation, s.draining = nil, modeAnswers, gen, []string{drains}
	s.address = "second:1"
	s.client.SetAddress(s.address)
	for _, l := range before {
		s.after(s.randomDuration(time.Second), func() {
			body := fmt.Sprintf(`{"generation":99,"reset":true,"instances":[{"instanceId":%q,"hostPort":"a:1","lifecycle":"in_service"}]}`, drains)
			l.sendPieces(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		})
	}
}

// A new configuration names another service, whatever the state of the calls to the previous one: the new service's
// first list is known within the bound, and so is a drain that begins soon afterwards.
func TestDrainAfterReloadIsKnown(t *testing.T) {
	discardLog(t)
	for _, bound := range []time.Duration{limit.DefaultMaxDelay, time.Second} {
		for seed := range uint64(1500) {
			s := newDiscoveryService(seed, bound)
			start := s.clock.now
			at := start
			for range s.rng.IntN(4) {
				at += s.randomDuration(3 * time.Second)
				s.after(at-start, func() { s.setMode(serviceMode(s.rng.IntN(int(modeCount)))) })
			}
			reloaded := at + s.randomDuration(2*time.Second)
			s.after(reloaded-start, func() { s.switchService(1+s.rng.Int64N(6), "first") })
			drained := reloaded + s.randomDuration(5*time.Second)
			s.after(drained-start, func() { s.startDrain("second") })
			s.run(reloaded + min(reloadMaxDelay, bound))
			if listed := s.listedState("first"); listed != "draining" {
				t.Fatalf("bound %v, seed %d: the database draining at %v in the new service is %s", bound, seed, reloaded-start, listed)
			}
			s.run(drained + bound)
			if listed := s.listedState("second"); listed != "draining" {
				t.Fatalf("bound %v, seed %d: reloaded at %v, the database draining from %v is %s", bound, seed, reloaded-start, drained-start, listed)
			}
			if s.staleCalls > 0 {
				t.Fatalf("bound %v, seed %d: %d calls were sent to the previous service after the reload at %v", bound, seed, s.staleCalls, reloaded-start)
			}
		}
	}
}

// An open watch becomes silent at any moment, also late or in the middle of a response: it is reopened in time for a
// drain that begins then to be known within the bound.
func TestSilentWatchIsReopened(t *testing.T) {
	discardLog(t)
	for _, half := range []bool{false, true} {
		for silent := 50 * time.Millisecond; silent < 30*time.Second; silent += 70 * time.Millisecond {
			s := newDiscoveryService(uint64(silent), 0)
			start := s.clock.now
			s.after(silent, func() {
				for _, l := range s.waiting {
					if half {
						l.sendPieces("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"genera")
					}
					l.silent = true
				}
				s.waiting = nil
				s.startDrain("m")
			})
			s.run(start + silent + limit.DefaultMaxDelay)
			if listed := s.listedState("m"); listed != "draining" {
				t.Fatalf("silent at %v (partial response: %v): the database draining from then is %s", silent, half, listed)
			}
		}
	}
}

// A full list after changes replaces the list: databases that are missing from it are removed, the others have the
// states in it, and later changes apply again.
func TestFullListAfterChanges(t *testing.T) {
	discardLog(t)
	s := newDiscoveryService(1, 0)
	s.run(s.clock.now + time.Second)
	answer := func(generation int, complete bool, instances string) {
		if len(s.waiting) != 1 {
			t.Fatalf("%d calls are waiting", len(s.waiting))
		}
		l := s.waiting[0]
		s.waiting, s.generation = nil, int64(generation)
		body := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, complete, instances)
		l.sendPieces(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		s.run(s.clock.now + time.Second)
	}
	entry := func(name, lifecycle string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"a:1","lifecycle":%q}`, name, lifecycle)
	}
	answer(4, false, entry("a", "in_service")+","+entry("b", "in_service"))
	answer(5, false, entry("a", "terminating"))
	answer(6, true, entry("a", "terminating")+","+entry("c", "in_service"))
	answer(7, false, entry("c", "terminating"))
	var got []string
	for _, m := range s.engine.Databases() {
		got = append(got, m.Name+" "+m.State)
	}
	if want := []string{"a draining", "c draining"}; !slices.Equal(got, want) {
		t.Errorf("the known databases are %q, want %q", got, want)
	}
}
