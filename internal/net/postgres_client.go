package net

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/console"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// postgres speaks PostgreSQL with a client. It has no state.
type postgres struct{}

func (postgres) greet(*client) {} // the client speaks first

func (postgres) connectionClosed(*client) {}

func (postgres) maxPending() int { return maxPipelined }

func (postgres) messageLength(c *client, buf []byte) int {
	if c.phase == phaseStartup {
		return pg.StartupLength(buf)
	}
	return pg.MessageLength(buf)
}

func (postgres) readsInput() bool { return true }

// parseNext handles the first message of buf and returns its length; 0 = nothing to do yet.
func (postgres) parseNext(c *client, buf []byte) (int, error) {
	if c.phase == phaseStartup {
		return postgres{}.startup(c, buf)
	}
	if !c.acceptsQuery() {
		return 0, nil
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	if m.Type == pg.TypeQuery && !c.admitsMessage(n) {
		return 0, nil
	}
	c.noteMessage(n)
	switch m.Type {
	case pg.TypeTerminate:
		c.terminate()
		return n, nil
	case pg.TypeQuery:
		text, err := pg.QueryText(m)
		if err != nil {
			return n, err
		}
		return n, postgres{}.query(c, string(text))
	}
	return n, pg.ErrMalformed // simple queries only
}

func (postgres) startup(c *client, buf []byte) (int, error) {
	o, n, err := pg.NextStartup(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch {
	case o == pg.StartupEncryption:
		c.write(pg.AppendRefuseEncryption(nil))
	case o == pg.StartupCancel:
		c.endsFor(reasonTerminated)
		c.closeNow()
	case c.overLimit:
		class, complete := firstQueryClass(buf[n:])
		if !complete && c.phase < phaseClosing && !c.partialQuery { // the class is read from its query, if that arrives soon
			c.partialQuery = true
			c.server.deadlines.Set(&c.timer, c.server.clock.Now()+overLimitQueryTimeout, c.rejectOverLimit)
		}
		if !complete {
			return 0, nil
		}
		c.server.engine.CountRejected(class)
		c.rejectOverLimit()
	default:
		c.usesConsole = c.server.consoleEnabled && pg.StartupParameter(buf, "database") == console.DatabaseName && c.isLocal()
		c.phase = phaseServing
		c.write(pg.AppendStartupResponse(nil))
	}
	return n, nil
}

// overLimitQueryTimeout is how long a client beyond the limit may take to send its query after its startup message.
const overLimitQueryTimeout = 50 * time.Millisecond

// firstQueryClass returns the class of the query at the start of buf, empty if it names none, and whether a whole
// message is there.
func firstQueryClass(buf []byte) (class string, complete bool) {
	m, n, err := pg.Next(buf)
	if n == 0 && err == nil {
		return "", false
	}
	if err == nil && m.Type == pg.TypeQuery {
		if text, err := pg.QueryText(m); err == nil {
			if st, err := pg.ParseStatement(string(text)); err == nil {
				class = st.Class
			}
		}
	}
	return class, true
}

// rejectOverLimit rejects a client beyond the limit.
func (c *client) rejectOverLimit() {
	c.server.engine.Counters.ClientsRejected++
	c.closeWithError(reasonTooManyClients, "too many clients")
}

func (postgres) query(c *client, text string) error {
	c.noteQuery()
	query := &pendingQuery{client: c}
	if strings.Trim(text, " \t\r\n;") == "" {
		c.addPending(query)
		if c.server.operatorDrain {
			query.complete(pg.AppendRefused(nil, 0))
		} else {
			query.complete(pg.AppendEmptyQueryResponse(nil))
		}
		return nil
	}
	if c.usesConsole {
		c.addPending(query)
		c.answerConsole(query, text)
		return nil
	}
	st, err := pg.ParseStatement(text)
	if err != nil {
		return err
	}
	err = c.submit(query, state.Request{Name: st.ID, Class: st.Class, Wait: st.Timeout, Session: st.Session, Group: st.Group,
		LastCommit: st.LastCommit, Retry: st.Retry, Command: &st})
	if errors.Is(err, state.ErrDuplicateName) { // the other commands of the connection are not at fault
		c.server.engine.Counters.Malformed++
		c.addPending(query)
		query.complete(pg.AppendError(nil, pg.CodeDuplicateObject, err.Error()))
		return nil
	}
	return err
}

// prefix returns the start of an answer: the policy, if it is reported to clients and the request was admitted
// under one.
func (q *pendingQuery) prefix() []byte {
	if !q.client.server.reportPolicy || !q.policyKnown {
		return nil
	}
	return pg.AppendParameterStatus(nil, "policy", strconv.FormatUint(q.policy, 10))
}

func (postgres) served(q *pendingQuery, body []byte) []byte { return pg.AppendResult(q.prefix(), body) }

func (postgres) refused(q *pendingQuery, retryAfter time.Duration) []byte {
	return pg.AppendRefused(q.prefix(), retryAfter)
}

func (postgres) failed(q *pendingQuery) []byte { return pg.AppendFailed(q.prefix()) }

func (postgres) badRequest(q *pendingQuery, _ []byte) []byte { return pg.AppendFailed(q.prefix()) }

func (postgres) fatalError(reason closeReason, text string) []byte {
	code := pg.CodeTooManyConnections
	if reason == reasonMalformed {
		code = pg.CodeProtocolViolation
	}
	return pg.AppendFatal(nil, code, text)
}
