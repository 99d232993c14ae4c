package mysql

import (
	"bytes"
	"crypto/rand"
	"net"
	"strings"
	"testing"
)

// server speaks this package's half of the protocol to a client that nobody here wrote: it keeps statements, answers
// texts and executions with one row that names what it got.
type server struct {
	t     *testing.T
	ln    net.Listener
	users map[string]Secret
	key   *Key
	caps  uint32
}

func newServer(t *testing.T, users map[string]string) *server {
	t.Helper()
	s := &server{t: t, users: map[string]Secret{}, caps: ServerCaps}
	for name, text := range users {
		secret, err := ParseSecret(text)
		if err != nil {
			t.Fatal(err)
		}
		s.users[name] = secret
	}
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.ln.Close() })
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				(&conn{s: s, c: c}).serve()
			}()
		}
	}()
	return s
}

type conn struct {
	s    *server
	c    net.Conn
	buf  []byte
	caps uint32
}

func (c *conn) next() (body []byte, seq byte, ok bool) {
	for {
		body, seq, n, err := Next(c.buf, MaxPacket)
		if err == ErrTooLarge {
			c.c.Write(AppendErr(nil, seq+1, ErrPacketTooLarge, "packet too large"))
		}
		if err != nil {
			return nil, 0, false
		}
		if n > 0 {
			body = bytes.Clone(body)
			c.buf = append(c.buf[:0], c.buf[n:]...)
			return body, seq, true
		}
		chunk := make([]byte, 4096)
		k, err := c.c.Read(chunk)
		if err != nil {
			return nil, 0, false
		}
		c.buf = append(c.buf, chunk[:k]...)
	}
}

func (c *conn) login() bool {
	scramble := make([]byte, ScrambleLen)
	rand.Read(scramble)
	for i := range scramble {
		scramble[i] = scramble[i]%127 + 1 // no NUL in it
	}
	c.c.Write(AppendHandshake(nil, Handshake{Version: ServerVersion, ID: 7, Scramble: scramble, Caps: c.s.caps, Plugin: CachingSHA2}))
	body, seq, ok := c.next()
	if !ok {
		return false
	}
	l, err := ParseLogin(body)
	secret, known := c.s.users[l.User]
	if err != nil || !known {
		c.c.Write(AppendErr(nil, seq+1, ErrAccessDenied, "access denied"))
		return false
	}
	c.caps = l.Caps & c.s.caps
	if l.Plugin != secret.Plugin() {
		c.c.Write(AppendAuthSwitch(nil, seq+1, secret.Plugin(), scramble))
		if l.Auth, seq, ok = c.next(); !ok {
			return false
		}
	}
	if secret.Fast(scramble, l.Auth) {
		if secret.Kind == SecretSHA2 {
			seq++
			c.c.Write(AppendAuthMore(nil, seq, FastOK))
		}
		c.c.Write(AppendOK(nil, seq+1, OK{}, c.caps, false))
		return true
	}
	if secret.Kind == SecretSalted {
		c.c.Write(AppendAuthMore(nil, seq+1, FullNeeded))
		if body, seq, ok = c.next(); !ok || !AsksKey(body) {
			return false
		}
		c.c.Write(AppendAuthMore(nil, seq+1, c.s.key.PEM()))
		if body, seq, ok = c.next(); !ok {
			return false
		}
		if password, err := c.s.key.Open(body, scramble); err == nil {
			if _, ok := secret.Full(password); ok {
				c.c.Write(AppendOK(nil, seq+1, OK{}, c.caps, false))
				return true
			}
		}
	}
	c.c.Write(AppendErr(nil, seq+1, ErrAccessDenied, "access denied"))
	return false
}

func (c *conn) serve() {
	if !c.login() {
		return
	}
	type statement struct {
		text   string
		params int
		types  []byte
		long   map[int][]byte
	}
	statements := map[uint32]*statement{}
	last := uint32(0)
	row := func(binary bool, value string) {
		r := Reply{IsResult: true, Columns: [][]byte{AppendColumn(nil, 0, "val", TypeVarString)[headLen:]}}
		if binary {
			r.Rows = [][]byte{AppendBinaryRow(nil, 0, value)[headLen:]}
		} else {
			r.Rows = [][]byte{AppendTextRow(nil, 0, value)[headLen:]}
		}
		c.c.Write(r.AppendTo(nil, 1, c.caps))
	}
	for {
		body, seq, ok := c.next()
		if !ok || seq != 0 || len(body) == 0 {
			return
		}
		switch body[0] {
		case ComQuit:
			return
		case ComPing, ComInitDB, ComResetConnection:
			c.c.Write(AppendOK(nil, 1, OK{}, c.caps, false, VarRole, "primary"))
		case ComQuery:
			text, _, err := ParseQuery(body, c.caps)
			if err != nil {
				return
			}
			if strings.HasPrefix(string(text), "BAD") {
				c.c.Write(AppendErr(nil, 1, ErrParse, "no such statement"))
				continue
			}
			if !strings.HasPrefix(string(text), "SELECT") {
				c.c.Write(AppendOK(nil, 1, OK{Affected: 1}, c.caps, false))
				continue
			}
			row(false, string(text))
		case ComStmtPrepare:
			last++
			st := &statement{text: string(body[1:]), params: bytes.Count(body, []byte("?")), long: map[int][]byte{}}
			statements[last] = st
			var params [][]byte
			for range st.params {
				params = append(params, AppendColumn(nil, 0, "?", TypeVarString)[headLen:])
			}
			columns := [][]byte{AppendColumn(nil, 0, "val", TypeVarString)[headLen:]}
			c.c.Write(AppendPrepared(nil, 1, Prepared{Statement: last, Columns: 1, Params: st.params}, params, columns, c.caps))
		case ComStmtLongData:
			d, err := ParseLongData(body)
			if err != nil || statements[d.Statement] == nil {
				return
			}
			st := statements[d.Statement]
			st.long[d.Param] = append(st.long[d.Param], d.Data...)
		case ComStmtExecute:
			id, _ := StatementOf(body)
			st := statements[id]
			if st == nil {
				c.c.Write(AppendErr(nil, 1, ErrUnknownStatement, "unknown statement"))
				continue
			}
			x, err := ParseExecute(body, st.params, st.types, c.caps, func(i int) bool { return st.long[i] != nil })
			if err != nil {
				c.c.Write(AppendErr(nil, 1, ErrMalformedPacket, err.Error()))
				continue
			}
			st.types = x.Types
			// What it would write to a database reads the same there.
			again, _, _, _ := Next(AppendExecute(nil, 99, st.params, &x, c.caps), MaxPacket)
			y, err := ParseExecute(again, st.params, nil, c.caps, func(i int) bool { return st.long[i] != nil })
			if err != nil || y.Statement != 99 || len(y.Values) != len(x.Values) {
				c.s.t.Errorf("written again: %+v, %v", y, err)
			}
			out := st.text
			for i, v := range y.Values {
				text, ok := v.Text()
				switch {
				case st.long[i] != nil:
					text = string(st.long[i])
				case v.Null:
					text = "NULL"
				case !ok:
					text = "?"
				}
				out += "|" + text
			}
			st.long = map[int][]byte{}
			if len(out) > 200 {
				out = out[:200]
			}
			row(true, out)
		case ComStmtClose:
			id, _ := StatementOf(body)
			delete(statements, id)
		case ComStmtReset:
			c.c.Write(AppendOK(nil, 1, OK{}, c.caps, false))
		default:
			c.c.Write(AppendErr(nil, 1, ErrUnknownCommand, "unknown command"))
		}
	}
}
