package net

import (
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	// While so many bytes of a long value are held, no further piece is read; the rest waits in the kernel and at the
	// database.
	maxStreamBuffer = 64 << 10
	// maxStreamStart is the same before the first bytes are passed on: a value that is spoilt within them fails as a whole.
	maxStreamStart = 128 << 10
	// streamStallInterval is how often the progress of a stream is looked at.
	streamStallInterval = 250 * time.Millisecond
)

// valueStream passes on a value that is too long to be held, in pieces: it reads the rest of the answer from the
// database's connection. Neither side ever blocks: while the client does not take what is written to it, nothing is read
// from the database.
type valueStream struct {
	database          *database
	client            *client
	query             *pendingQuery
	output            []byte // bytes for the client, until its answer is the next one due
	remainingRowBytes int    // bytes of the row that have not arrived yet
	unparsed          []byte // bytes after the row that are not a complete message yet
	answerComplete    bool   // the end of the answer has arrived
	passedOn          bool   // bytes of the value have been written to the client
	finished          bool
	lastProgress      time.Duration
	stallTimer        state.Deadline
	rest              continuation // of passing on
	onEnd             func()
}

// beginStream implements databaseProtocol: it reports the answer, whose first bytes have arrived.
func (db *database) beginStream() {
	stream := db.stream
	db.socket.handler = stream
	stream.consume(db.input.bytes)
	db.input.bytes = nil
	for more, ok := true, true; more && !stream.finished && len(stream.output) < maxStreamStart; {
		if more, ok = stream.readFromDatabase(); !ok {
			stream.finish(false)
		}
	}
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

// inputArrived implements socketHandler.
func (stream *valueStream) inputArrived(time.Duration) {
	if !stream.rest.posted {
		stream.transfer()
	}
}

// peerClosed implements socketHandler. The value is complete if its end arrived before.
func (stream *valueStream) peerClosed() { stream.transfer() }

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

// transfer moves bytes, as many as one turn may. It is called again when the database has sent bytes, or when the
// client's output has made progress.
func (stream *valueStream) transfer() {
	if stream.finished || stream.query == nil {
		return
	}
	loop := stream.database.databases.Loop
	for range maxPiecesPerTurn {
		stream.writeToClient()
		read, databaseOK := false, true
		if !stream.waitsForClient() {
			read, databaseOK = stream.readFromDatabase()
		}
		switch {
		case stream.finished:
			return
		case stream.answerComplete && len(stream.output) == 0:
			stream.finish(true)
			return
		case !databaseOK:
			stream.finish(false)
			return
		case !read:
			stream.watchProgress()
			return
		}
		stream.lastProgress = loop.clock.Now()
	}
	stream.rest.post(loop, stream.transfer)
}

// watchProgress gives the stream up when its database has sent nothing for limit.StallTimeout. While the client is waited
// for, its output watches its progress.
func (stream *valueStream) watchProgress() {
	loop := stream.database.databases.Loop
	now := loop.clock.Now()
	if stream.answerComplete || stream.waitsForClient() {
		stream.lastProgress = now
	}
	if now-stream.lastProgress > limit.StallTimeout {
		stream.finish(false)
		return
	}
	loop.deadlines.Set(&stream.stallTimer, now+streamStallInterval, stream.transfer)
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
	if cap(output) > maxStreamBuffer+readSize {
		stream.output = nil
	}
	stream.client.write(output)
}

// readFromDatabase reads a piece from the database. ok = false: the database's connection has ended early.
func (stream *valueStream) readFromDatabase() (progressed, ok bool) {
	if stream.answerComplete || stream.finished {
		return false, true
	}
	buf := stream.database.databases.Loop.readBuffer[:]
	n, err := stream.database.socket.read(buf)
	if err != nil {
		return false, false
	}
	stream.consume(buf[:n])
	return n > 0, true
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
	stream.database.databases.Loop.deadlines.Clear(&stream.stallTimer)
	stream.database.databaseLink.Close()
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
		stream.client.endsFor(reasonBrokenAnswer)
		stream.client.closeAfterOutput()
	default:
		stream.query.Failed()
	}
}
