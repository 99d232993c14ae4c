package net

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/mysql"
	"havenproxy/internal/wire/routing"
)

const (
	// One client's statements: their texts stay here for as long as it keeps them.
	maxStatements = 1024
	// What a client may have sent of values in pieces, all its statements together.
	maxLongData = 256 << 10
)

var (
	errNotYourTurn   = errors.New("packet out of order")
	errDenied        = errors.New("access denied")
	errNoHints       = errors.New("a statement needs a routing comment with its class (c=...) and its group (cluster=...)")
	errFixedGroup    = errors.New("a prepared statement's class and group must stand in its comment")
	errPacketsTooBig = mysql.ErrTooLarge
)

// MySQLOptions is what MySQL's front needs.
type MySQLOptions struct {
	Users map[string]mysql.Secret // empty = anyone, without a password
	Key   *mysql.Key              // for full exchanges; nil = there are none
}

// ListenMySQL opens an address for MySQL's clients.
func (s *Server) ListenMySQL(address string, o *MySQLOptions) error {
	front := &mysqlFront{options: o, cached: map[string]mysql.Secret{}}
	return s.listen(address, func() speaker { return &mysqlSpeaker{front: front, statements: map[uint32]*mysqlStatement{}} })
}

// MySQLAddress tells where MySQL's clients are listened for; empty = nowhere.
func (s *Server) MySQLAddress() string {
	if len(s.listeners) < 2 {
		return ""
	}
	return s.listeners[len(s.listeners)-1].Addr().String()
}

// mysqlFront is what all MySQL clients share.
type mysqlFront struct {
	options *MySQLOptions
	cached  map[string]mysql.Secret // of users who went through a full exchange
	last    uint32
}

type loginPhase uint8

const (
	loginFirst loginPhase = iota
	loginSwitched
	loginKey // it may ask for the key
	loginSealed
	loginDone
)

// mysqlStatement is a statement that a client has prepared: a text with what it says of itself.
type mysqlStatement struct {
	text   string
	hints  routing.Hints
	params int
	types  []byte // of its parameters, as last told
	long   map[int][]byte
}

// mysqlSpeaker speaks MySQL with one client.
type mysqlSpeaker struct {
	front      *mysqlFront
	phase      loginPhase
	caps       uint32
	scramble   []byte
	user       string
	seq        byte // of the next packet to the client
	statements map[uint32]*mysqlStatement
	last       uint32
	longBytes  int
	preparing  *mysqlStatement // its PREPARE is out
}

func (m *mysqlSpeaker) pipelines() int { return 1 }

func (m *mysqlSpeaker) greet(c *client) {
	if c.full {
		c.s.front.Counters.TurnedAway++
		c.leave(endTooMany, "too many clients")
		return
	}
	m.scramble = make([]byte, mysql.ScrambleLen)
	rand.Read(m.scramble)
	for i := range m.scramble { // clients take it for a text
		m.scramble[i] = m.scramble[i]%94 + 33
	}
	m.front.last++
	c.write(mysql.AppendHandshake(nil, mysql.Handshake{Version: mysql.ServerVersion, ID: m.front.last, Scramble: m.scramble,
		Caps: mysql.ServerCaps, Plugin: mysql.CachingSHA2}))
	m.seq = 1
}

func (m *mysqlSpeaker) next(c *client, buf []byte) (int, error) {
	if !c.takesMore() {
		return 0, nil
	}
	body, seq, n, err := mysql.Next(buf, mysql.MaxPacket)
	if n == 0 || err != nil {
		if err != nil {
			m.seq = seq + 1
		}
		return 0, err
	}
	if m.phase != loginDone {
		if seq != m.seq {
			return n, errNotYourTurn
		}
		m.seq = seq + 1
		return n, m.login(c, body)
	}
	m.seq = seq + 1
	if seq != 0 {
		return n, errNotYourTurn
	}
	if len(body) == 0 {
		return n, mysql.ErrMalformed
	}
	return n, m.command(c, body)
}

// ---- Login ----

func (m *mysqlSpeaker) send(c *client, add func(dst []byte, seq byte) []byte) {
	out := add(nil, m.seq)
	c.write(out)
	m.seq++
}

