package load

import (
	"bytes"
	"errors"
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

// socket is a client's connection, opened at need and kept.
type socket struct {
	address string
	dialer  func(until time.Time) (net.Conn, error) // nil = TCP to the address
	c       net.Conn
	used    bool
	buf     []byte
}

func (s *socket) up() bool { return s.c != nil }

func (s *socket) close() {
	if s.c != nil {
		s.c.Close()
		s.c = nil
	}
	s.buf = nil
}

func (s *socket) dial(until time.Time) error {
	var err error
	if s.dialer != nil {
		s.c, err = s.dialer(until)
	} else {
		s.c, err = net.DialTimeout("tcp", s.address, time.Until(until))
	}
	if err != nil {
		s.c = nil
		return err
	}
	s.used = false
	return s.c.SetDeadline(until.Add(slack))
}

// next gives the first message that a protocol's parser finds; it stays valid.
func next[T any](s *socket, parse func([]byte) (m T, n int, err error)) (T, error) {
	for {
		m, n, err := parse(s.buf)
		if err != nil || n > 0 {
			s.buf = s.buf[n:]
			return m, err
		}
		chunk := [4096]byte{}
		if n, err = s.c.Read(chunk[:]); err != nil {
			return m, err
		}
		s.buf = append(s.buf[:len(s.buf):len(s.buf)], chunk[:n]...)
	}
}

// lost says of a request whose connection has ended what became of it: crossed tells that the connection was closed before
// the request came there.
func (s *socket) lost(err error, fresh, begun bool) (crossed bool) {
	var timeout net.Error
	s.close()
	return !fresh && !begun && !(errors.As(err, &timeout) && timeout.Timeout())
}

// talker speaks a protocol over a socket.
type talker interface {
	up() bool
	close()
	open(until time.Time) error
	// once asks on a connection that is up. crossed tells that this was closed before the request came there.
	once(r *request, class *Class, after int64, until time.Time) (a answer, crossed bool)
}

// ask sends a request and waits for its answer until the client's time is over. A connection that the proxy closed
// between two requests is not the request's fault: it goes out once more on a new one.
func ask(c talker, r *request, class *Class, after int64, until time.Time) answer {
	for again := false; ; again = true {
		if !c.up() {
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

// conn speaks PostgreSQL.
type conn struct{ socket }

func (c *conn) open(until time.Time) error {
	if err := c.dial(until); err != nil {
		return err
	}
	if _, err := c.c.Write(pg.AppendStartup(nil, "client", "core")); err != nil {
		return err
	}
	for {
		m, err := next(&c.socket, pg.Next)
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

func (c *conn) once(r *request, class *Class, after int64, until time.Time) (a answer, crossed bool) {
	id := strconv.FormatUint(ids.Add(1), 16) + "-" + strconv.FormatUint(r.sess.id, 16)
	a.asked = time.Now()
	text := statement(id, r, class, after, until.Sub(a.asked))
	c.c.SetDeadline(until.Add(slack))
	fresh := !c.used
	c.used = true
	if _, err := c.c.Write(pg.AppendQuery(nil, text)); err != nil {
		c.close()
		return a, !fresh
	}
	begun := false
	for {
		m, err := next(&c.socket, pg.Next)
		if err != nil {
			crossed := c.lost(err, fresh, begun)
			if a.kind == refused || a.kind == failed { // a fatal error needs nothing behind it
				return a, false
			}
			return answer{asked: a.asked}, crossed
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
			if code == pg.CodeTooManyConnections || code == pg.CodeCannotConnectNow {
				a.kind = refused
			}
			hint, _ := strconv.Atoi(detail)
			a.hint = time.Duration(hint) * time.Millisecond
		case 'Z':
			return a, false
		}
	}
}

func statement(id string, r *request, class *Class, after int64, wait time.Duration) string {
	return StatementText(id, r.sess.id, class.Class, r.key, r.group, after, wait)
}

// StatementText words a statement with its comment: the request's id, the row that it asks for, the key of a write, and the Unix
// milliseconds of its session's last commit (0 = none).
func StatementText(id string, row uint64, class logic.Class, key string, group int, after int64, wait time.Duration) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%d", id, class.Name, max(wait.Milliseconds(), 0))
	verb := "SELECT val FROM state WHERE uid = '%016x'"
	if class.Read == logic.Write {
		verb = `INSERT INTO state (uid, val) VALUES ('%016x', '\x00') RETURNING val`
		comment += ",k=" + key
	}
	comment += ",cluster=" + strconv.Itoa(group)
	if after > 0 {
		comment += ",after=" + strconv.FormatInt(after, 10)
	}
	return fmt.Sprintf(verb, row) + " /* " + comment + " */"
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
