package net

import (
	"errors"
	stdnet "net"
	"syscall"
	"time"
)

// This file holds the ways in which a client's connection ends. Each of them delivers the answers that are due first,
// except those over which the connection itself has failed.

const (
	// Closing a connection with unread input resets it, and the final answer is lost, so input that is still on its
	// way is awaited. The wait is short, because to the client the end of the connection is the end of the answer.
	finalAnswerDelay = 20 * time.Millisecond
)

// allSent is called when the socket has taken all answers, after some of them had to wait.
func (c *client) allSent() {
	c.updateIdleList()
	switch {
	case c.closesOnceSent:
		c.closeOnceSent()
	case c.server.closesAfterAnswer():
		c.server.loop.Post(c.closeIdle)
	}
}

// closeOnceSent closes the connection when the socket has taken all answers. It does so after finalAnswerDelay, so that
// the client has time to read the last one.
func (c *client) closeOnceSent() {
	if c.closesOnceSent = c.output.len() > 0; !c.closesOnceSent {
		c.server.deadlines.Set(&c.timer, c.server.clock.Now()+finalAnswerDelay, c.closeAfterAnswers)
	}
}

// closeAfterAnswers closes the connection. If the client's machine has no room for the last answers yet, or input is
// unread, it is read on meanwhile, because unread input would reset it.
func (c *client) closeAfterAnswers() {
	if c.phase == phaseClosed {
		return
	}
	if c.output.notSent() > 0 || c.socket.unread() > 0 {
		c.closeGracefully()
		return
	}
	c.closeNow()
}

// terminate ends the connection of a client that has said that it goes. It gets the answers that are complete.
func (c *client) terminate() {
	c.endsFor(reasonTerminated)
	if c.output.len() == 0 {
		c.closeNow()
		return
	}
	c.closeAfterOutput()
}

// closeAfterOutput closes the connection once the socket has taken what has been written to it; the answers behind are
// abandoned.
func (c *client) closeAfterOutput() {
	if c.phase >= phaseClosing {
		return
	}
	c.phase = phaseClosing
	c.server.deadlines.Clear(&c.timer)
	c.abandonPending()
	c.updateIdleList()
	c.closeOnceSent()
}

// closeDroppingAnswers closes a connection over which the answers that are due can't be sent, and counts them as
// dropped unless the client has closed it.
func (c *client) closeDroppingAnswers(cause error) {
	if c.phase == phaseClosed {
		return
	}
	if !errors.Is(cause, syscall.EPIPE) && !errors.Is(cause, syscall.ECONNRESET) && !errors.Is(cause, stdnet.ErrClosed) {
		c.server.recordDroppedAnswers(c, cause)
		c.endsFor(writeFailureReason(cause))
	}
	c.closeNow()
}

// writeFailureReason returns why a connection ends whose answers can't be sent.
func writeFailureReason(cause error) closeReason {
	if errors.Is(cause, errStalled) {
		return reasonStalled
	}
	return reasonWriteFailed
}

// closeWithError sends a final error after the answers that are still due: queries sent before the protocol violation
// have been accepted. The connection is closed after finalAnswerDelay, so that the client has time to read the error.
func (c *client) closeWithError(reason closeReason, text string) {
	if c.phase >= phaseClosing {
		return
	}
	c.phase = phaseClosing
	c.endsFor(reason)
	c.server.deadlines.Clear(&c.timer)
	query := &pendingQuery{client: c, closesAfter: true}
	c.addPending(query)
	query.complete(c.protocol.fatalError(reason, text))
}

// closeIdle closes a connection to which no answer is due, unless input has arrived.
func (c *client) closeIdle() {
	if c.phase < phaseClosing && !c.owesAnswer() && len(c.input.bytes) == 0 && c.socket.unread() == 0 {
		c.endsFor(reasonDrained)
		c.closeGracefully()
	}
}

// closeGracefully ends the sending side of the connection, and leaves the rest to a lingeringConn.
func (c *client) closeGracefully() {
	c.release()
	c.server.linger(c.socket)
}

func (c *client) abandonPending() {
	for _, query := range c.pending {
		if query.stream != nil {
			query.stream.abandon()
		}
		c.server.answers.Unsent -= len(query.answer)
		query.release()
		if !query.answered && query.id != 0 {
			c.server.engine.Abandon(query.id)
		}
	}
	c.server.answers.Pending -= len(c.pending)
	c.pending = nil
}

// closeNow closes the connection from this side.
func (c *client) closeNow() {
	c.release()
	c.socket.close()
}

// release frees the client's state after its connection has ended; its requests are abandoned.
func (c *client) release() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	c.countClose()
	c.server.inputQueue.Remove(&c.turns)
	c.server.deadlines.Clear(&c.pause)
	c.server.deadlines.Clear(&c.timer)
	c.server.deadlines.Clear(&c.consoleTimer)
	c.abandonPending()
	c.output.close()
	c.dropInput()
	c.protocol.connectionClosed(c)
	c.accountInput()
	c.updatePartialList()
	c.updateIdleList()
	delete(c.server.clients, c)
	if c.overLimit {
		c.server.excess--
	}
}
