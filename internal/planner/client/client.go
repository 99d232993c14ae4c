// Package client asks planners on an operator's behalf. It knows nothing of the log.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// Client asks planners on an operator's behalf.
type Client struct {
	Planners []string // addresses
	current  int
}

// RequestTimeout is how long a planner has for an answer.
const RequestTimeout = 2 * time.Second

// ErrNoLeader tells that nobody can take a proposal now.
var ErrNoLeader = errors.New("no planner leads now; try again")

// errNoAnswer tells that no planner could be asked.
var errNoAnswer = errors.New("no planner answers")

// one asks one planner.
func (c *Client) query(ctx context.Context, address string, ask tier.Ask, timeout time.Duration) (*tier.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	frame, err := tier.Append(nil, &tier.Frame{Ask: &ask})
	if err == nil {
		_, err = conn.Write(frame)
	}
	if err != nil {
		return nil, err
	}
	answer, err := tier.Read(bufio.NewReader(conn))
	if err == nil && answer.Answer == nil {
		err = fmt.Errorf("%s answers with something else", address)
	}
	return answer.Answer, err
}

// Status asks what holds. The planner that leads knows more than the others; it is asked if it is among those named and answers. The text of policy n comes with it.
func (c *Client) Status(ctx context.Context, policy rollout.Number) (*tier.Answer, error) {
	var best *tier.Answer
	lastErr := errNoAnswer
	for range c.Planners {
		answer, err := c.query(ctx, c.Planners[c.current%len(c.Planners)], tier.Ask{Do: tier.DoStatus, Number: policy}, RequestTimeout)
		switch {
		case err != nil || answer.State == nil:
			lastErr = fmt.Errorf("%w: %w", errNoAnswer, errors.Join(err))
		case answer.Leader == answer.Planner:
			return answer, nil
		case best == nil || answer.State.LastNumber > best.State.LastNumber || answer.State.LastNumber == best.State.LastNumber && answer.State.Pending() == nil:
			best = answer
		}
		c.current++
	}
	if best != nil {
		return best, nil
	}
	return nil, lastErr
}

// Do lets the planner that leads do something.
func (c *Client) Do(ctx context.Context, ask tier.Ask) (*tier.Answer, error) {
	lastErr := errNoAnswer
	for range c.Planners {
		answer, err := c.query(ctx, c.Planners[c.current%len(c.Planners)], ask, RequestTimeout)
		if err == nil && answer.Leader == answer.Planner {
			return answer, nil
		}
		if lastErr = err; err == nil {
			lastErr = ErrNoLeader
		}
		c.current++
	}
	return nil, lastErr
}

// Propose asks for a change until it is in the log, under one nonce, so that asking twice makes one. An answer with an error tells that there
// is none.
func (c *Client) Propose(ctx context.Context, ask tier.Ask, wait time.Duration) (answer *tier.Answer, err error) {
	for deadline := time.Now().Add(wait); ; {
		answer, err = c.Do(ctx, ask)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return answer, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
