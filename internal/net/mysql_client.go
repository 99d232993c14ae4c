package net

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/state/prepared"
	"havenproxy/internal/wire/mysql"
	"havenproxy/internal/wire/routing"
)

const (
	// One client's statements: their texts stay here for as long as it keeps them.
	maxStatements = 1024
	// What a client may have sent of values in pieces, all its statements together.
	maxLongData = 256 << 10
	// What one client's statements may take, and those of all clients. Of a text that many have prepared there is one copy,
	// but it is counted with each.
	maxTexts    = 1 << 20
	maxAllTexts = 8 << 20
	// What databases said of statements is kept for so many texts, in so many bytes, and so long.
	keptShapes = 1024
	shapeRoom  = 1 << 20
	shapeKeep  = time.Minute
)

var (
	errNotYourTurn   = errors.New("packet out of order")
	errDenied        = errors.New("access denied")
	errNoHints       = errors.New("a statement needs a routing comment with its class (c=...) and its group (cluster=...)")
	errFixedGroup    = errors.New("a prepared statement's class and group must stand in its comment")
	errPacketsTooBig = mysql.ErrTooLarge
)

// mysqlStatement is a statement that a client has prepared: a text with what it says of itself.
type mysqlStatement struct {
	text   string
	hints  routing.Hints
	params int
	types  []byte // of its parameters, as last told
	long   map[int][]byte
	over   bool // more came in pieces than may
}

// mysqlSpeaker speaks MySQL with one client.
type mysqlSpeaker struct {
	front      *mysqlFront
	phase      loginPhase
	caps       uint32
	scramble   []byte
	user       string
	changing   bool // by COM_CHANGE_USER
	seq        byte // of the next packet to the client
	statements map[uint32]*mysqlStatement
	last       uint32
	share      prepared.Share
	preparing  *mysqlStatement // its PREPARE is out
	running    *mysqlStatement // its EXECUTE is out
}

func (m *mysqlSpeaker) pipelines() int { return 1 }

func (m *mysqlSpeaker) greet(c *client) {
	if c.full {
		c.s.front.Counters.ClientsRejected++
		c.leave(endTooMany, "too many clients")
		return
	}
	m.newScramble()
	m.front.last++
	c.write(mysql.AppendHandshake(nil, mysql.Handshake{Version: mysql.ServerVersion, ID: m.front.last, Scramble: m.scramble,
		Caps: mysql.ServerCaps, Plugin: mysql.CachingSHA2}))
	m.seq = 1
}

