package largefleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	// answerGrace is how long past the client's time an answer still counts, by the protocol's rules.
	answerGrace = 500 * time.Millisecond
	// shortest and longest are the times that clients wait; the longest class has more.
	shortestWait = 230 * time.Millisecond
	longestWait  = 450 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer in time")
	errClosed   = errors.New("the connection was closed without an answer")
)

// clients send requests on a schedule that waits for no answer, on connections that stay open.
type clients struct {
	address string
	classes []fleet.Class
	groups  int
	rng     *rand.Rand

	mu     sync.Mutex
	idle   []net.Conn
	result Result
}

func newClients(address string, classes []fleet.Class, groups int, rng *rand.Rand) *clients {
	return &clients{address: address, classes: classes, groups: groups, rng: rng}
}

// run sends requests for a time and waits until the last of them has ended.
func (c *clients) run(ctx context.Context, rate float64, length time.Duration) *Result {
	start := time.Now()
	var open sync.WaitGroup
	for n, at := 0, time.Duration(0); ctx.Err() == nil; n++ {
		at += time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		r := Lost{ID: fmt.Sprintf("%016x", c.rng.Uint64()), At: at, Group: c.rng.IntN(c.groups),
			Wait: shortestWait + rand.N(longestWait-shortestWait)}
		text := c.statement(&r)
		open.Add(1)
		go func() {
			defer open.Done()
			c.ask(r, text)
		}()
	}
	open.Wait()
	for _, conn := range c.idle {
		conn.Close()
	}
	return &c.result
}

// statement words a request.
func (c *clients) statement(r *Lost) string {
	class := c.classes[c.rng.IntN(len(c.classes))].Class
	key := ""
	if class.Read == logic.Write {
		key = r.ID
	}
	return load.StatementText(r.ID, c.rng.Uint64(), class, key, r.Group, 0, r.Wait)
}

// ask sends a request and notes how it ended.
func (c *clients) ask(r Lost, text string) {
	outcome, err := c.once(&r, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Outcomes[outcome]++
	if outcome == Unanswered {
		r.Why = err.Error()
		c.result.Lost = append(c.result.Lost, r)
	}
}

func (c *clients) once(r *Lost, text string) (Outcome, error) {
	conn, err := c.connection()
	if err != nil { // not taken by the proxy
		return Refused, err
	}
	conn.SetDeadline(time.Now().Add(r.Wait + answerGrace))
	if _, err := conn.Write(pg.AppendQuery(nil, text)); err != nil {
		conn.Close()
		return Refused, err // it was not taken whole
	}
	outcome, err := readAnswer(conn)
	if err != nil {
		conn.Close()
		return Unanswered, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return outcome, nil
}

// connection takes an idle connection, or opens one.
func (c *clients) connection() (net.Conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	_, err = conn.Write(pg.AppendStartup(nil, "client", "core"))
	return conn, err
}

// readAnswer reads messages up to ReadyForQuery behind an answer. The one behind the start of the connection is passed over.
func readAnswer(conn net.Conn) (outcome Outcome, err error) {
	var buf []byte
	var reply pg.Reply
	for chunk := make([]byte, 4096); ; {
		m, n, err := pg.Next(buf)
		if err == nil && n > 0 {
			err = reply.Add(m)
		}
		switch {
		case err != nil:
			return outcome, err
		case n == 0:
			got, err := conn.Read(chunk)
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return outcome, errNoAnswer
			} else if err != nil {
				return outcome, errClosed
			}
			buf = append(buf, chunk[:got]...)
			continue
		case reply.Ready() && (reply.Complete() || reply.ErrorCode != ""):
			return outcomeOf(&reply), nil
		case reply.Ready():
			reply.Reset()
		}
		buf = buf[n:]
	}
}

func outcomeOf(reply *pg.Reply) Outcome {
	switch reply.ErrorCode {
	case "":
		return Served
	case pg.CodeTooManyConnections, pg.CodeCannotConnectNow:
		return Refused
	}
	return Failed
}
