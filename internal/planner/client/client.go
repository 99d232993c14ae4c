// Package client sends operators' requests to planners.
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

// Client sends operators' requests to planners.
type Client struct {
	Planners []string // addresses
	current  int
}

// RequestTimeout bounds the time in which a planner has to answer a request.
const RequestTimeout = 2 * time.Second

// ErrNoLeader is returned if no planner can accept a proposal now.
var ErrNoLeader = errors.New("no planner leads now; try again")

// errNoAnswer is returned if no planner could be reached.
var errNoAnswer = errors.New("no planner answers")

// query sends a request to one planner and returns its answer. It fails after the timeout.
func (c *Client) query(ctx context.Context, address string, operation tier.OperatorRequest, timeout time.Duration) (*tier.OperatorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	request, err := tier.Append(nil, &tier.Frame{Request: &operation})
	if err == nil {
		_, err = conn.Write(request)
	}
	if err != nil {
		return nil, err
	}
	response, err := tier.Read(bufio.NewReader(conn))
	if err == nil && response.Response == nil {
		err = fmt.Errorf("%s sent a frame that is not an answer", address)
	}
	return response.Response, err
}

// Status returns the tier's status with the text of the given policy. The leading planner's answer is preferred, since it knows more than
// the others; otherwise the most recent answer of the others is returned.
func (c *Client) Status(ctx context.Context, policy rollout.Number) (*tier.OperatorResponse, error) {
	var best *tier.OperatorResponse
	lastErr := errNoAnswer
	for range c.Planners {
		answer, err := c.query(ctx, c.Planners[c.current%len(c.Planners)], tier.OperatorRequest{Action: tier.ActionStatus, Number: policy}, RequestTimeout)
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

// Do sends a request to the leading planner. The error is ErrNoLeader if the last planner that was tried doesn't lead.
func (c *Client) Do(ctx context.Context, ask tier.OperatorRequest) (*tier.OperatorResponse, error) {
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

// Propose repeats a proposal for up to wait until a leader answers. The nonce of the request makes repetitions harmless. If the answer has an
// error, no change was created.
func (c *Client) Propose(ctx context.Context, ask tier.OperatorRequest, wait time.Duration) (answer *tier.OperatorResponse, err error) {
	for deadline := time.Now().Add(wait); ; {
		answer, err = c.Do(ctx, ask)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return answer, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
