package net

import (
	"cmp"
	"container/list"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	// A client has this long to send its first complete query, and to complete a query that it has started to send. A
	// client that stays silent or stops half way holds a descriptor for nothing, and has to get an error or a close
	// within three seconds.
	queryTimeout = 2200 * time.Millisecond
	maxBuffered  = 2 * pg.MaxMessage // bytes of queries that wait until fewer are pending
	// While more bytes than this wait for a client, none of its queries is read.
	maxUnsent    = 256 << 10
	maxPipelined = 16 // pending queries of one client; hundreds at once would crowd out those of other clients
)

var (
	errTooManyQueries = errors.New("too many queries at once")
	errQueryTimeout   = errors.New("no whole query in time")
)

type phase uint8

const (
	phaseStartup phase = iota
	phaseServing
	phaseClosing // it violated the protocol or is rejected: no more input is read
	phaseClosed
)

// closeReason is the reason for which the proxy closes a client's connection.
type closeReason uint8

const (
	reasonMalformed closeReason = iota
	reasonTooManyClients
	reasonNoMemory
	reasonTooManyLogins // too many failed or concurrent logins
)

// clientProtocol is the wire protocol of a client: it turns bytes into requests and answers into bytes. Connection
// limits, timeouts and the order of answers are handled by client.
type clientProtocol interface {
	greet(c *client) // called when the client has connected
	// parseNext handles the first message of buf and returns its length; 0 = nothing to do yet.
	parseNext(c *client, buf []byte) (int, error)
	// The following methods return the bytes of an answer.
	served(q *pendingQuery, body []byte) []byte
	refused(q *pendingQuery, retryAfter time.Duration) []byte
	failed(q *pendingQuery) []byte
	badRequest(q *pendingQuery, body []byte) []byte // body, if there is one, is the database's own error
	fatalError(reason closeReason, text string) []byte
	maxPending() int            // the maximum number of pending queries
	connectionClosed(c *client) // called when the connection has ended
}

// client is a connection of a client.
type client struct {
	server           *Server
	protocol         clientProtocol
	conn             netpoll.Connection
	output           *writeQueue // answers that the socket has not taken yet
	remoteAddress    string
	input            buffer
	arrivals         arrivals      // of the bytes in input
	parsedBytes      int           // bytes of input that have been handled and not been discarded yet
	messageAt        time.Duration // when the message that is being handled was complete
	closing          bool          // the proxy is closing the connection, because no answer was due
	closeAtOnce      bool          // the descriptor is needed: the connection is closed without lingering
	bytesBeforeClose int           // bytes of an incomplete query when beginClose was called
	phase            phase
	overLimit        bool // beyond the client limit: it is rejected once it has sent its startup message
	accountedBytes   int  // bytes of its buffer and statementBytes that are included in the server's sum
	statementBytes   int  // bytes that the protocol keeps for later requests
	hasQueried       bool // it has sent a complete query
	partialQuery     bool // it has sent a part of a query, and the timer runs for the rest
	usesConsole      bool
	closesOnceSent   bool // the connection is closed once the socket has taken all answers
	pending          []*pendingQuery
	timer            state.Deadline
	consoleTimer     state.Deadline // waits until the client has taken the last answer

	list    *list.List // the server's list of silent or idle clients that it is in, or nil
	element *list.Element
	since   time.Duration // when it was added to the list, or last seen sending
}

// pendingQuery is a query that has not been answered yet; answers are written in the order of the queries.
type pendingQuery struct {
	client      *client
	id          logic.RequestID
	answer      []byte
	answered    bool
	closesAfter bool         // the connection is closed after this answer
	policy      uint64       // the tier's policy under which the request was admitted
	policyKnown bool         // policy is set
	stream      *valueStream // the answer is written in pieces
}

// handleInput reads and parses the bytes that have arrived.
func (c *client) handleInput() {
	if err := c.input.fill(c.conn.Reader()); err != nil {
		c.closeNow()
		return
	}
	c.arrivals.add(len(c.input.bytes), cmp.Or(c.server.loop.ReceivedAt(), c.server.clock.Now()))
	if c.closing {
		return // finishClose checks for them
	}
	if c.list == &c.server.silent { // a client that is still sending, however slowly, goes behind those that have stopped
		c.since = c.server.clock.Now()
		c.list.MoveToBack(c.element)
	}
	c.parse()
}

