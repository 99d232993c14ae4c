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
	at       int
}

// RequestTimeout is how long a planner has for an answer.
const RequestTimeout = 2 * time.Second

// ErrNoLeader tells that nobody can take a proposal now.
var ErrNoLeader = errors.New("no planner leads now; try again")

// errNoAnswer tells that no planner could be asked.
var errNoAnswer = errors.New("no planner answers")

// one asks one planner.
func (c *Client) one(ctx context.Context, address string, ask tier.Ask, wait time.Duration) (*tier.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	b, err := tier.Append(nil, &tier.Frame{Ask: &ask})
	if err == nil {
		_, err = conn.Write(b)
	}
	if err != nil {
		return nil, err
	}
	f, err := tier.Read(bufio.NewReader(conn))
	if err == nil && f.Answer == nil {
		err = fmt.Errorf("%s answers with something else", address)
	}
	return f.Answer, err
}

// Status asks what holds. The planner that leads knows more than the others; it is asked if it is among those named and answers. The text of policy n comes with it.
func (c *Client) Status(ctx context.Context, n rollout.Number) (*tier.Answer, error) {
	var best *tier.Answer
	last := errNoAnswer
	for range c.Planners {
		a, err := c.one(ctx, c.Planners[c.at%len(c.Planners)], tier.Ask{Do: tier.DoStatus, Number: n}, RequestTimeout)
		switch {
		case err != nil || a.State == nil:
			last = fmt.Errorf("%w: %w", errNoAnswer, errors.Join(err))
		case a.Leader == a.Planner:
			return a, nil
		case best == nil || a.State.LastNumber > best.State.LastNumber || a.State.LastNumber == best.State.LastNumber && a.State.Pending() == nil:
			best = a
		}
		c.at++
	}
	if best != nil {
		return best, nil
	}
	return nil, last
}

// Do lets the planner that leads do something.
func (c *Client) Do(ctx context.Context, ask tier.Ask) (*tier.Answer, error) {
	last := errNoAnswer
	for range c.Planners {
		a, err := c.one(ctx, c.Planners[c.at%len(c.Planners)], ask, RequestTimeout)
		if err == nil && a.Leader == a.Planner {
			return a, nil
		}
		if last = err; err == nil {
			last = ErrNoLeader
		}
		c.at++
	}
	return nil, last
}

// Propose asks for a change until it is in the log, under one nonce, so that asking twice makes one. An answer with an error tells that there
// is none.
func (c *Client) Propose(ctx context.Context, ask tier.Ask, wait time.Duration) (a *tier.Answer, err error) {
	for end := time.Now().Add(wait); ; {
		a, err = c.Do(ctx, ask)
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return a, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
