package net

import (
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/console"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// postgresProtocol speaks PostgreSQL with a client. It has no state.
type postgresProtocol struct{}

func (postgresProtocol) greet(*client) {} // the client speaks first

func (postgresProtocol) connectionClosed(*client) {}

func (postgresProtocol) maxPending() int { return maxPipelined }

// parseNext handles the first message of buf and returns its length; 0 = nothing to do yet.
func (postgresProtocol) parseNext(c *client, buf []byte) (int, error) {
	if c.phase == phaseStartup {
		return postgresProtocol{}.startup(c, buf)
	}
	if !c.acceptsQuery() {
		return 0, nil
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch m.Type {
	case pg.TypeTerminate:
		c.closeNow()
		return n, nil
	case pg.TypeQuery:
		text, err := pg.QueryText(m)
		if err != nil {
			return n, err
		}
		return n, postgresProtocol{}.query(c, string(text))
	}
	return n, pg.ErrMalformed // simple queries only
}

func (postgresProtocol) startup(c *client, buf []byte) (int, error) {
	o, n, err := pg.NextOpening(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch {
	case o == pg.OpenEncrypted:
		c.write(pg.AppendRefuseEncryption(nil))
	case o == pg.OpenCancel:
		c.closeNow()
	case c.overLimit:
		class, whole := firstQueryClass(buf[n:])
		if !whole && c.phase < phaseClosing && !c.partialQuery { // the class is read from its query, if that arrives soon
			c.partialQuery = true
			c.server.deadlines.Set(&c.timer, c.server.clock.Now()+overLimitQueryTimeout, c.rejectOverLimit)
		}
		if !whole {
			return 0, nil
		}
		c.server.engine.CountRejected(class)
		c.rejectOverLimit()
	default:
		c.usesConsole = c.server.consoleEnabled && pg.Opened(buf, "database") == console.DatabaseName && c.isLocal()
		c.phase = phaseServing
		c.write(pg.AppendWelcome(nil))
	}
	return n, nil
}

// overLimitQueryTimeout is how long a client beyond the limit may take to send its query after its startup message.
const overLimitQueryTimeout = 50 * time.Millisecond

// firstQueryClass returns the class of the query at the start of buf, empty if it names none, and whether a whole
// message is there.
func firstQueryClass(buf []byte) (class string, whole bool) {
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

func (postgresProtocol) query(c *client, text string) error {
	c.noteQuery()
	query := &pendingQuery{client: c}
	if strings.Trim(text, " \t\r\n;") == "" {
		c.pending = append(c.pending, query)
		if c.server.operatorDrain {
			query.complete(pg.AppendRefused(nil, 0))
		} else {
			query.complete(pg.AppendEmpty(nil))
		}
		return nil
	}
	if c.usesConsole {
		c.pending = append(c.pending, query)
		c.answerConsole(query, text)
		return nil
	}
	st, err := pg.ParseStatement(text)
	if err != nil {
		return err
	}
	return c.submit(query, state.Request{Name: st.ID, Class: st.Class, Wait: st.Wait, Session: st.Session, Group: st.Group,
		LastCommit: st.After, Retry: st.Retry, Command: &st})
}

// policyPrefix returns the start of an answer: the policy, if it is reported to clients and the request was admitted
// under one.
func (query *pendingQuery) policyPrefix() []byte {
	if !query.client.server.reportPolicy || !query.policyKnown {
		return nil
	}
	return pg.AppendParameter(nil, "policy", strconv.FormatUint(query.policy, 10))
}

func (postgresProtocol) servedAnswer(query *pendingQuery, body []byte) []byte {
	return pg.AppendServed(query.policyPrefix(), body)
}

func (postgresProtocol) refusedAnswer(query *pendingQuery, retryAfter time.Duration) []byte {
	return pg.AppendRefused(query.policyPrefix(), retryAfter)
}

func (postgresProtocol) failedAnswer(query *pendingQuery) []byte {
	return pg.AppendFailed(query.policyPrefix())
}

func (postgresProtocol) badRequestAnswer(query *pendingQuery, _ []byte) []byte {
	return pg.AppendFailed(query.policyPrefix())
}

func (postgresProtocol) fatalError(reason closeReason, text string) []byte {
	code := pg.CodeTooMany
	if reason == reasonMalformed {
		code = pg.CodeProtocol
	}
	return pg.AppendFatal(nil, code, text)
}