// parse handles the complete messages in the buffer, as many as may be pending.
func (c *client) parse() {
	defer c.updateIdleList()
	for used := 0; c.phase < phaseClosing; {
		c.parsedBytes = used
		n, err := c.parseNext(c.input.bytes[used:])
		if used += n; err == nil && n == 0 && len(c.input.bytes)-used > maxBuffered {
			err = errTooManyQueries
		}
		if err != nil {
			c.closeMalformed(err)
			continue
		}
		if n > 0 {
			continue
		}
		c.discardInput(used)
		c.updateQueryTimer(used > 0)
		if c.updateBufferedBytes(); c.server.buffered <= c.server.maxBuffered || len(c.input.bytes) <= maxIdleBuffer {
			return
		}
		c.server.engine.Counters.ClientsRejected++ // a partial query has not been accepted yet
		c.closeWithError(reasonNoMemory, "no memory for a query of this size now")
	}
	c.discardInput(len(c.input.bytes)) // input after the end is ignored
	c.updateBufferedBytes()
}

// updateQueryTimer starts the timer for the rest of a query that has been sent in part, once for each query.
func (c *client) updateQueryTimer(newQuery bool) {
	if !c.hasQueried {
		return // the timer for the first query is running
	}
	partial := len(c.input.bytes) > 0 && c.acceptsQuery()
	switch {
	case partial && (newQuery || !c.partialQuery):
		c.server.deadlines.Set(&c.timer, c.server.clock.Now()+queryTimeout, c.queryTimedOut)
	case !partial && c.partialQuery:
		c.server.deadlines.Clear(&c.timer)
	}
	c.partialQuery = partial
}

// acceptsQuery reports whether another query is read. A client that does not read its answers gets no further ones;
// while all answers may take too much memory, and in the console, whose answers are large, one is given at a time.
func (c *client) acceptsQuery() bool {
	return c.server.answers.Admits(limit.ClientLoad{Pending: len(c.pending), MaxPending: c.protocol.maxPending(), Unsent: c.output.len(), OneAtATime: c.usesConsole})
}

// owesAnswer reports whether an answer is due that the socket has not taken whole.
func (c *client) owesAnswer() bool { return len(c.pending) > 0 || c.output.len() > 0 }

// queryTimedOut is called when a query should be complete.
func (c *client) queryTimedOut() { c.server.confirmTimeout(c) }

// closeIncomplete closes the connection if its query is still incomplete. A timer that is set is a later query's.
func (c *client) closeIncomplete() {
	incomplete := !c.hasQueried || c.partialQuery
	if incomplete && c.phase < phaseClosing && !c.timer.IsSet() {
		c.closeMalformed(errQueryTimeout)
	}
}

func (c *client) closeMalformed(err error) {
	c.server.engine.Counters.Malformed++
	c.closeWithError(reasonMalformed, err.Error())
}

// updateIdleList moves the client to the list of those that may be closed when connections run out: the silent ones,
// which have sent no complete query yet, and the idle ones, to which no answer is due.
func (c *client) updateIdleList() {
	var target *list.List
	switch {
	case c.phase >= phaseClosing:
	case !c.hasQueried:
		target = &c.server.silent
	case !c.owesAnswer() && len(c.input.bytes) == 0:
		target = &c.server.idle
	}
	if target == c.list {
		return
	}
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = target; target != nil {
		c.since, c.element = c.server.clock.Now(), target.PushBack(c)
	}
}

// updateBufferedBytes updates the server's sum of the bytes in all clients' buffers.
func (c *client) updateBufferedBytes() {
	total := len(c.input.bytes) + c.statementBytes
	c.server.buffered += total - c.accountedBytes
	c.accountedBytes = total
}

// parseNext handles the first message of buf and returns its length; 0 = nothing to do yet.
func (c *client) parseNext(buf []byte) (int, error) { return c.protocol.parseNext(c, buf) }

// noteMessage records when the message that is to be handled was complete; length is the number of its bytes.
func (c *client) noteMessage(length int) { c.messageAt = c.arrivals.of(c.parsedBytes + length) }

