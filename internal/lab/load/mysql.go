package load

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// clientCaps is what the load's MySQL clients ask for.
const clientCaps = mysql.ClientLongPassword | mysql.ClientProtocol41 | mysql.ClientSecureConnection | mysql.ClientPluginAuth |
	mysql.ClientConnectWithDB | mysql.ClientDeprecateEOF

// mysqlConn is a MySQL client's connection, opened at need and kept, with the statements that it has prepared.
type mysqlConn struct {
	address  string
	prepared bool // by prepared statements; otherwise by texts
	c        net.Conn
	used     bool
	buf      []byte
	known    map[string]uint32
}

func (c *mysqlConn) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
	c.buf, c.known = nil, nil
}

func (c *mysqlConn) next() (body []byte, seq byte, err error) {
	for {
		body, seq, n, err := mysql.Next(c.buf, mysql.MaxPacket)
		if err != nil {
			return nil, 0, err
		}
		if n > 0 {
			body = bytes.Clone(body)
			c.buf = append(c.buf[:0], c.buf[n:]...)
			return body, seq, nil
		}
		chunk := [4096]byte{}
		k, err := c.c.Read(chunk[:])
		if err != nil {
			return nil, 0, err
		}
		c.buf = append(c.buf, chunk[:k]...)
	}
}

func (c *mysqlConn) open(until time.Time) error {
	var err error
	if c.c, err = net.DialTimeout("tcp", c.address, time.Until(until)); err != nil {
		c.c = nil
		return err
	}
	c.used, c.known = false, map[string]uint32{}
	c.c.SetDeadline(until.Add(slack))
	body, seq, err := c.next()
	if err != nil {
		return err
	}
	if body[0] == 0xff {
		return errRefused
	}
	if _, err := mysql.ParseHandshake(body); err != nil {
		return err
	}
	if _, err := c.c.Write(mysql.AppendLogin(nil, seq+1, mysql.Login{Caps: clientCaps, User: "client", Database: "core", Plugin: mysql.CachingSHA2})); err != nil {
		return err
	}
	if body, _, err = c.next(); err != nil {
		return err
	}
	if body[0] != 0 {
		return errRefused
	}
	return nil
}

// ask sends a request and waits for its answer until the client's time is over. As with PostgreSQL, a connection that
// was closed between two requests is not the request's fault.
func (c *mysqlConn) ask(r *request, class *Class, after int64, until time.Time) answer {
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

func (c *mysqlConn) once(r *request, class *Class, after int64, until time.Time) (a answer, crossed bool) {
	id := strconv.FormatUint(ids.Add(1), 16) + "-" + strconv.FormatUint(r.sess.id, 16)
	a.asked = time.Now()
	c.c.SetDeadline(until.Add(slack))
	fresh := !c.used
	c.used = true
	lost := func(err error, begun bool) (answer, bool) {
		timeout := false
		if e, ok := err.(net.Error); ok {
			timeout = e.Timeout()
		}
		c.close()
		return answer{asked: a.asked}, !fresh && !begun && !timeout
	}
	key := fmt.Sprintf("%016x", r.sess.id)
	var out []byte
	if c.prepared {
		text, values := preparedText(r, class), []string{key, id, strconv.FormatInt(max(until.Sub(a.asked).Milliseconds(), 0), 10), strconv.FormatInt(after, 10)}
		if class.Read == logic.Write {
			values[3] = r.key
		}
		statement, ok := c.known[text]
		if !ok {
			p, err := c.command(mysql.AppendCommand(nil, mysql.ComStmtPrepare, text), true)
			if err != nil {
				return lost(err, false)
			}
			if p.Err != nil {
				return wordOf(p.Err, a), false
			}
			statement = p.Prepared.Statement
			c.known[text] = statement
		}
		x := mysql.Execute{Nulls: []byte{0}}
		for _, v := range values {
			x.Types = append(x.Types, mysql.TypeVarString, 0)
			x.Rest = append(append(x.Rest, byte(len(v))), v...)
		}
		out = mysql.AppendExecute(nil, statement, len(values), &x, clientCaps)
	} else {
		out = mysql.AppendCommand(nil, mysql.ComQuery, (&conn{}).statement(id, r, class, after, until.Sub(a.asked)))
	}
	p, err := c.command(out, false)
	if err != nil {
		return lost(err, len(c.buf) > 0)
	}
	if p.Err != nil {
		return wordOf(p.Err, a), false
	}
	a.kind = failed
	if len(p.Rows) == 1 {
		row := p.Rows[0]
		if c.prepared && len(row) > 2 {
			row = row[2:] // the head and the NULL bitmap
		}
		value, at, _ := strings.Cut(string(row[1:]), "@")
		a.kind, a.ours = served, value == id
		a.at, _ = strconv.ParseInt(at, 10, 64)
	}
	return a, false
}

// preparedText is a class's statement: what differs from one request to the next is a parameter.
func preparedText(r *request, class *Class) string {
	last := "after"
	verb := "SELECT val FROM state WHERE uid = ? AND ? != ? AND ? != ''"
	if class.Read == logic.Write {
		last, verb = "k", "INSERT INTO state (uid, id, d, k) VALUES (?, ?, ?, ?)"
	}
	return fmt.Sprintf("%s /* session=?1,id=?2,d=?3,%s=?4,c=%s,cluster=%d */", verb, last, class.Name, r.group)
}

func wordOf(e *mysql.ServerError, a answer) answer {
	a.kind = failed
	if e.Number == mysql.ErrTooManyConnections {
		a.kind = refused
		if _, behind, ok := strings.Cut(e.Text, "again after "); ok {
			ms, _ := strconv.Atoi(strings.TrimSuffix(behind, " ms"))
			a.hint = time.Duration(ms) * time.Millisecond
		}
	}
	return a
}

// command writes a command and reads its whole answer.
func (c *mysqlConn) command(out []byte, prepare bool) (*mysql.Reply, error) {
	if _, err := c.c.Write(out); err != nil {
		return nil, err
	}
	var r mysql.Reply
	for r.Expect(clientCaps, prepare); !r.Whole(); {
		body, seq, err := c.next()
		if err != nil {
			return nil, err
		}
		if err := r.Add(body, seq); err != nil {
			return nil, err
		}
	}
	return &r, nil
}