func (m *mysqlSpeaker) next(c *client, buf []byte) (int, error) {
	if !c.takesMore() || m.phase == loginChecking {
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
		m.forgetAll(c)
		m.ok(c)
	case mysql.ComChangeUser:
		l, err := mysql.ParseChangeUser(body, m.caps)
		if err != nil {
			return err
		}
		m.forgetAll(c)
		return m.changeUser(c, l.User)
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
		m.longData(c, body)
	case mysql.ComStmtClose, mysql.ComStmtReset:
		id, err := mysql.StatementOf(body)
		if err != nil {
			return err
		}
		m.drop(c, id, body[0] == mysql.ComStmtClose)
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
	if len(h.ParamRefs) > 0 {
		err = routing.ErrStatement
	}
	if err == nil || len(attributes) > 0 {
		err = attribute(&h, attributes)
	}
	if err != nil || h.Class == "" || !h.HasGroup {
		m.refuse(c, mysql.ErrFailed, errNoHints.Error())
		return
	}
	m.take(c, &h, &mysqlQuery{text: text, waitAt: h.TimeoutStart, waitEnd: h.TimeoutEnd, rows: asksRows(text)})
}

// asksRows tells that a text asks for rows for sure: then an OK is none of its answers. SELECT ... INTO has no rows, and
// what stands in a comment or a quoted text doesn't matter: when in doubt it doesn't ask.
func asksRows(text string) bool {
	text = strings.TrimLeft(text, " \t\r\n(")
	if len(text) < 7 || !strings.EqualFold(text[:6], "select") {
		return false
	}
	for i := 6; i+4 <= len(text); i++ {
		if text[i]|0x20 == 'i' && strings.EqualFold(text[i:i+4], "into") {
			return false
		}
	}
	return true
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
	wait := h.Timeout
	if !h.HasTimeout {
		wait = c.s.front.ClassLimit(h.Class)
	}
	err := c.take(&slot{c: c}, state.Request{Name: h.ID, Class: h.Class, Wait: wait, Session: h.Session, Group: h.Group, LastCommit: h.LastCommit,
		Retry: h.Retry, Command: cmd})
	if err != nil {
		m.refuse(c, mysql.ErrFailed, err.Error())
	}
	return err == nil
}

func (m *mysqlSpeaker) prepare(c *client, text string) {
	if err := m.share.CheckFits(text); err != nil {
		m.refuse(c, mysql.ErrTooManyStatements, err.Error())
		return
	}
	h, err := routing.Parse(text)
	if err != nil || h.Class == "" || !h.HasGroup {
		m.refuse(c, mysql.ErrFailed, errFixedGroup.Error())
		return
	}
	st := &mysqlStatement{text: text, hints: h}
	if shape, same, ok := m.front.shapes.Get(c.s.clock.Now(), h.Group, text); ok {
		st.text = same // one copy for all
		c.write(m.rebuilt(st, false, shape))
		return
	}
	// Preparing has no session and no key: whoever may run it may prepare it.
	m.preparing = st
	ask := routing.Hints{Class: h.Class, Group: h.Group, Timeout: h.Timeout, HasTimeout: h.HasTimeout}
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
	if st.over {
		m.dropLong(c, st)
		m.refuse(c, mysql.ErrPacketTooLarge, fmt.Sprintf("the values that came in pieces take more than there is room for (%d KiB a connection)", maxLongData>>10))
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
	cmd := &mysqlExecute{text: st.text, params: st.params, x: x, long: st.long, wait: -1}
	for _, r := range h.ParamRefs {
		if r.Name == "d" {
			cmd.wait = r.Param
		}
	}
	m.dropLong(c, st) // the request has them now
	if m.running = st; !m.take(c, &h, cmd) {
		m.running = nil
	}
	return nil
}

// longData gathers a value that comes in pieces. It has no answer; what is too much is told at the execution.
func (m *mysqlSpeaker) longData(c *client, body []byte) {
	d, err := mysql.ParseLongData(body)
	st := m.statements[d.Statement]
	if err != nil || st == nil || d.Param >= st.params {
		return // the execution's parameters won't fit
	}
	if st.over = st.over || c.extra+len(d.Data) > maxLongData || c.s.buffered+len(d.Data) > c.s.maxBuffered; st.over {
		m.dropLong(c, st)
		st.over = true
		return
	}
	if st.long == nil {
		st.long = map[int][]byte{}
	}
	st.long[d.Param] = append(append(make([]byte, 0, len(st.long[d.Param])+len(d.Data)), st.long[d.Param]...), d.Data...)
	c.extra += len(d.Data)
	c.account()
}

// dropLong forgets a statement's values in pieces.
func (m *mysqlSpeaker) dropLong(c *client, st *mysqlStatement) {
	for _, data := range st.long {
		c.extra -= len(data)
	}
	st.long, st.over = nil, false
	c.account()
}

// drop forgets a statement, or only its values in pieces.
func (m *mysqlSpeaker) drop(c *client, id uint32, whole bool) {
	st := m.statements[id]
	if st == nil {
		return
	}
	m.dropLong(c, st)
	if whole {
		delete(m.statements, id)
		m.share.Remove(st.text)
	}
}

func (m *mysqlSpeaker) forgetAll(c *client) {
	for id := range m.statements {
		m.drop(c, id, true)
	}
}

func (m *mysqlSpeaker) gone(c *client) { m.forgetAll(c) }

// ---- Answers ----

// served passes an answer on. It came in the form of connections to databases; a client that speaks another gets it in
// its own.
func (m *mysqlSpeaker) served(sl *slot, body []byte) []byte {
	st, binary := m.preparing, m.running != nil
	m.preparing, m.running = nil, nil
	if st == nil {
		if out, ok := mysql.Relay(nil, body, m.caps); ok {
			return out
		}
	} else {
		m.front.shapes.Put(sl.c.s.clock.Now(), st.hints.Group, st.text, body)
	}
	return m.rebuilt(st, binary, body)
}

// rebuilt writes an answer in the client's form; st is the statement that it tells of, nil for any other answer.
func (m *mysqlSpeaker) rebuilt(st *mysqlStatement, binary bool, body []byte) []byte {
	var r mysql.Reply
	if r.Expect(linkCaps, st != nil); binary {
		r.Binary()
	}
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
		m.share.Add(st.text)
		r.Prepared.Statement = m.last
	}
	return r.AppendTo(nil, m.seq, m.caps)
}

func (m *mysqlSpeaker) refused(_ *slot, comeBack time.Duration) []byte {
	m.preparing, m.running = nil, nil
	text := "no member can take this now"
	if comeBack > 0 { // otherwise there is no knowing
		text += fmt.Sprintf("; come again after %d ms", (comeBack+time.Millisecond-1)/time.Millisecond)
	}
	return mysql.AppendErr(nil, m.seq, mysql.ErrTooManyConnections, text)
}

func (m *mysqlSpeaker) failed(*slot) []byte {
	m.preparing, m.running = nil, nil
	return mysql.AppendErr(nil, m.seq, mysql.ErrFailed, "no member answered in time")
}

func (m *mysqlSpeaker) unfit(_ *slot, body []byte) []byte {
	if st := m.running; st != nil { // its table may be another now
		m.front.shapes.Remove(st.hints.Group, st.text)
	}
	m.preparing, m.running = nil, nil
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
	case why == endTooMany || why == endNoMemory || why == endTooOften:
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