// discardInput drops the first n bytes of the input.
func (c *client) discardInput(n int) {
	c.input.discard(n)
	c.arrivals.discard(n)
}

// noteQuery records that the client has sent a complete query, so that it no longer counts as silent.
func (c *client) noteQuery() {
	if !c.hasQueried {
		c.hasQueried = true
		c.server.deadlines.Clear(&c.timer)
	}
}

func (c *client) addPending(query *pendingQuery) {
	c.server.answers.Pending++
	c.pending = append(c.pending, query)
}

// submit hands a request to the engine and appends its query to the pending ones. After an error there will be no
// answer.
func (c *client) submit(query *pendingQuery, in state.Request) (err error) {
	in.Caller, in.ReceivedAt = query, c.messageAt
	c.addPending(query)
	if query.id, err = c.server.engine.Submit(in); err != nil {
		c.server.answers.Pending--
		c.pending = c.pending[:len(c.pending)-1]
	}
	return err
}

// SetPolicy implements state.PolicyRecorder.
func (q *pendingQuery) SetPolicy(policy uint64) { q.policy, q.policyKnown = policy, true }

// Served implements state.Caller.
func (q *pendingQuery) Served(body []byte) {
	q.client.server.answers.RecordAnswer(len(body))
	q.complete(q.client.protocol.served(q, body))
}

// Refused implements state.Caller.
func (q *pendingQuery) Refused(after time.Duration) { q.complete(q.client.protocol.refused(q, after)) }

// Failed implements state.Caller.
func (q *pendingQuery) Failed() { q.complete(q.client.protocol.failed(q)) }

// BadRequest implements state.Caller.
func (q *pendingQuery) BadRequest(body []byte) { q.complete(q.client.protocol.badRequest(q, body)) }

// ClientConnected implements state.ClientChecker. The poller marks a connection that the client has closed before the
// loop runs its callback.
func (q *pendingQuery) ClientConnected() bool {
	return q.client.phase != phaseClosed && (q.client.closing || q.client.conn.IsActive())
}

// complete sets a query's answer and writes all answers that are next in order.
func (q *pendingQuery) complete(answer []byte) {
	c := q.client
	if c.phase == phaseClosed {
		return
	}
	q.answered, q.answer = true, answer
	n, output := 0, []byte(nil)
	last := false
	for ; n < len(c.pending) && c.pending[n].answered; n++ {
		last = c.pending[n].closesAfter
		if output == nil {
			output = c.pending[n].answer
		} else {
			output = append(output, c.pending[n].answer...)
		}
	}
	c.server.answers.Unsent += len(answer) - len(output) // those that wait for earlier answers are held here
	if n == 0 {
		return
	}
	c.server.answers.Pending -= n
	c.pending = append(c.pending[:0], c.pending[n:]...)
	c.write(output)
	if last {
		c.closeOnceSent()
	}
	if len(c.input.bytes) > 0 { // queries may be waiting in the buffer
		c.server.loop.Post(c.parse)
	}
	if c.server.closesAfterAnswer() && !c.owesAnswer() {
		c.server.loop.Post(c.closeIdle)
	}
	c.updateIdleList()
}

// openOutput makes the queue through which everything is written to the client.
func (c *client) openOutput() {
	c.output = newWriteQueue(c.server.loop, c.conn, c.outputProgressed, c.closeDroppingAnswers)
	c.output.total = &c.server.answers.Unsent
}

// write sends bytes, or keeps those that the socket does not take now.
func (c *client) write(b []byte) {
	if c.phase == phaseClosed || len(b) == 0 {
		return
	}
	if err := c.output.write(b); err != nil {
		c.closeDroppingAnswers(err)
	}
}

// outputProgressed goes on with what waited until the client had taken bytes.
func (c *client) outputProgressed() {
	if len(c.pending) > 0 && c.pending[0].stream != nil {
		c.pending[0].stream.transfer()
	}
	if c.phase == phaseClosed {
		return
	}
	if !c.owesAnswer() {
		c.allSent()
	}
	if len(c.input.bytes) > 0 {
		c.parse()
	}
}
