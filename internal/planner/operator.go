package planner

import (
	"errors"
	"fmt"
	"time"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// The operator's commands, and their answers.

type waiting struct {
	nonce uint64
	link  rollout.Link
	until time.Duration
}

// ask answers the operator.
func (s *server) ask(id rollout.Link, a *tier.Ask) {
	p := s.p
	refuse := func(err error) {
		s.send(id, &tier.Frame{Answer: &tier.Answer{Error: err.Error(), Planner: p.cfg.ID, Leader: p.leads}})
	}
	if p.leader != nil && !p.leader.Leading() { // its term has yet to begin in the log: who asks comes again
		s.send(id, &tier.Frame{Answer: &tier.Answer{Error: client.ErrNoLeader.Error(), Planner: p.cfg.ID, State: p.state.WithoutPolicies(0)}})
		return
	}
	if a.Do == tier.DoStatus {
		s.status(id, "", a.Number)
		return
	}
	if p.leader == nil {
		refuse(client.ErrNoLeader)
		return
	}
	switch a.Do {
	case tier.DoPropose:
		if c := p.state.Pending(); c != nil && c.Nonce != a.Nonce {
			refuse(errUndecided(c.Number))
			return
		}
		s.waiting = append(s.waiting, waiting{a.Nonce, id, p.now() + askFor})
		p.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: a.Nonce, Policy: a.Policy, Comment: a.Why, Hash: a.Hash})
	case tier.DoAbort:
		p.leader.Abort(p.now(), a.Number, "by the operator")
		s.status(id, "", 0)
	case tier.DoExpel:
		text := ""
		if err := p.leader.Expel(p.now(), a.Name); err != nil {
			text = err.Error()
		}
		s.status(id, text, 0)
	case tier.DoReplace:
		if err := p.Replace(uint64(a.Number), a.Nonce, a.Name); err != nil {
			refuse(err)
			return
		}
		s.status(id, "", 0)
	default:
		refuse(errors.New("this planner doesn't know the word " + a.Do))
	}
}

type errUndecided rollout.Number

func (e errUndecided) Error() string {
	return fmt.Sprintf("change %d is undecided: wait for it, or abort it", rollout.Number(e))
}

// settle answers proposals that the log has had.
func (s *server) settle(c rollout.Command, err error) {
	if c.Kind != rollout.Propose {
		return
	}
	n := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case w.nonce != c.Nonce:
			if s.p.now() < w.until {
				n = append(n, w)
			}
		case err != nil:
			s.status(w.link, err.Error(), 0)
		default:
			s.status(w.link, "", 0)
		}
	}
	s.waiting = n
}

func (s *server) status(id rollout.Link, text string, n rollout.Number) {
	p := s.p
	a := &tier.Answer{Error: text, Planner: p.cfg.ID, Leader: p.leads, State: p.state.WithoutPolicies(n), Planners: p.voting()}
	if p.leader != nil {
		if progress, ok := p.leader.Progress(p.now()); ok {
			a.Progress = &progress
		}
		a.Members = p.leader.Members(p.now())
	}
	s.send(id, &tier.Frame{Answer: a})
}
