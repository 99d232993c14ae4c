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
	// Statements that one client may keep prepared; their texts are held here.
	maxStatements = 1024
	// Bytes of parameter values sent in pieces, for all statements of one client.
	maxLongData = 256 << 10
	// Bytes that the statements of one client, and of all clients, may take. A text that many clients have prepared
	// is stored once but counted for each of them.
	maxStatementBytes      = 1 << 20
	maxTotalStatementBytes = 8 << 20
	// Limits of the cache of statement metadata from databases: texts, bytes and age.
	maxCachedMetadata = 1024
	maxMetadataBytes  = 1 << 20
	metadataLifetime  = time.Minute
)

var (
	errOutOfOrder           = errors.New("packet out of order")
	errAccessDenied         = errors.New("access denied")
	errMissingHints         = errors.New("a statement needs a routing comment with its class (c=...) and its group (cluster=...)")
	errParameterizedRouting = errors.New("a prepared statement's class and group must stand in its comment")
	errPacketTooLarge       = mysql.ErrTooLarge
)

// mysqlStatement is a statement that a client has prepared, with the routing hints in its text.
type mysqlStatement struct {
	text             string
	hints            routing.Hints
	params           int
	paramTypes       []byte // of its parameters, as last sent
	longData         map[int][]byte
	longDataExceeded bool // the values sent in pieces exceed the limit
}

// mysqlProtocol speaks MySQL with one client.
type mysqlProtocol struct {
	shared          *mysqlShared
	phase           loginPhase
	capabilities    uint32
	scramble        []byte
	user            string
	changingUser    bool // by COM_CHANGE_USER
	sequence        byte // of the next packet to the client
	statements      map[uint32]*mysqlStatement
	lastStatementID uint32
	budgetShare     prepared.Share
	preparing       *mysqlStatement // its PREPARE is pending
	running         *mysqlStatement // its EXECUTE is pending
}

func (m *mysqlProtocol) maxPending() int { return 1 }

func (m *mysqlProtocol) messageLength(_ *client, buf []byte) int { return mysql.PacketLength(buf) }

func (m *mysqlProtocol) readsInput() bool { return m.phase != loginChecking }

func (m *mysqlProtocol) greet(c *client) {
	if c.overLimit {
		c.server.engine.Counters.ClientsRejected++
		c.closeWithError(reasonTooManyClients, "too many clients")
		return
	}
	m.newScramble()
	m.shared.lastConnectionID++
	c.write(mysql.AppendHandshake(nil, mysql.Handshake{Version: mysql.ServerVersion, ID: m.shared.lastConnectionID, Scramble: m.scramble,
		Caps: mysql.ServerCaps, Plugin: mysql.CachingSHA2}))
	m.sequence = 1
}

func (m *mysqlProtocol) parseNext(c *client, buf []byte) (int, error) {
	if !c.acceptsQuery() || !m.readsInput() {
		return 0, nil
	}
	body, seq, n, err := mysql.Next(buf, mysql.MaxPacket)
	if n == 0 || err != nil {
		if err != nil {
			m.sequence = seq + 1
		}
		return 0, err
	}
	if m.phase != loginDone {
		if seq != m.sequence {
			return n, errOutOfOrder
		}
		m.sequence = seq + 1
		return n, m.login(c, body)
	}
	if !c.admitsMessage(n) {
		return 0, nil
	}
	m.sequence = seq + 1
	c.noteMessage(n)
	if seq != 0 {
		return n, errOutOfOrder
	}
	if len(body) == 0 {
		return n, mysql.ErrMalformed
	}
	return n, m.command(c, body)
}

// ---- Commands ----

