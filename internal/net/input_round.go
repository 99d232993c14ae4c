package net

import (
	"time"

	"havenproxy/internal/limit"
)

// maxFinishTime is how long the end of the process may be put off by clients that keep sending.
const maxFinishTime = 50 * time.Millisecond

// This file holds the rounds in which clients get their turns.

// scheduleInput gives a client a turn.
func (s *Server) scheduleInput(c *client) {
	if c.phase == phaseClosed {
		return
	}
	s.inputQueue.Push(c, &c.turns)
	s.postRound()
}

func (s *Server) postRound() {
	if !s.roundPosted {
		s.roundPosted = true
		s.loop.Post(s.serveRound)
	}
}

// serveRound gives waiting clients their turns, for limit.InputTime at most. Everything else that the loop has to do comes before the next
// round, in which those that have used the least time are first.
func (s *Server) serveRound() {
	s.roundPosted = false
	now := s.clock.Now()
	until := now + limit.InputTime
	var unfinished []*client // they get their next turn in another round
	for s.inputQueue.Len() > 0 {
		c, turns := s.inputQueue.Pop()
		more := c.serveInput()
		before := now
		now = s.clock.Now()
		if again := s.inputQueue.EndTurn(turns, now-before); again || more {
			unfinished = append(unfinished, c)
		}
		if now >= until {
			break
		}
	}
	for _, c := range unfinished {
		s.scheduleInput(c)
	}
	if s.inputQueue.Len() > 0 {
		s.postRound()
	}
}

// FinishInput serves rounds until all input that has arrived is handled, for maxFinishTime at most. It is for the end of the
// process, when further requests are refused at once.
func (s *Server) FinishInput() {
	until := s.clock.Now() + maxFinishTime
	for s.inputQueue.Len() > 0 && s.clock.Now() < until {
		s.serveRound()
	}
}
