package load

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

type kind uint8

const (
	silent kind = iota
	served
	refused
	failed
)

type answer struct {
	kind  kind
	ours  bool  // it names this request
	at    int64 // Unix milliseconds: how far the log was applied, or a write's commit
	hint  time.Duration
	asked time.Time
}

// conn is a client's connection, opened at need and kept.
type conn struct {
	address string
	c       net.Conn
	used    bool
	buf     []byte
}

func (c *conn) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
	c.buf = nil
}

func (c *conn) open(until time.Time) error {
	var err error
	if c.c, err = net.DialTimeout("tcp", c.address, time.Until(until)); err != nil {
		c.c = nil
		return err
	}
	c.used = false
	c.c.SetDeadline(until.Add(slack))
	if _, err := c.c.Write(pg.AppendStartup(nil, "client", "core")); err != nil {
		return err
	}
	for {
		m, err := c.next()
		switch {
		case err != nil:
			return err
		case m.Type == 'E':
			return errRefused
		case m.Type == 'Z':
			return nil
		}
	}
}

var errRefused = fmt.Errorf("turned away at the door")

var ids atomic.Uint64

// ask sends a request and waits for its answer until the client's time is over. A connection that the proxy closed
// between two requests is not the request's fault: it goes out once more on a new one.
func (c *conn) ask(r *request, class *Class, after int64, until time.Time) answer {
	for again := false; ; again = true {
		if c.c == nil {
			if err := c.open(until); err != nil {
				c.close()
				if err == errRefused {
					return answer{kind: refused}
				}
				return answer{}
			}
		}
		a, crossed := c.once(r, class, after, until)
		if !crossed || again {
			return a
		}
	}
}

func (c *conn) once(r *request, class *Class, after int64, until time.Time) (a answer, crossed bool) {
	id := strconv.FormatUint(ids.Add(1), 16) + "-" + strconv.FormatUint(r.sess.id, 16)
	a.asked = time.Now()
	text := c.statement(id, r, class, after, until.Sub(a.asked))
	c.c.SetDeadline(until.Add(slack))
	fresh := !c.used
	c.used = true
	if _, err := c.c.Write(pg.AppendQuery(nil, text)); err != nil {
		c.close()
		return a, !fresh
	}
	begun := false
	for {
		m, err := c.next()
		if err != nil {
			timeout := false
			if e, ok := err.(net.Error); ok {
				timeout = e.Timeout()
			}
			c.close()
			if a.kind == refused || a.kind == failed { // a fatal error needs nothing behind it
				return a, false
			}
			return answer{asked: a.asked}, !fresh && !begun && !timeout
		}
		begun = true
		switch m.Type {
		case 'D':
			if len(m.Body) >= 6 {
				value, at, _ := strings.Cut(string(m.Body[6:]), "@")
				a.kind, a.ours = served, value == id
				a.at, _ = strconv.ParseInt(at, 10, 64)
			}
		case 'E':
			code, detail := field(m.Body, 'C'), field(m.Body, 'D')
			a.kind = failed
			if code == pg.CodeTooMany || code == pg.CodeNotNow {
				a.kind = refused
			}
			hint, _ := strconv.Atoi(detail)
			a.hint = time.Duration(hint) * time.Millisecond
		case 'Z':
			return a, false
		}
	}
}

func (c *conn) statement(id string, r *request, class *Class, after int64, wait time.Duration) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%d", id, class.Name, max(wait.Milliseconds(), 0))
	verb := "SELECT val FROM state WHERE uid = '%016x'"
	if class.Read == logic.Write {
		verb = `INSERT INTO state (uid, val) VALUES ('%016x', '\x00') RETURNING val`
		comment += ",k=" + r.key
	}
	comment += ",cluster=" + strconv.Itoa(r.group)
	if after > 0 {
		comment += ",after=" + strconv.FormatInt(after, 10)
	}
	return fmt.Sprintf(verb, r.sess.id) + " /* " + comment + " */"
}

// next reads a whole message; its body is valid until the next call.
func (c *conn) next() (pg.Message, error) {
	for {
		if m, n, err := pg.Next(c.buf); err != nil {
			return m, err
		} else if n > 0 {
			out := pg.Message{Type: m.Type, Body: bytes.Clone(m.Body)}
			c.buf = append(c.buf[:0], c.buf[n:]...)
			return out, nil
		}
		chunk := [4096]byte{}
		n, err := c.c.Read(chunk[:])
		if err != nil {
			return pg.Message{}, err
		}
		c.buf = append(c.buf, chunk[:n]...)
	}
}

// field gives a field of an ErrorResponse.
func field(body []byte, name byte) string {
	for len(body) > 1 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == name {
			return string(value)
		}
		body = rest
	}
	return ""
}