func (m *mysqlSpeaker) login(c *client, body []byte) error {
	switch m.phase {
	case loginFirst:
		l, err := mysql.ParseLogin(body)
		if err != nil {
			return err
		}
		m.caps, m.user = l.Caps&mysql.ServerCaps, l.User
		return m.check(c, l.Plugin, l.Auth)
	case loginSwitched:
		secret := m.secret()
		return m.check(c, secret.Plugin(), body)
	case loginKey:
		if !mysql.AsksKey(body) {
			return errDenied // a password in clear, which nobody should send here
		}
		m.phase = loginSealed
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, m.front.options.Key.PEM()) })
		return nil
	default:
		password, err := m.front.options.Key.Open(body, m.scramble)
		if err != nil {
			return errDenied
		}
		secret := m.front.options.Users[m.user]
		fast, ok := secret.Full(password)
		if !ok {
			return errDenied
		}
		m.front.cached[m.user] = fast // no more than there are users
		m.welcome(c)
		return nil
	}
}

// secret is that of the user who logs in; an unknown one has one that nothing fits.
func (m *mysqlSpeaker) secret() mysql.Secret {
	if len(m.front.options.Users) == 0 {
		return mysql.Secret{}
	}
	if s, ok := m.front.cached[m.user]; ok {
		return s
	}
	if s, ok := m.front.options.Users[m.user]; ok {
		return s
	}
	return mysql.Secret{Kind: mysql.SecretSHA2}
}

func (m *mysqlSpeaker) check(c *client, plugin string, auth []byte) error {
	if len(m.front.options.Users) == 0 {
		m.welcome(c)
		return nil
	}
	secret := m.secret()
	if plugin != secret.Plugin() {
		if m.phase == loginSwitched {
			return errDenied
		}
		m.phase = loginSwitched
		m.send(c, func(dst []byte, seq byte) []byte {
			return mysql.AppendAuthSwitch(dst, seq, secret.Plugin(), m.scramble)
		})
		return nil
	}
	switch {
	case secret.Fast(m.scramble, auth):
		if secret.Kind == mysql.SecretSHA2 {
			m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, mysql.FastOK) })
		}
		m.welcome(c)
		return nil
	case secret.Kind == mysql.SecretSalted && m.front.options.Key != nil && len(auth) > 0:
		m.phase = loginKey
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, mysql.FullNeeded) })
		return nil
	}
	return errDenied
}

func (m *mysqlSpeaker) welcome(c *client) {
	m.phase = loginDone
	m.ok(c)
}

func (m *mysqlSpeaker) ok(c *client) {
	m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendOK(dst, seq, mysql.OK{}, m.caps, false) })
}

// ---- Commands ----

func (m *mysqlSpeaker) command(c *client, body []byte) error {
	c.spoke()
	switch body[0] {
	case mysql.ComQuit:
		c.hangUp()
	case mysql.ComPing, mysql.ComInitDB:
		m.ok(c)
	case mysql.ComSetOption:
		m.send(c, func(dst []byte, seq byte) []byte {
			return mysql.AppendOK(dst, seq, mysql.OK{}, m.caps, m.caps&mysql.ClientDeprecateEOF != 0)
		})
	case mysql.ComResetConnection:
		m.forgetAll()
		m.ok(c)
	case mysql.ComChangeUser:
		l, err := mysql.ParseChangeUser(body, m.caps)
		if err != nil {
			return err
		}
		m.forgetAll()
		m.user, m.phase = l.User, loginFirst
		return m.check(c, "", nil) // always by the method's own exchange, on the scramble in hand
	case mysql.ComQuery:
		text, attributes, err := mysql.ParseQuery(body, m.caps)
		if err != nil {
			return err
		}
		m.query(c, string(text), attributes)
	case mysql.ComStmtPrepare:
		m.prepare(c, string(body[1:]))
	case mysql.ComStmtExecute:
		return m.execute(c, body)
	case mysql.ComStmtLongData:
		m.longData(body)
	case mysql.ComStmtClose, mysql.ComStmtReset:
		id, err := mysql.StatementOf(body)
		if err != nil {
			return err
		}
		m.drop(id, body[0] == mysql.ComStmtClose)
		if body[0] == mysql.ComStmtReset {
			if m.statements[id] == nil {
				m.refuse(c, mysql.ErrUnknownStatement, "unknown statement")
				break
			}
			m.ok(c)
		}
	default:
		m.refuse(c, mysql.ErrUnknownCommand, fmt.Sprintf("command %#x is not known here", body[0]))
	}
	return nil
}

// refuse answers a command with an error that is its own fault; the connection goes on.
func (m *mysqlSpeaker) refuse(c *client, number uint16, text string) {
	m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendErr(dst, seq, number, text) })
}

