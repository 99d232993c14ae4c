package net

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	streamRoom  = 64 << 10             // what of a long value is held at most; the rest waits in the kernel, and at the database
	streamStep  = 3 * time.Millisecond // how often a stream is looked at that can't go on
	streamTurn  = 8                    // pieces in one turn, so that others have theirs
	streamStall = 10 * time.Second     // without a byte moved, it is given up
)

// stream passes on a value that is too long to be held, in pieces. netpoll reads ahead without a bound, so the database's connection is
// taken out of its hands: the descriptor is doubled, netpoll closes its own, and what it had read is handed over. The client's is doubled
// too, for netpoll may close that number any time. Neither is ever waited for; a stream that can't go on is looked at again a little later.
type stream struct {
	db    *database
	c     *client
	sl    *slot
	from  int    // the database's descriptor
	to    int    // the client's; -1 = none yet
	out   []byte // on its way to the client
	rest  int    // bytes of the row that are yet to come
	ahead int    // bytes that netpoll had read when it was stopped: as much as came before the loop had its turn
	tail  []byte // what has come behind it, short of a whole message
	whole bool   // the answer's end has come
	over  bool
	moved time.Duration
	timer state.Deadline
	ended func()
}

// hand begins a stream with a long row, whose head begins buf; it is called from within readable.
func (db *database) hand(row int) error {
	c, ok := db.conn.(netpoll.Conn)
	if !ok {
		return pg.ErrMalformed
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		return err
	}
	syscall.CloseOnExec(fd)
	db.streams = &stream{db: db, from: fd, to: -1, rest: row, out: append([]byte(nil), db.reply.Body...)}
	db.whole()
	db.conn.Close() // its callbacks follow when readable has returned
	return nil
}

// handed takes what netpoll had read when it let go of the connection, which is all that the kernel has not. It is called between that and
// the end of netpoll's buffer, on the loop.
func (db *database) handed() {
	st := db.streams
	if db.closed || st.over {
		return
	}
	err := db.d.Loop.behindPoller()
	if r := db.conn.Reader(); err == nil && r.Len() > 0 {
		err = db.in.fill(r)
	}
	db.d.Loop.Post(func() { db.begin(err) })
}

// begin tells of the answer, whose first bytes are there.
func (db *database) begin(err error) {
	st := db.streams
	if db.closed || st.over {
		return
	}
	db.conn = nil
	if err != nil {
		st.finish(false)
		db.to.ProtocolError()
		return
	}
	st.ahead = len(db.in.bytes)
	st.feed(db.in.bytes)
	db.in.bytes = nil
	r := db.outcome()
	r.Result, r.Body, r.Stream = logic.OK, nil, st
	st.moved = db.d.Loop.clock.Now()
	db.to.Reply(r)
}

// feed takes bytes from the database.
func (st *stream) feed(b []byte) {
	n := min(st.rest, len(b))
	st.out, st.rest = append(st.out, b[:n]...), st.rest-n
	if st.rest > 0 {
		return
	}
	st.tail = append(st.tail, b[n:]...)
	for !st.whole {
		m, n, err := pg.Next(st.tail)
		body := len(st.db.reply.Body)
		if err == nil && n > 0 {
			err = st.db.reply.Add(m)
		}
		switch {
		case err != nil || st.db.reply.ErrorCode != "":
			st.finish(false)
			return
		case n == 0:
			return
		}
		st.out = append(st.out, st.db.reply.Body[body:]...)
		st.tail = st.tail[n:]
		if st.whole = st.db.reply.Ready(); st.whole {
			st.out = pg.AppendReadyForQuery(st.out)
		}
	}
}

// OnEnd implements state.ValueStream.
func (st *stream) OnEnd(f func()) { st.ended = f }

// Stop implements state.ValueStream.
func (st *stream) Stop() { st.finish(false) }

// AcceptsStream implements state.StreamingCaller.
func (sl *slot) AcceptsStream() bool { _, ok := sl.c.speaks.(postgres); return ok }

// Stream implements state.StreamingCaller.
func (sl *slot) Stream(from state.ValueStream) {
	st := from.(*stream)
	c, ok := sl.c.conn.(netpoll.Conn)
	if st.over || !ok || sl.c.phase == phaseClosed {
		st.finish(false)
		sl.c.hangUp()
		return
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		slog.Warn("a long value can't be passed on", "error", err)
		st.finish(false)
		sl.c.hangUp()
		return
	}
	syscall.CloseOnExec(fd)
	st.c, st.sl, st.to, sl.stream = sl.c, sl, fd, st
	st.pump()
}

// pump moves what can be moved now.
func (st *stream) pump() {
	now := st.db.d.Loop.clock.Now()
	for range streamTurn {
		pushed, ok1 := st.push()
		pulled, ok2 := st.pull()
		switch {
		case st.over:
			return
		case st.whole && len(st.out) == 0:
			st.finish(true)
			return
		case !ok1 || !ok2:
			st.finish(false)
			return
		}
		if !pushed && !pulled {
			break
		}
		st.moved = now
	}
	if now-st.moved > streamStall {
		st.finish(false)
		return
	}
	st.db.d.Loop.deadlines.Set(&st.timer, now+streamStep, st.pump)
}

// push writes to the client, when it is this answer's turn. ok = false: the client is gone.
func (st *stream) push() (moved, ok bool) {
	if len(st.out) == 0 || st.c.slots[0] != st.sl {
		return false, true
	}
	n, err := syscall.Write(st.to, st.out)
	if n > 0 {
		st.out = st.out[:copy(st.out, st.out[n:])]
	}
	return n > 0, err == nil || err == syscall.EAGAIN || err == syscall.EINTR
}

// pull reads from the database as long as there is room. ok = false: it has ended too early.
func (st *stream) pull() (moved, ok bool) {
	if st.whole || st.over || len(st.out) >= streamRoom {
		return false, true
	}
	buf := st.db.d.piece[:]
	n, err := syscall.Read(st.from, buf)
	if n > 0 {
		st.feed(buf[:n])
		return true, true
	}
	return false, err == syscall.EAGAIN || err == syscall.EINTR
}

// finish ends it, once. A client that has not had all of it is let go: it sees that the value isn't whole.
func (st *stream) finish(all bool) {
	if st.over {
		return
	}
	st.over = true
	st.db.d.Loop.deadlines.Clear(&st.timer)
	syscall.Close(st.from)
	if st.to >= 0 {
		syscall.Close(st.to)
	}
	if st.ended != nil {
		st.ended()
	}
	if st.sl == nil {
		return
	}
	st.sl.stream = nil
	if !all {
		st.c.hangUp()
		return
	}
	st.sl.give(nil)
}
