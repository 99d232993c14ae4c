package planner

import (
	"errors"
	"fmt"
	"time"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// This file handles operators' requests.

// pendingProposal is a proposal whose answer is sent once it is in the log.
type pendingProposal struct {
	nonce    uint64
	link     rollout.Link
	deadline time.Duration
}

// handleOperator handles an operator's request.
func (s *server) handleOperator(id rollout.Link, request *tier.OperatorRequest) {
	p := s.planner
	refuse := func(err error) {
		s.send(id, &tier.Frame{Response: &tier.OperatorResponse{Error: err.Error(), Planner: p.config.ID, Leader: p.leaderID}})
	}
	if p.leader != nil && !p.leader.Leading() { // its term has not begun in the log yet: the client retries
		s.send(id, &tier.Frame{Response: &tier.OperatorResponse{Error: client.ErrNoLeader.Error(), Planner: p.config.ID, State: p.state.WithoutPolicies(0)}})
		return
	}
	if request.Action == tier.ActionStatus {
		s.sendStatus(id, "", request.Number)
		return
	}
	if p.leader == nil {
		refuse(client.ErrNoLeader)
		return
	}
	switch request.Action {
	case tier.ActionPropose:
		if pending := p.state.Pending(); pending != nil && pending.Nonce != request.Nonce {
			refuse(undecidedError(pending.Number))
			return
		}
		s.proposals = append(s.proposals, pendingProposal{request.Nonce, id, p.now() + proposalTimeout})
		p.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: request.Nonce, Policy: request.Policy, Comment: request.Comment, Hash: request.Hash})
	case tier.ActionAbort:
		p.leader.Abort(p.now(), request.Number, "by the operator")
		s.sendStatus(id, "", 0)
	case tier.ActionExpel:
		text := ""
		if err := p.leader.Expel(p.now(), request.Name); err != nil {
			text = err.Error()
		}
		s.sendStatus(id, text, 0)
	case tier.ActionReplace:
		if err := p.Replace(uint64(request.Number), request.Nonce, request.Name); err != nil {
			refuse(err)
			return
		}
		s.sendStatus(id, "", 0)
	default:
		refuse(errors.New("this planner doesn't know the word " + request.Action))
	}
}

// undecidedError is the answer to a proposal while the change with that number is undecided.
type undecidedError rollout.Number

func (e undecidedError) Error() string {
	return fmt.Sprintf("change %d is undecided: wait for it, or abort it", rollout.Number(e))
}

// answerProposals answers the proposals that a committed command settles, and drops those whose deadline has passed.
func (s *server) answerProposals(command rollout.Command, err error) {
	if command.Kind != rollout.Propose {
		return
	}
	open := s.proposals[:0]
	for _, proposal := range s.proposals {
		switch {
		case proposal.nonce != command.Nonce:
			if s.planner.now() < proposal.deadline {
				open = append(open, proposal)
			}
		case err != nil:
			s.sendStatus(proposal.link, err.Error(), 0)
		default:
			s.sendStatus(proposal.link, "", 0)
		}
	}
	s.proposals = open
}

func (s *server) sendStatus(id rollout.Link, text string, policy rollout.Number) {
	p := s.planner
	answer := &tier.OperatorResponse{Error: text, Planner: p.config.ID, Leader: p.leaderID, State: p.state.WithoutPolicies(policy), Planners: p.voters()}
	if p.leader != nil {
		if progress, ok := p.leader.Progress(p.now()); ok {
			answer.Progress = &progress
		}
		answer.Members = p.leader.Members(p.now())
	}
	s.send(id, &tier.Frame{Response: answer})
}
