package standin

import (
	"net"
	"slices"
	"strings"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/wire/pg"
	"havenproxy/internal/wire/routing"
	"havenproxy/logic"
)

// database is a member of the fleet behind a listener.
type database struct {
	w       *World
	id      int
	address string
	port    *reservedPort // its address, also while it is down
	ln      net.Listener
	conns   map[*session]struct{}
}

// session is a connection to a database.
type session struct {
	db   *database
	conn net.Conn
	buf  []byte
	out  []byte

	openingRead, openingWritten int // bytes of the handshake that are not counted yet
}

func (db *database) listen() error {
	ln, err := db.port.listen()
	if err != nil {
		return err
	}
	db.ln = ln
	db.w.done.Add(1)
	go db.accept(ln)
	return nil
}

// turn follows the model's process; the world's lock is held.
func (db *database) turn(to fleet.Liveness) {
	switch to {
	case fleet.Down:
		db.shut()
	case fleet.Up:
		if db.ln == nil {
			if err := db.listen(); err != nil {
				db.w.warn("can't listen again", err)
			}
		}
	}
}

// shut ends the listener and all connections; the world's lock is held.
func (db *database) shut() {
	if db.ln != nil {
		db.ln.Close()
		db.ln = nil
	}
	for s := range db.conns {
		reset(s.conn)
	}
	clear(db.conns)
}

func (db *database) accept(ln net.Listener) {
	defer db.w.done.Done()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		db.w.accepted.Add(1)
		s := &session{db: db, conn: conn}
		db.w.mu.Lock()
		if db.ln != ln { // it died meanwhile
			reset(conn)
		} else {
			db.conns[s] = struct{}{}
		}
		db.w.mu.Unlock()
		db.w.done.Add(1)
		go s.serve()
	}
}

// serve reads statements one at a time and hands them to the model. The next one is read at once, so that a
// connection that is closed while a statement runs is noticed.
func (s *session) serve() {
	w := s.db.w
	defer w.done.Done()
	defer func() {
		w.mu.Lock()
		delete(s.db.conns, s)
		w.mu.Unlock()
		s.conn.Close()
	}()
	if w.mysql {
		s.mysql()
	} else {
		s.postgres()
	}
}

// postgres is a conversation in PostgreSQL's protocol.
func (s *session) postgres() {
	w := s.db.w
	for {
		opening, err := take(s, func(b []byte) (pg.StartupKind, int, error) { return pg.NextStartup(b) })
		if err != nil {
			return
		}
		if opening == pg.StartupEncryption {
			s.write(pg.AppendRefuseEncryption(nil))
			continue
		}
		if opening == pg.StartupCancel {
			return
		}
		s.openingRead = len(s.out)
		break
	}
	if !s.hung() {
		welcome := pg.AppendStartupResponse(nil)
		s.openingWritten = len(welcome)
		s.write(welcome)
	}
	var ticket fleet.Ticket
	defer func() { w.With(func(now time.Duration, f *fleet.Fleet) { f.Withdraw(now, ticket) }) }()
	for {
		m, err := take(s, pg.Next)
		if err != nil || m.Type == pg.TypeTerminate {
			return
		}
		if m.Type != pg.TypeQuery {
			s.write(pg.AppendFatal(nil, pg.CodeProtocolViolation, "simple queries only"))
			return
		}
		text, err := pg.QueryText(m)
		if err != nil {
			return
		}
		ticket = s.query(string(text), len(m.Raw))
	}
}

// hung tells whether the process gives no answers, even to a greeting.
func (s *session) hung() (is bool) {
	s.db.w.With(func(_ time.Duration, f *fleet.Fleet) { is = f.Liveness(s.db.id) != fleet.Up })
	return is
}

func (s *session) query(text string, size int) (t fleet.Ticket) {
	w := s.db.w
	switch trimmed := strings.Trim(text, " \t\r\n;"); {
	case trimmed == "":
		s.write(pg.AppendEmptyQueryResponse(nil))
		return t
	case strings.EqualFold(trimmed, "SELECT 1"), strings.EqualFold(trimmed, "SHOW load"):
		s.countQuery(ProbeTraffic, size)
		w.With(func(now time.Duration, f *fleet.Fleet) {
			f.Probe(now, s.db.id, func(r fleet.Report) {
				value := "1"
				if trimmed[1] != 'E' && trimmed[1] != 'e' {
					value = w.report(r)
				}
				s.answer(ProbeTraffic, appendRow(nil, value, "", 0))
			})
		})
		return t
	}
	s.countQuery(RequestTraffic, size)
	st, err := pg.ParseStatement(text)
	t, ok := s.submit(&st.Hints, func(class int, r fleet.Reply) { s.answer(RequestTraffic, w.encode(st.ID, class, r)) })
	if err != nil || !ok {
		s.write(pg.AppendReadyForQuery(errorOf("08P01", "not a statement of this deployment")))
	}
	return t
}

// submit hands a statement to the model; ok is false for one of no class that there is.
func (s *session) submit(h *routing.Hints, answer func(class int, r fleet.Reply)) (t fleet.Ticket, ok bool) {
	w := s.db.w
	class := slices.IndexFunc(w.cfg.Classes, func(c fleet.Class) bool { return c.Name == h.Class })
	if class < 0 {
		return t, false
	}
	w.With(func(now time.Duration, f *fleet.Fleet) {
		q := fleet.Query{Class: class, Key: h.Key, Deadline: now + h.Timeout}
		if !h.HasTimeout {
			q.Deadline = now + w.cfg.Classes[class].Limit
		}
		if h.LastCommit > 0 {
			q.After = time.UnixMilli(h.LastCommit).Sub(w.start)
		}
		t = f.Submit(now, s.db.id, q, func(r fleet.Reply) { answer(class, r) })
	})
	return t, true
}

// report words a database's report on itself.
func (w *World) report(r fleet.Report) string { return ReportText(w.Unix(r.Position), r) }

// encode puts the model's answer into messages.
func (w *World) encode(id string, class int, r fleet.Reply) []byte {
	role, at := w.stamps(class, r)
	return AppendReply(nil, id, r.Result, role, at)
}

// stamps gives the role and the position that an answer tells.
func (w *World) stamps(class int, r fleet.Reply) (role string, at int64) {
	role, at = pg.RoleReplica, w.Unix(r.Position).UnixMilli()
	if r.Role == logic.RolePrimary {
		role = pg.RolePrimary
	}
	if r.Result == fleet.Served && w.cfg.Classes[class].Read == logic.Write {
		at++
	}
	return role, at
}

// write sends bytes; the model's answers are small, so it does not wait on a peer that reads.
func (s *session) write(b []byte) {
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	s.conn.Write(b)
}

// take reads from the connection until next finds a whole message, and returns that message. The message is parsed again
// from a copy, s.out, so that it stays valid until the next call of take while s.buf is reused.
func take[T any](s *session, next func([]byte) (T, int, error)) (parsed T, err error) {
	for {
		_, n, err := next(s.buf)
		if err != nil {
			return parsed, err
		}
		if n > 0 {
			s.out = append(s.out[:0], s.buf[:n]...)
			s.buf = append(s.buf[:0], s.buf[n:]...)
			parsed, _, err = next(s.out)
			return parsed, err
		}
		chunk := make([]byte, 4096)
		k, err := s.conn.Read(chunk)
		if err != nil {
			return parsed, err
		}
		s.buf = append(s.buf, chunk[:k]...)
	}
}
