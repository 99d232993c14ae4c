package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// clientCaps is what the load's MySQL clients ask for.
const clientCaps = mysql.ClientLongPassword | mysql.ClientProtocol41 | mysql.ClientSecureConnection | mysql.ClientPluginAuth |
	mysql.ClientConnectWithDB | mysql.ClientDeprecateEOF

// mysqlConn speaks MySQL, with the statements that it has prepared.
type mysqlConn struct {
	socket
	prepared bool // by prepared statements; otherwise by texts
	known    map[string]uint32
}

type packet struct {
	body []byte
	seq  byte
}

func nextPacket(buf []byte) (p packet, n int, err error) {
	p.body, p.seq, n, err = mysql.Next(buf, mysql.MaxPacket)
	return p, n, err
}

func (c *mysqlConn) open(until time.Time) error {
	if err := c.dial(until); err != nil {
		return err
	}
	c.known = map[string]uint32{}
	p, err := next(&c.socket, nextPacket)
	if err != nil {
		return err
	}
	if len(p.body) > 0 && p.body[0] == 0xff {
		return errRefused
	}
	if _, err := mysql.ParseHandshake(p.body); err != nil {
		return err
	}
	if _, err := c.c.Write(mysql.AppendLogin(nil, p.seq+1, mysql.Login{Caps: clientCaps, User: "client", Database: "core", Plugin: mysql.CachingSHA2})); err != nil {
		return err
	}
	if p, err = next(&c.socket, nextPacket); err != nil {
		return err
	}
	if len(p.body) == 0 || p.body[0] != 0 {
		return errRefused
	}
	return nil
}

func (c *mysqlConn) once(r *request, class *Class, after int64, until time.Time) (a answer, crossed bool) {
	id := strconv.FormatUint(ids.Add(1), 16) + "-" + strconv.FormatUint(r.sess.id, 16)
	a.asked = time.Now()
	c.c.SetDeadline(until.Add(slack))
	fresh := !c.used
	c.used = true
	lost := func(err error, begun bool) (answer, bool) {
		return answer{asked: a.asked}, c.lost(err, fresh, begun)
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
		out = mysql.AppendCommand(nil, mysql.ComQuery, statement(id, r, class, after, until.Sub(a.asked)))
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
	r.Expect(clientCaps, prepare)
	if c.prepared {
		r.Binary()
	}
	for !r.Whole() {
		p, err := next(&c.socket, nextPacket)
		if err != nil {
			return nil, err
		}
		if err := r.Add(p.body, p.seq); err != nil {
			return nil, err
		}
	}
	return &r, nil
}
