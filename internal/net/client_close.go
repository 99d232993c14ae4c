package net

import (
	"context"
	"errors"
	"log/slog"
	stdnet "net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
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

// closeAfterAnswers closes the connection; if the client's machine has no room for the last answers yet, it is read on
// meanwhile, because unread input would reset it.
func (c *client) closeAfterAnswers() {
	if c.phase != phaseClosed && c.output.notSent() > 0 {
		c.server.closeGracefully(c.conn)
	}
	c.closeNow()
}

// terminate ends the connection of a client that has said that it goes. It gets the answers that are complete.
func (c *client) terminate() {
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
	}
	c.closeNow()
}

// closeWithError sends a final error after the answers that are still due: queries sent before the protocol violation
// have been accepted. The connection is closed after finalAnswerDelay, so that the client has time to read the error.
func (c *client) closeWithError(reason closeReason, text string) {
	if c.phase >= phaseClosing {
		return
	}
	c.phase = phaseClosing
	c.server.deadlines.Clear(&c.timer)
	query := &pendingQuery{client: c, closesAfter: true}
	c.addPending(query)
	query.complete(c.protocol.fatalError(reason, text))
}

// closeIdle closes a connection to which no answer is due.
func (c *client) closeIdle() {
	if c.phase != phaseClosed && !c.owesAnswer() && len(c.input.bytes) == 0 && c.conn.Reader().Len() == 0 {
		c.beginClose()
	}
}

// beginClose closes a connection to which no answer is due as far as the loop knows; finishClose checks that.
func (c *client) beginClose() {
	if c.phase != phaseClosed && !c.closing {
		c.closing, c.bytesBeforeClose = true, len(c.input.bytes)
		c.conn.Close()
	}
}

func (c *client) abandonPending() {
	for _, query := range c.pending {
		if query.stream != nil {
			query.stream.abandon()
		}
		c.server.answers.Unsent -= len(query.answer)
		if !query.answered && query.id != 0 {
			c.server.engine.Abandon(query.id)
		}
	}
	c.server.answers.Pending -= len(c.pending)
	c.pending = nil
}

// closeNow closes the connection from this side.
func (c *client) closeNow() {
	if c.phase == phaseClosed {
		return
	}
	c.release()
	c.conn.Close()
}

// release frees the client's state after its connection has ended; its requests are abandoned.
func (c *client) release() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	c.server.deadlines.Clear(&c.timer)
	c.server.deadlines.Clear(&c.consoleTimer)
	c.abandonPending()
	c.output.close()
	c.input.bytes = nil
	c.protocol.connectionClosed(c)
	c.updateBufferedBytes()
	c.updateIdleList()
	delete(c.server.clients, c)
	if c.overLimit {
		c.server.excess--
	}
}

// attachCallbacks makes the loop handle the end of a connection. Close callbacks run on the loop if this side closes,
// and on the poller's goroutine if the peer does: only in the latter case is the disconnect callback called first.
func (c *client) attachCallbacks(conn netpoll.Connection) {
	var byPeer atomic.Bool
	if d, ok := conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		d.SetOnDisconnect(func(context.Context, netpoll.Connection) { byPeer.Store(true) })
	}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		if !byPeer.Load() && c.closing && c.phase != phaseClosed {
			c.finishClose()
		} else {
			c.server.loop.Post(c.release)
		}
		return nil
	})
}

// finishClose ends a connection to which no answer was due when this side began to close it. The poller reads ahead
// of the loop and may have read a query since then: a query that has been read has to be answered, because its client
// resends only one that has not been read. So the poller, which has been told to drop the connection, is waited for,
// and if there is a query, the connection is kept open on a second descriptor of the same socket. It is called on the
// loop, before the first descriptor and the poller's buffer are released.
func (c *client) finishClose() {
	c.closing = false
	err := c.server.loop.waitForPoller()
	if err == nil && len(c.input.bytes) == c.bytesBeforeClose && c.conn.Reader().Len() == 0 {
		if !c.closeAtOnce {
			c.server.closeGracefully(c.conn)
		}
		c.release()
		return
	}
	if err == nil {
		err = c.keepOpen()
	}
	if err != nil {
		slog.Warn("client connection closed, possibly with an unanswered query", "error", err)
		c.release()
	}
}

// keepOpen continues a connection that is being closed, on a new descriptor.
func (c *client) keepOpen() error {
	if r := c.conn.Reader(); r.Len() > 0 {
		if err := c.input.fill(r); err != nil {
			return err
		}
		c.arrivals.add(len(c.input.bytes), c.server.clock.Now())
	}
	fd, err := syscall.Dup(c.conn.(netpoll.Conn).Fd())
	if err != nil {
		return err
	}
	syscall.CloseOnExec(fd)
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
		return err
	}
	c.conn = conn
	c.output.close()
	c.openOutput()
	open := &c.server.open
	open.Add(1)
	conn.AddCloseCallback(func(netpoll.Connection) error { open.Add(-1); return nil })
	c.attachCallbacks(conn)
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.handleInput()
		return nil
	})
	c.server.loop.Post(c.parse)
	return nil
}