// own answers what drivers ask of a server at their start, and what changes nothing here.
func (m *mysqlSpeaker) own(c *client, text string) bool {
	words := strings.Fields(strings.ToLower(strings.Trim(text, " \t\r\n;")))
	switch {
	case len(words) == 0:
		m.refuse(c, mysql.ErrParse, "an empty query")
	case words[0] == "set":
		m.ok(c)
	case len(words) == 2 && words[0] == "select" && strings.HasPrefix(words[1], "@@"):
		value := map[string]string{"@@max_allowed_packet": strconv.Itoa(mysql.MaxPacket), "@@version_comment": "havenproxy",
			"@@version": mysql.ServerVersion}[words[1]]
		r := mysql.Reply{IsResult: true, Columns: [][]byte{mysql.AppendColumn(nil, 0, words[1], mysql.TypeVarString)[4:]},
			Rows: [][]byte{mysql.AppendTextRow(nil, 0, value)[4:]}}
		c.write(r.AppendTo(nil, m.seq, m.caps))
	default:
		return false
	}
	return true
}

func (m *mysqlSpeaker) query(c *client, text string, attributes []mysql.Attribute) {
	h, err := routing.Parse(text)
	if err != nil && m.own(c, text) {
		return
	}
	if len(h.Refs) > 0 {
		err = routing.ErrStatement
	}
	if err == nil || len(attributes) > 0 {
		err = attribute(&h, attributes)
	}
	if err != nil || h.Class == "" || !h.Grouped {
		m.refuse(c, mysql.ErrFailed, errNoHints.Error())
		return
	}
	m.take(c, &h, &mysqlQuery{text: text, waitAt: h.WaitAt, waitEnd: h.WaitEnd})
}

