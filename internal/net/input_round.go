package net

import (
	"time"

	"havenproxy/internal/limit"
)

// maxFinishTime is how long the end of the process may be put off by clients that keep sending.
const maxFinishTime = 50 * time.Millisecond

// This file holds the rounds in which clients get their turns.

// scheduleInput gives a client a turn in the next round.
func (s *Server) scheduleInput(c *client) {
	if c.scheduled || c.phase == phaseClosed {
		return
	}
	c.scheduled = true
	s.inputQueue = append(s.inputQueue, c)
	s.postRound()
}

func (s *Server) postRound() {
	if !s.roundPosted {
		s.roundPosted = true
		s.loop.Post(s.serveRound)
	}
}

// serveRound gives each waiting client a turn, for limit.RoundTime at most. Clients that have more to do get their next
// turn behind the others, and everything else that the loop has to do comes before the next round.
func (s *Server) serveRound() {
	s.roundPosted = false
	until := s.clock.Now() + limit.RoundTime
	waiting := len(s.inputQueue)
	served := 0
	for served < waiting && (served == 0 || s.clock.Now() < until) {
		c := s.inputQueue[served]
		s.inputQueue[served] = nil
		served++
		c.scheduled = false
		if c.serveInput() {
			s.scheduleInput(c)
		}
	}
	s.inputQueue = append(s.inputQueue[:0], s.inputQueue[served:]...)
	if len(s.inputQueue) > 0 {
		s.postRound()
	}
}

// FinishInput serves rounds until all input that has arrived is handled, for maxFinishTime at most. It is for the end of the
// process, when further requests are refused at once.
func (s *Server) FinishInput() {
	until := s.clock.Now() + maxFinishTime
	for len(s.inputQueue) > 0 && s.clock.Now() < until {
		s.serveRound()
	}
}