func (m *mysqlProtocol) command(c *client, body []byte) error {
	c.noteQuery()
	switch body[0] {
	case mysql.ComQuit:
		c.terminate()
	case mysql.ComPing, mysql.ComInitDB:
		m.sendOK(c)
	case mysql.ComSetOption:
		m.send(c, func(dst []byte, seq byte) []byte {
			return mysql.AppendOK(dst, seq, mysql.OK{}, m.capabilities, m.capabilities&mysql.ClientDeprecateEOF != 0)
		})
	case mysql.ComResetConnection:
		m.dropAllStatements(c)
		m.sendOK(c)
	case mysql.ComChangeUser:
		l, err := mysql.ParseChangeUser(body, m.capabilities)
		if err != nil {
			return err
		}
		m.dropAllStatements(c)
		return m.changeUser(c, l.User)
	case mysql.ComQuery:
		text, attributes, err := mysql.ParseQuery(body, m.capabilities)
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
		m.dropStatement(c, id, body[0] == mysql.ComStmtClose)
		if body[0] == mysql.ComStmtReset {
			if m.statements[id] == nil {
				m.sendError(c, mysql.ErrUnknownStatement, "unknown statement")
				break
			}
			m.sendOK(c)
		}
	default:
		m.sendError(c, mysql.ErrUnknownCommand, fmt.Sprintf("command %#x is not known here", body[0]))
	}
	return nil
}

// sendError answers an invalid command with an error; the connection stays open.
func (m *mysqlProtocol) sendError(c *client, number uint16, text string) {
	m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendErr(dst, seq, number, text) })
}

// answerLocally answers statements that drivers send when they connect, and that have no effect here.
func (m *mysqlProtocol) answerLocally(c *client, text string) bool {
	words := strings.Fields(strings.ToLower(strings.Trim(text, " \t\r\n;")))
	switch {
	case len(words) == 0:
		m.sendError(c, mysql.ErrParse, "an empty query")
	case words[0] == "set":
		m.sendOK(c)
	case len(words) == 2 && words[0] == "select" && strings.HasPrefix(words[1], "@@"):
		value := map[string]string{"@@max_allowed_packet": strconv.Itoa(mysql.MaxPacket), "@@version_comment": "havenproxy",
			"@@version": mysql.ServerVersion}[words[1]]
		r := mysql.Reply{IsResult: true, Columns: [][]byte{mysql.AppendColumn(nil, 0, words[1], mysql.TypeVarString)[4:]},
			Rows: [][]byte{mysql.AppendTextRow(nil, 0, value)[4:]}}
		c.write(r.AppendTo(nil, m.sequence, m.capabilities))
	default:
		return false
	}
	return true
}

func (m *mysqlProtocol) query(c *client, text string, attributes []mysql.Attribute) {
	hints, err := routing.Parse(text)
	if err != nil && m.answerLocally(c, text) {
		return
	}
	if len(hints.ParamRefs) > 0 {
		err = routing.ErrStatement
	}
	if err == nil || len(attributes) > 0 {
		err = applyAttributes(&hints, attributes)
	}
	if err != nil || hints.Class == "" || !hints.HasGroup {
		m.sendError(c, mysql.ErrFailed, errMissingHints.Error())
		return
	}
	m.submit(c, &hints, &mysqlQuery{text: text, waitAt: hints.TimeoutStart, waitEnd: hints.TimeoutEnd, rows: returnsRows(text)})
}

