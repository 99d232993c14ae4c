package net

import (
	"time"

	"havenproxy/internal/limit"
)

// maxFinishTime is how long the end of the process may be put off by clients that keep sending.
const maxFinishTime = 50 * time.Millisecond

// This file holds the rounds in which clients get their turns.

// scheduleInput gives a client a turn, later if it has used much of the processor's time.
func (s *Server) scheduleInput(c *client) {
	if c.phase == phaseClosed || c.pause.IsSet() {
		return
	}
	now := s.clock.Now()
	if next := s.pace.NextTurn(&c.usage, now); next > now && !s.finishing {
		s.deadlines.Set(&c.pause, next, func() { s.enqueue(c) })
		return
	}
	s.enqueue(c)
}

// enqueue makes a client wait for its turn.
func (s *Server) enqueue(c *client) {
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
		s.pace.Add(&c.usage, now, now-before)
		if again := s.inputQueue.EndTurn(turns, min(now-before, limit.MaxTurnCharge)); again || more {
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
	s.finishing = true
	for c := range s.clients {
		if c.pause.IsSet() {
			s.deadlines.Clear(&c.pause)
			s.enqueue(c)
		}
	}
	until := s.clock.Now() + maxFinishTime
	for s.inputQueue.Len() > 0 && s.clock.Now() < until {
		s.serveRound()
	}
}