// attribute takes the words that came beside a statement.
func attribute(h *routing.Hints, list []mysql.Attribute) error {
	for _, a := range list {
		if v, ok := a.Text(); ok {
			if err := h.Set(a.Name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// take gives a request to the front. What it doesn't say has a default: a name of its own, the class's limit, no session.
func (m *mysqlSpeaker) take(c *client, h *routing.Hints, cmd state.Command) bool {
	wait := h.Wait
	if !h.Waits {
		wait = c.s.front.LimitOf(h.Class)
	}
	err := c.take(&slot{c: c}, state.Request{Name: h.ID, Class: h.Class, Wait: wait, Session: h.Session, Group: h.Group, After: h.After,
		Retry: h.Retry, Command: cmd})
	if err != nil {
		m.refuse(c, mysql.ErrFailed, err.Error())
	}
	return err == nil
}

func (m *mysqlSpeaker) prepare(c *client, text string) {
	if len(m.statements) >= maxStatements {
		m.refuse(c, mysql.ErrTooManyStatements, fmt.Sprintf("%d statements are prepared on this connection, which is all that it may", len(m.statements)))
		return
	}
	h, err := routing.Parse(text)
	if err != nil || h.Class == "" || !h.Grouped {
		m.refuse(c, mysql.ErrFailed, errFixedGroup.Error())
		return
	}
	// Preparing has no session and no key: whoever may run it may prepare it.
	m.preparing = &mysqlStatement{text: text, hints: h}
	ask := routing.Hints{Class: h.Class, Group: h.Group, Wait: h.Wait, Waits: h.Waits}
	if !m.take(c, &ask, &mysqlPrepare{text}) {
		m.preparing = nil
	}
}

func (m *mysqlSpeaker) execute(c *client, body []byte) error {
	id, err := mysql.StatementOf(body)
	if err != nil {
		return err
	}
	st := m.statements[id]
	if st == nil {
		m.refuse(c, mysql.ErrUnknownStatement, "unknown statement")
		return nil
	}
	x, err := mysql.ParseExecute(bytes.Clone(body), st.params, st.types, m.caps, func(i int) bool { return st.long[i] != nil })
	if err != nil {
		m.refuse(c, mysql.ErrMalformedPacket, "parameters that don't fit the statement")
		return nil
	}
	if x.Anew {
		st.types = x.Types
	}
	h := st.hints
	err = h.Resolve(func(i int) (string, bool) {
		if i < 0 || i >= len(x.Values) {
			return "", false
		}
		if data := st.long[i]; data != nil {
			return string(data), true
		}
		return x.Values[i].Text()
	})
	if err == nil {
		err = attribute(&h, x.Attributes)
	}
	if err != nil {
		m.refuse(c, mysql.ErrWrongArguments, "a parameter that the statement's comment names has no value that fits")
		return nil
	}
	cmd := &mysqlExecute{text: st.text, params: st.params, x: x, long: st.long}
	for _, data := range st.long { // the request has them now
		m.longBytes -= len(data)
	}
	st.long = nil
	m.take(c, &h, cmd)
	return nil
}

// longData gathers a value that comes in pieces. It has no answer; what is too much is told at the execution, whose
// parameters then don't fit.
func (m *mysqlSpeaker) longData(body []byte) {
	d, err := mysql.ParseLongData(body)
	st := m.statements[d.Statement]
	if err != nil || st == nil || d.Param >= st.params || m.longBytes+len(d.Data) > maxLongData {
		return
	}
	if st.long == nil {
		st.long = map[int][]byte{}
	}
	st.long[d.Param] = append(append(make([]byte, 0, len(st.long[d.Param])+len(d.Data)), st.long[d.Param]...), d.Data...)
	m.longBytes += len(d.Data)
}

// drop forgets a statement, or only its values in pieces.
func (m *mysqlSpeaker) drop(id uint32, whole bool) {
	st := m.statements[id]
	if st == nil {
		return
	}
	for _, data := range st.long {
		m.longBytes -= len(data)
	}
	st.long = nil
	if whole {
		delete(m.statements, id)
	}
}

func (m *mysqlSpeaker) forgetAll() {
	m.statements, m.longBytes = map[uint32]*mysqlStatement{}, 0
}

// ---- Answers ----

// served passes an answer on. It came in the form of connections to databases; a client that speaks another gets it in
// its own.
func (m *mysqlSpeaker) served(_ *slot, body []byte) []byte {
	st := m.preparing
	m.preparing = nil
	var r mysql.Reply
	r.Expect(linkCaps, st != nil)
	for len(body) > 0 {
		payload, seq, n, err := mysql.Next(body, mysql.MaxPacket)
		if n == 0 || err != nil || r.Add(payload, seq) != nil {
			return mysql.AppendErr(nil, m.seq, mysql.ErrFailed, "an answer that can't be passed on")
		}
		body = body[n:]
	}
	if st != nil {
		m.last++
		st.params = r.Prepared.Params
		m.statements[m.last] = st
		r.Prepared.Statement = m.last
	}
	return r.AppendTo(nil, m.seq, m.caps)
}

func (m *mysqlSpeaker) refused(_ *slot, comeBack time.Duration) []byte {
	m.preparing = nil
	text := "no member can take this now"
	if comeBack > 0 {
		text += fmt.Sprintf("; come again after %d ms", (comeBack+time.Millisecond-1)/time.Millisecond)
	}
	return mysql.AppendErr(nil, m.seq, mysql.ErrTooManyConnections, text)
}

func (m *mysqlSpeaker) failed(*slot) []byte {
	m.preparing = nil
	return mysql.AppendErr(nil, m.seq, mysql.ErrFailed, "no member answered in time")
}

func (m *mysqlSpeaker) unfit(_ *slot, body []byte) []byte {
	m.preparing = nil
	if payload, _, n, err := mysql.Next(body, mysql.MaxPacket); n > 0 && err == nil {
		if e, err := mysql.ParseErr(payload); err == nil {
			return mysql.AppendErr(nil, m.seq, e.Number, e.Text)
		}
	}
	return mysql.AppendErr(nil, m.seq, mysql.ErrFailed, "the group's databases don't take this")
}

func (m *mysqlSpeaker) fatal(why end, text string) []byte {
	number := uint16(mysql.ErrMalformedPacket)
	switch {
	case why == endTooMany || why == endNoMemory:
		number = mysql.ErrTooManyConnections
	case text == errDenied.Error():
		number = mysql.ErrAccessDenied
	case text == errNotYourTurn.Error():
		number = mysql.ErrOutOfOrder
	case text == errPacketsTooBig.Error():
		number = mysql.ErrPacketTooLarge
	case m.phase != loginDone:
		number = mysql.ErrHandshake
	}
	return mysql.AppendErr(nil, m.seq, number, text)
}

// mysqlUser is the user by which databases are entered.
func (d *Databases) mysqlUser() string {
	if d.MySQLUser != "" {
		return d.MySQLUser
	}
	return databaseUser
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
