package net

import (
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	maxStreamBuffer      = 64 << 10             // bytes of a long value that are held; the rest waits in the kernel and at the database
	streamPollInterval   = 3 * time.Millisecond // how often a stream's database is polled
	maxPiecesPerCallback = 8                    // pieces transferred in one callback, so that others get their turn
)

// valueStream passes on a value that is too long to be held, in pieces. netpoll reads ahead without a limit, so the
// connection to the database is taken away from it: the descriptor is duplicated, netpoll closes its own, and its
// unread input is handed over. Neither side ever blocks: a database that has nothing to read is polled; while the
// client does not take what is written to it, nothing is read from the database.
type valueStream struct {
	database          *database
	client            *client
	query             *pendingQuery
	databaseFD        int    // duplicate of the database's descriptor
	output            []byte // bytes for the client, until its answer is the next one due
	remainingRowBytes int    // bytes of the row that have not arrived yet
	readAheadBytes    int    // bytes that netpoll had read before it was stopped
	unparsed          []byte // bytes after the row that are not a complete message yet
	answerComplete    bool   // the end of the answer has arrived
	passedOn          bool   // bytes of the value have been written to the client
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
	db.stream = &valueStream{database: db, databaseFD: fd, remainingRowBytes: row, output: append([]byte(nil), db.reply.Body...)}
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
	if stream.finished { // spoilt behind the row, and nothing was passed on: a failed attempt like any other
		db.databases.logProtocolError(db.address, errIncompleteAnswer)
		db.listener.ProtocolError()
		return
	}
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
func (stream *valueStream) OnEnd(f func()) {
	if stream.finished {
		f()
		return
	}
	stream.onEnd = f
}

// Stop implements state.ValueStream.
func (stream *valueStream) Stop() { stream.finish(false) }

// AcceptsStream implements state.StreamingCaller.
func (q *pendingQuery) AcceptsStream() bool { _, ok := q.client.protocol.(postgres); return ok }

// Stream implements state.StreamingCaller.
func (q *pendingQuery) Stream(from state.ValueStream) {
	stream := from.(*valueStream)
	if q.client.phase == phaseClosed {
		stream.Stop()
		return
	}
	if stream.finished {
		q.Failed()
		return
	}
	stream.client, stream.query, q.stream = q.client, q, stream
	stream.transfer()
}

// transfer moves as many bytes as possible now. The client's output calls it again when it has made progress.
func (stream *valueStream) transfer() {
	if stream.finished {
		return
	}
	now := stream.database.databases.Loop.clock.Now()
	for range maxPiecesPerCallback {
		stream.writeToClient()
		read, databaseOK := stream.readFromDatabase()
		switch {
		case stream.finished:
			return
		case stream.answerComplete && len(stream.output) == 0:
			stream.finish(true)
			return
		case !databaseOK:
			stream.finish(false)
			return
		}
		if !read {
			break
		}
		stream.lastProgress = now
	}
	if stream.waitsForClient() { // its output watches its progress
		stream.lastProgress = now
		if stream.isDue() && stream.client.output.len() > 0 {
			return
		}
	}
	if now-stream.lastProgress > limit.StallTimeout {
		stream.finish(false)
		return
	}
	stream.database.databases.Loop.deadlines.Set(&stream.timer, now+streamPollInterval, stream.transfer)
}

// isDue reports whether the stream's answer is the next one that the client gets.
func (stream *valueStream) isDue() bool {
	return len(stream.client.pending) > 0 && stream.client.pending[0] == stream.query
}

// waitsForClient reports whether nothing can be read from the database before the client has taken bytes.
func (stream *valueStream) waitsForClient() bool {
	return len(stream.output)+stream.client.output.len() >= maxStreamBuffer
}

// writeToClient writes to the client, if this answer is the next one due.
func (stream *valueStream) writeToClient() {
	if len(stream.output) == 0 || !stream.isDue() {
		return
	}
	output := stream.output
	stream.output, stream.passedOn = output[:0], true
	stream.client.write(output)
}

// readFromDatabase reads from the database as long as there is room. ok = false: the database's connection has ended
// early.
func (stream *valueStream) readFromDatabase() (progressed, ok bool) {
	if stream.answerComplete || stream.finished || stream.waitsForClient() {
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

// abandon ends the stream for a client that gets no further answers.
func (stream *valueStream) abandon() {
	stream.query.stream = nil
	stream.query = nil
	stream.finish(false)
}

// finish ends the stream, once. A value that is not complete has failed. If a part of it has been written, its client's
// connection is closed behind that, so that the client notices; otherwise only this request fails.
func (stream *valueStream) finish(complete bool) {
	if stream.finished {
		return
	}
	stream.finished = true
	stream.database.databases.Loop.deadlines.Clear(&stream.timer)
	syscall.Close(stream.databaseFD)
	if stream.onEnd != nil {
		stream.onEnd()
	}
	if stream.query == nil {
		return
	}
	stream.query.stream = nil
	switch {
	case complete:
		stream.query.complete(nil)
	case stream.passedOn:
		stream.client.closeAfterOutput()
	default:
		stream.query.Failed()
	}
}
