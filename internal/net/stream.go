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
	maxStreamBuffer      = 64 << 10             // bytes of a long value that are held; the rest waits in the kernel and at the database
	streamPollInterval   = 3 * time.Millisecond // how often a stream that cannot progress is polled
	maxPiecesPerCallback = 8                    // pieces transferred in one callback, so that others get their turn
	streamStallTimeout   = 10 * time.Second     // a stream without progress for this long is given up
)

// valueStream passes on a value that is too long to be held, in pieces. netpoll reads ahead without a limit, so the
// connection to the database is taken away from it: the descriptor is duplicated, netpoll closes its own, and its
// unread input is handed over. The client's descriptor is duplicated too, because netpoll may close it at any time.
// Neither side ever blocks; a stream that cannot progress is polled.
type valueStream struct {
	database          *database
	client            *client
	query             *pendingQuery
	databaseFD        int    // duplicate of the database's descriptor
	clientFD          int    // duplicate of the client's descriptor; -1 = none yet
	output            []byte // bytes to be written to the client
	remainingRowBytes int    // bytes of the row that have not arrived yet
	readAheadBytes    int    // bytes that netpoll had read before it was stopped
	unparsed          []byte // bytes after the row that are not a complete message yet
	answerComplete    bool   // the end of the answer has arrived
	finished          bool
	lastProgress      time.Duration
	timer             state.Deadline
	onEnd             func()
}

// startStream starts a stream for a long row, whose head is at the start of the input; row is the number of its
// bytes. It is called from handleInput.
func (db *database) startStream(row int) error {
	c, ok := db.conn.(netpoll.Conn)
	if !ok {
		return pg.ErrMalformed
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		return err
	}
	syscall.CloseOnExec(fd)
	db.stream = &valueStream{database: db, databaseFD: fd, clientFD: -1, remainingRowBytes: row, output: append([]byte(nil), db.reply.Body...)}
	db.stopAnswerTimer()
	db.conn.Close() // its callbacks run when handleInput has returned
	return nil
}

// detached takes over the input that netpoll had read when it released the connection; the rest is still in the
// kernel. It is called on the loop, before netpoll's buffer is released.
func (db *database) detached() {
	stream := db.stream
	if db.closed || stream.finished {
		return
	}
	err := db.databases.Loop.waitForPoller()
	if r := db.conn.Reader(); err == nil && r.Len() > 0 {
		err = db.input.fill(r)
	}
	db.databases.Loop.Post(func() { db.beginStream(err) })
}

// beginStream reports the answer, whose first bytes have arrived.
func (db *database) beginStream(err error) {
	stream := db.stream
	if db.closed || stream.finished {
		return
	}
	db.conn = nil
	if err != nil {
		stream.finish(false)
		db.listener.ProtocolError()
		return
	}
	stream.readAheadBytes = len(db.input.bytes)
	stream.consume(db.input.bytes)
	db.input.bytes = nil
	r := db.outcome()
	r.Result, r.Body, r.Stream = logic.OK, nil, stream
	stream.lastProgress = db.databases.Loop.clock.Now()
	db.listener.Reply(r)
}

// consume handles bytes from the database.
func (stream *valueStream) consume(b []byte) {
	n := min(stream.remainingRowBytes, len(b))
	stream.output, stream.remainingRowBytes = append(stream.output, b[:n]...), stream.remainingRowBytes-n
	if stream.remainingRowBytes > 0 {
		return
	}
	stream.unparsed = append(stream.unparsed, b[n:]...)
	for !stream.answerComplete {
		m, n, err := pg.Next(stream.unparsed)
		body := len(stream.database.reply.Body)
		if err == nil && n > 0 {
			err = stream.database.reply.Add(m)
		}
		switch {
		case err != nil || stream.database.reply.ErrorCode != "":
			stream.finish(false)
			return
		case n == 0:
			return
		}
		stream.output = append(stream.output, stream.database.reply.Body[body:]...)
		stream.unparsed = stream.unparsed[n:]
		if stream.answerComplete = stream.database.reply.Ready(); stream.answerComplete {
			stream.output = pg.AppendReadyForQuery(stream.output)
		}
	}
}

// OnEnd implements state.ValueStream.
func (stream *valueStream) OnEnd(f func()) { stream.onEnd = f }

// Stop implements state.ValueStream.
func (stream *valueStream) Stop() { stream.finish(false) }

// AcceptsStream implements state.StreamingCaller.
func (q *pendingQuery) AcceptsStream() bool { _, ok := q.client.protocol.(postgres); return ok }

// Stream implements state.StreamingCaller.
func (q *pendingQuery) Stream(from state.ValueStream) {
	stream := from.(*valueStream)
	c, ok := q.client.conn.(netpoll.Conn)
	if stream.finished || !ok || q.client.phase == phaseClosed {
		stream.finish(false)
		q.client.closeNow()
		return
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		slog.Warn("streaming a long value failed", "error", err)
		stream.finish(false)
		q.client.closeNow()
		return
	}
	syscall.CloseOnExec(fd)
	stream.client, stream.query, stream.clientFD, q.stream = q.client, q, fd, stream
	stream.transfer()
}

// transfer moves as many bytes as possible now.
func (stream *valueStream) transfer() {
	now := stream.database.databases.Loop.clock.Now()
	for range maxPiecesPerCallback {
		written, clientOK := stream.writeToClient()
		read, databaseOK := stream.readFromDatabase()
		switch {
		case stream.finished:
			return
		case stream.answerComplete && len(stream.output) == 0:
			stream.finish(true)
			return
		case !clientOK || !databaseOK:
			stream.finish(false)
			return
		}
		if !written && !read {
			break
		}
		stream.lastProgress = now
	}
	if now-stream.lastProgress > streamStallTimeout {
		stream.finish(false)
		return
	}
	stream.database.databases.Loop.deadlines.Set(&stream.timer, now+streamPollInterval, stream.transfer)
}

// writeToClient writes to the client, if this answer is the next one due. ok = false: the client is gone.
func (stream *valueStream) writeToClient() (progressed, ok bool) {
	if len(stream.output) == 0 || stream.client.pending[0] != stream.query {
		return false, true
	}
	n, err := syscall.Write(stream.clientFD, stream.output)
	if n > 0 {
		stream.output = stream.output[:copy(stream.output, stream.output[n:])]
	}
	return n > 0, err == nil || err == syscall.EAGAIN || err == syscall.EINTR
}

// readFromDatabase reads from the database as long as there is room. ok = false: the database's connection has ended
// early.
func (stream *valueStream) readFromDatabase() (progressed, ok bool) {
	if stream.answerComplete || stream.finished || len(stream.output) >= maxStreamBuffer {
		return false, true
	}
	buf := stream.database.databases.readBuffer[:]
	n, err := syscall.Read(stream.databaseFD, buf)
	if n > 0 {
		stream.consume(buf[:n])
		return true, true
	}
	return false, err == syscall.EAGAIN || err == syscall.EINTR
}

// finish ends the stream, once. The connection of a client that has not received the complete value is closed, so
// that the client notices.
func (stream *valueStream) finish(complete bool) {
	if stream.finished {
		return
	}
	stream.finished = true
	stream.database.databases.Loop.deadlines.Clear(&stream.timer)
	syscall.Close(stream.databaseFD)
	if stream.clientFD >= 0 {
		syscall.Close(stream.clientFD)
	}
	if stream.onEnd != nil {
		stream.onEnd()
	}
	if stream.query == nil {
		return
	}
	stream.query.stream = nil
	if !complete {
		stream.client.closeNow()
		return
	}
	stream.query.complete(nil)
}