// returnsRows reports that a text certainly asks for rows, so that an OK is not a valid answer. SELECT ... INTO
// returns no rows. Comments and quoted text are not parsed: in doubt the result is false.
func returnsRows(text string) bool {
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

// applyAttributes adds the routing hints that were sent as query attributes.
func applyAttributes(hints *routing.Hints, list []mysql.Attribute) error {
	for _, a := range list {
		if v, ok := a.Text(); ok {
			if err := hints.Set(a.Name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// submit hands a request to the engine. Hints that are missing have defaults: a generated name, the class's time
// limit, no session.
func (m *mysqlProtocol) submit(c *client, hints *routing.Hints, cmd state.Command) bool {
	wait := hints.Timeout
	if !hints.HasTimeout {
		wait = c.server.engine.ClassLimit(hints.Class)
	}
	err := c.submit(&pendingQuery{client: c}, state.Request{Name: hints.ID, Class: hints.Class, Wait: wait, Session: hints.Session, Group: hints.Group, LastCommit: hints.LastCommit,
		Retry: hints.Retry, Command: cmd})
	if err != nil {
		m.sendError(c, mysql.ErrFailed, err.Error())
	}
	return err == nil
}

func (m *mysqlProtocol) prepare(c *client, text string) {
	if err := m.budgetShare.CheckFits(text); err != nil {
		m.sendError(c, mysql.ErrTooManyStatements, err.Error())
		return
	}
	hints, err := routing.Parse(text)
	if err != nil || hints.Class == "" || !hints.HasGroup {
		m.sendError(c, mysql.ErrFailed, errParameterizedRouting.Error())
		return
	}
	statement := &mysqlStatement{text: text, hints: hints}
	if metadata, shared, ok := m.shared.metadata.Get(c.server.clock.Now(), hints.Group, text); ok {
		statement.text = shared // one copy for all clients
		c.write(m.reencode(statement, false, metadata))
		return
	}
	// PREPARE has no session and no key: whoever may run the statement may prepare it.
	m.preparing = statement
	prepareHints := routing.Hints{Class: hints.Class, Group: hints.Group, Timeout: hints.Timeout, HasTimeout: hints.HasTimeout}
	if !m.submit(c, &prepareHints, &mysqlPrepare{text}) {
		m.preparing = nil
	}
}

func (m *mysqlProtocol) execute(c *client, body []byte) error {
	id, err := mysql.StatementOf(body)
	if err != nil {
		return err
	}
	statement := m.statements[id]
	if statement == nil {
		m.sendError(c, mysql.ErrUnknownStatement, "unknown statement")
		return nil
	}
	if statement.longDataExceeded {
		m.dropLong(c, statement)
		m.sendError(c, mysql.ErrPacketTooLarge, fmt.Sprintf("the values that came in pieces take more than there is room for (%d KiB a connection)", maxLongData>>10))
		return nil
	}
	execution, err := mysql.ParseExecute(bytes.Clone(body), statement.params, statement.paramTypes, m.capabilities, func(i int) bool { return statement.longData[i] != nil })
	if err != nil {
		m.sendError(c, mysql.ErrMalformedPacket, "parameters that don't fit the statement")
		return nil
	}
	if execution.Anew {
		statement.paramTypes = execution.Types
	}
	hints := statement.hints
	err = hints.Resolve(func(i int) (string, bool) {
		if i < 0 || i >= len(execution.Values) {
			return "", false
		}
		if data := statement.longData[i]; data != nil {
			return string(data), true
		}
		return execution.Values[i].Text()
	})
	if err == nil {
		err = applyAttributes(&hints, execution.Attributes)
	}
	if err != nil {
		m.sendError(c, mysql.ErrWrongArguments, "a parameter that the statement's comment names has no value that fits")
		return nil
	}
	cmd := &mysqlExecute{text: statement.text, params: statement.params, execution: execution, longData: statement.longData, waitParam: -1}
	for _, r := range hints.ParamRefs {
		if r.Name == "d" {
			cmd.waitParam = r.Param
		}
	}
	m.dropLong(c, statement) // the request holds them now
	if m.running = statement; !m.submit(c, &hints, cmd) {
		m.running = nil
	}
	return nil
}

// longData collects a value that is sent in pieces. The command has no answer; an excess is reported by the
// execution.
func (m *mysqlProtocol) longData(c *client, body []byte) {
	chunk, err := mysql.ParseLongData(body)
	statement := m.statements[chunk.Statement]
	if err != nil || statement == nil || chunk.Param >= statement.params {
		return // the execution will fail because its parameters do not match
	}
	if statement.longDataExceeded = statement.longDataExceeded || c.statementBytes+len(chunk.Data) > maxLongData || !c.server.inputBudget.Admits(len(chunk.Data), 1); statement.longDataExceeded {
		m.dropLong(c, statement)
		statement.longDataExceeded = true
		return
	}
	if statement.longData == nil {
		statement.longData = map[int][]byte{}
	}
	statement.longData[chunk.Param] = append(append(make([]byte, 0, len(statement.longData[chunk.Param])+len(chunk.Data)), statement.longData[chunk.Param]...), chunk.Data...)
	c.statementBytes += len(chunk.Data)
	c.accountInput()
}

// dropLong discards a statement's values sent in pieces.
func (m *mysqlProtocol) dropLong(c *client, statement *mysqlStatement) {
	for _, data := range statement.longData {
		c.statementBytes -= len(data)
	}
	statement.longData, statement.longDataExceeded = nil, false
	c.accountInput()
}

// dropStatement discards a statement, or only its values sent in pieces.
func (m *mysqlProtocol) dropStatement(c *client, id uint32, closeStatement bool) {
	statement := m.statements[id]
	if statement == nil {
		return
	}
	m.dropLong(c, statement)
	if closeStatement {
		delete(m.statements, id)
		m.budgetShare.Remove(statement.text)
	}
}

func (m *mysqlProtocol) dropAllStatements(c *client) {
	for id := range m.statements {
		m.dropStatement(c, id, true)
	}
}

func (m *mysqlProtocol) connectionClosed(c *client) { m.dropAllStatements(c) }

// ---- Answers ----

// served converts an answer for the client. It arrives in the format of database connections; a client with
// other capabilities gets it re-encoded.
func (m *mysqlProtocol) served(q *pendingQuery, body []byte) []byte {
	statement, binary := m.preparing, m.running != nil
	m.preparing, m.running = nil, nil
	if statement == nil {
		if relayed, ok := mysql.Relay(nil, body, m.capabilities); ok {
			return relayed
		}
	} else {
		m.shared.metadata.Put(q.client.server.clock.Now(), statement.hints.Group, statement.text, body)
	}
	return m.reencode(statement, binary, body)
}

// reencode encodes an answer with the client's capabilities; statement is the one that a PREPARE answer describes,
// nil for any other answer.
func (m *mysqlProtocol) reencode(statement *mysqlStatement, binary bool, body []byte) []byte {
	var r mysql.Reply
	if r.Expect(databaseCapabilities, statement != nil); binary {
		r.Binary()
	}
	for len(body) > 0 {
		payload, seq, n, err := mysql.Next(body, mysql.MaxPacket)
		if n == 0 || err != nil || r.Add(payload, seq) != nil {
			return mysql.AppendErr(nil, m.sequence, mysql.ErrFailed, "an answer that can't be passed on")
		}
		body = body[n:]
	}
	if statement != nil {
		m.lastStatementID++
		statement.params = r.Prepared.Params
		m.statements[m.lastStatementID] = statement
		m.budgetShare.Add(statement.text)
		r.Prepared.Statement = m.lastStatementID
	}
	return r.AppendTo(nil, m.sequence, m.capabilities)
}

func (m *mysqlProtocol) refused(_ *pendingQuery, retryAfter time.Duration) []byte {
	m.preparing, m.running = nil, nil
	text := "no member can take this now"
	if retryAfter > 0 { // otherwise the time is unknown
		text += fmt.Sprintf("; come again after %d ms", (retryAfter+time.Millisecond-1)/time.Millisecond)
	}
	return mysql.AppendErr(nil, m.sequence, mysql.ErrTooManyConnections, text)
}

func (m *mysqlProtocol) failed(*pendingQuery) []byte {
	m.preparing, m.running = nil, nil
	return mysql.AppendErr(nil, m.sequence, mysql.ErrFailed, "no member answered in time")
}

func (m *mysqlProtocol) badRequest(_ *pendingQuery, body []byte) []byte {
	if statement := m.running; statement != nil { // its table may have changed
		m.shared.metadata.Remove(statement.hints.Group, statement.text)
	}
	m.preparing, m.running = nil, nil
	if payload, _, n, err := mysql.Next(body, mysql.MaxPacket); n > 0 && err == nil {
		if e, err := mysql.ParseErr(payload); err == nil {
			return mysql.AppendErr(nil, m.sequence, e.Number, e.Text)
		}
	}
	return mysql.AppendErr(nil, m.sequence, mysql.ErrFailed, "the group's databases don't take this")
}

func (m *mysqlProtocol) fatalError(reason closeReason, text string) []byte {
	number := uint16(mysql.ErrMalformedPacket)
	switch {
	case reason == reasonTooManyClients || reason == reasonNoMemory || reason == reasonTooManyLogins:
		number = mysql.ErrTooManyConnections
	case text == errAccessDenied.Error():
		number = mysql.ErrAccessDenied
	case text == errOutOfOrder.Error():
		number = mysql.ErrOutOfOrder
	case text == errPacketTooLarge.Error():
		number = mysql.ErrPacketTooLarge
	case m.phase != loginDone:
		number = mysql.ErrHandshake
	}
	return mysql.AppendErr(nil, m.sequence, number, text)
}

// mysqlUser returns the user name with which the proxy logs in to databases.
func (d *Databases) mysqlUser() string {
	if d.MySQLUser != "" {
		return d.MySQLUser
	}
	return defaultDatabaseUser
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
