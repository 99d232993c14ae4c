package net

import (
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/console"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// postgres speaks PostgreSQL with a client. It keeps nothing of its own.
type postgres struct{}

func (postgres) greet(*client) {} // the client speaks first

func (postgres) gone(*client) {}

func (postgres) pipelines() int { return maxPipelined }

// next handles the first message of buf and tells its length; 0 = nothing to do yet.
func (postgres) next(c *client, buf []byte) (int, error) {
	if c.phase == phaseStartup {
		return postgres{}.startup(c, buf)
	}
	if !c.takesMore() {
		return 0, nil
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch m.Type {
	case pg.TypeTerminate:
		c.hangUp()
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
		c.hangUp()
	case c.full:
		class, whole := asked(buf[n:])
		if !whole && c.phase < phaseLeaving && !c.half { // its query is read for its class, if it comes at once
			c.half = true
			c.s.deadlines.Set(&c.timer, c.s.clock.Now()+fullFor, c.turnAway)
		}
		if !whole {
			return 0, nil
		}
		c.s.front.CountRejected(class)
		c.turnAway()
	default:
		c.admin = c.s.console && pg.StartupParameter(buf, "database") == console.DatabaseName && c.local()
		c.phase = phaseServing
		c.write(pg.AppendStartupResponse(nil))
	}
	return n, nil
}

// fullFor is how long a client that there is no room for may take for its query, behind its startup message.
const fullFor = 50 * time.Millisecond

// asked gives the class of the query that begins buf, empty where it names none, and whether it is there.
func asked(buf []byte) (class string, whole bool) {
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

// turnAway tells a client that there is no room for it.
func (c *client) turnAway() {
	c.s.front.Counters.ClientsRejected++
	c.leave(endTooMany, "too many clients")
}

func (postgres) query(c *client, text string) error {
	c.spoke()
	sl := &slot{c: c}
	if strings.Trim(text, " \t\r\n;") == "" {
		c.slots = append(c.slots, sl)
		if c.s.away {
			sl.give(pg.AppendRefused(nil, 0))
		} else {
			sl.give(pg.AppendEmptyQueryResponse(nil))
		}
		return nil
	}
	if c.admin {
		c.slots = append(c.slots, sl)
		c.show(sl, text)
		return nil
	}
	st, err := pg.ParseStatement(text)
	if err != nil {
		return err
	}
	return c.take(sl, state.Request{Name: st.ID, Class: st.Class, Wait: st.Timeout, Session: st.Session, Group: st.Group,
		LastCommit: st.LastCommit, Retry: st.Retry, Command: &st})
}

// told begins an answer: with the policy, where clients are told it and the request was taken under one.
func (sl *slot) told() []byte {
	if !sl.c.s.policy || !sl.taken {
		return nil
	}
	return pg.AppendParameterStatus(nil, "policy", strconv.FormatUint(sl.policy, 10))
}

func (postgres) served(sl *slot, body []byte) []byte { return pg.AppendResult(sl.told(), body) }

func (postgres) refused(sl *slot, comeBack time.Duration) []byte {
	return pg.AppendRefused(sl.told(), comeBack)
}

func (postgres) failed(sl *slot) []byte { return pg.AppendFailed(sl.told()) }

func (postgres) unfit(sl *slot, _ []byte) []byte { return pg.AppendFailed(sl.told()) }

func (postgres) fatal(why end, text string) []byte {
	code := pg.CodeTooManyConnections
	if why == endMalformed {
		code = pg.CodeProtocolViolation
	}
	return pg.AppendFatal(nil, code, text)
}
