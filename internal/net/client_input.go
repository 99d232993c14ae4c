package net

import (
	"time"

	"havenproxy/internal/limit"
)

// This file holds how a client's bytes are read and its messages handled. Bytes are read when the client's next message
// may be handled; otherwise they stay in the kernel.

// maxIdleClientBuffer is the buffer capacity in bytes that a client keeps between messages.
const maxIdleClientBuffer = 2 << 10

// inputArrived implements socketHandler.
func (c *client) inputArrived(at time.Duration) {
	c.arrivals.add(len(c.input.bytes)+c.socket.unread(), at)
	c.server.scheduleInput(c)
}

// peerClosed implements socketHandler: the client has gone, and everything it sent that was not handled goes with it.
func (c *client) peerClosed() {
	c.release()
	c.socket.close()
}

// serveInput is the client's turn: it handles as many messages as are allowed, and returns whether it may have more to do.
func (c *client) serveInput() (more bool) {
	if c.phase == phaseClosed {
		c.dropInput()
		return false
	}
	turn := limit.NewTurn(c.server.clock.Now())
	if c.phase == phaseClosing {
		_, more = c.socket.discardUnread(readSize)
		return more
	}
	handled, more := c.handleMessages(&turn)
	// Otherwise the rest of the buffer waits for the client's next turn, for an answer or for memory.
	c.incomplete = !more && c.phase < phaseClosing && len(c.input.bytes) > 0 && c.mayRead()
	if c.incomplete {
		c.arrivals.forget(len(c.input.bytes))
	}
	if c.phase < phaseClosing {
		c.updateQueryTimer(handled)
	}
	c.accountInput()
	if handled { // what is incomplete now was begun in this turn
		c.removeFromPartialList()
	}
	c.updatePartialList()
	c.updateIdleList()
	return more || c.phase == phaseClosing
}

// handleMessages handles the messages in the buffer, and reads when the next one is incomplete. handled reports whether
// there was a message, more that the turn ended before the input did.
func (c *client) handleMessages(turn *limit.Turn) (handled, more bool) {
	used := 0
	for {
		c.parsedBytes = used
		n, err := c.protocol.parseNext(c, c.input.bytes[used:])
		used += n
		if err != nil {
			c.closeMalformed(err)
		}
		if c.phase >= phaseClosing { // input after the end is ignored
			c.dropInput()
			return true, false
		}
		if n > 0 {
			handled = true
			c.messages++
			if !turn.Handled(c.server.clock.Now()) {
				c.discardInput(used)
				return handled, true
			}
			continue
		}
		c.discardInput(used)
		used = 0
		if !c.mayRead() {
			return handled, false
		}
		switch read := c.readInput(); {
		case c.phase >= phaseClosing || read == 0:
			return handled, false
		case !turn.Read(read, c.server.clock.Now()):
			return handled, true
		}
	}
}

// kernelHasInput reports whether bytes have arrived that have not been read.
func (c *client) kernelHasInput() bool { return c.arrivals.end() > len(c.input.bytes) }

// hasInput reports whether bytes have arrived that have not been handled.
func (c *client) hasInput() bool { return len(c.input.bytes) > 0 || c.kernelHasInput() }

// hasUnhandledInput reports whether bytes have arrived that no turn has looked at to their end: in the kernel, or read and
// waiting for the client's next turn. The beginning of an incomplete message doesn't count, nor does a turn that is due:
// the kernel may report the same bytes twice.
func (c *client) hasUnhandledInput() bool {
	return c.socket.unread() > 0 || len(c.input.bytes) > 0 && !c.incomplete
}

// mayRead reports whether the client's next message may be handled, so that it is read.
func (c *client) mayRead() bool {
	return c.acceptsQuery() && c.protocol.readsInput() && !c.waitsForMemory
}

// readInput reads some of the bytes that have arrived and returns how many. What is read beyond a small message belongs to
// one message, for which there is memory.
func (c *client) readInput() int {
	if !c.kernelHasInput() {
		return 0
	}
	size, length := limit.SmallMessage, c.protocol.messageLength(c, c.input.bytes)
	if length > max(limit.SmallMessage, len(c.input.bytes)) {
		if !c.reserveBuffer(length) {
			return 0
		}
		size = min(length-len(c.input.bytes), readSize)
	}
	buf := c.server.loop.readBuffer[:size]
	n, err := c.socket.read(buf)
	if err != nil {
		c.peerClosed()
		return 0
	}
	if n == 0 {
		return 0
	}
	c.input.bytes = append(c.input.bytes, buf[:n]...)
	c.arrivals.add(len(c.input.bytes), c.server.clock.Now())
	if c.list == &c.server.silent { // a client that is still sending, however slowly, goes behind those that have stopped
		c.since = c.server.clock.Now()
		c.list.MoveToBack(c.element)
	}
	c.accountInput()
	return n
}

// discardInput drops the first n bytes of the input.
func (c *client) discardInput(n int) {
	if n > 0 {
		c.input.discard(n)
		c.arrivals.discard(n)
	}
	if len(c.input.bytes) == 0 && cap(c.input.bytes) > maxIdleClientBuffer {
		c.input.bytes = nil
	}
}

// dropInput drops all input of a client whose connection is being closed.
func (c *client) dropInput() {
	c.input.bytes, c.arrivals, c.incomplete = nil, nil, false
}

// updatePartialList adds the client to the server's list of those with incomplete messages, or removes it.
func (c *client) updatePartialList() {
	switch {
	case c.incomplete && c.partialElement == nil:
		c.incompleteSince = c.server.clock.Now()
		c.partialElement = c.server.partial.PushBack(c)
	case !c.incomplete:
		c.removeFromPartialList()
	}
}

func (c *client) removeFromPartialList() {
	if c.partialElement != nil {
		c.server.partial.Remove(c.partialElement)
		c.partialElement = nil
	}
}

func (c *client) closeMalformed(err error) {
	c.server.engine.Counters.Malformed++
	c.closeWithError(reasonMalformed, err.Error())
}

// noteMessage records when the message that is to be handled was complete; length is the number of its bytes.
func (c *client) noteMessage(length int) { c.messageAt = c.arrivals.of(c.parsedBytes + length) }
