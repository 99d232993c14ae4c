package net

import (
	"container/list"
	"errors"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

const (
	// A client has this long to send its first complete query, and to complete a query that it has started to send. A
	// client that stays silent or stops half way holds a descriptor for nothing, and has to get an error or a close
	// within three seconds.
	queryTimeout = 2200 * time.Millisecond
	// While more bytes than this wait for a client, none of its queries is read.
	maxUnsent    = 256 << 10
	maxPipelined = 16 // pending queries of one client; hundreds at once would crowd out those of other clients
)

var errQueryTimeout = errors.New("no whole query in time")

type phase uint8

const (
	phaseStartup phase = iota
	phaseServing
	phaseClosing // it violated the protocol or is rejected: no more input is read
	phaseClosed
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
	// messageLength returns the length that the message at the start of buf announces; 0 = it is not known yet.
	messageLength(c *client, buf []byte) int
	maxPending() int            // the maximum number of pending queries
	readsInput() bool           // false while no further message can be handled
	connectionClosed(c *client) // called when the connection has ended
}

// client is a connection of a client.
type client struct {
	server         *Server
	protocol       clientProtocol
	socket         *socket
	output         *writeQueue // answers that the socket has not taken yet
	remoteAddress  string
	input          buffer
	arrivals       arrivals       // of the bytes in input, and behind them of those that the kernel holds
	parsedBytes    int            // bytes of input that have been handled and not been discarded yet
	messageAt      time.Duration  // when the message that is being handled was complete
	turns          limit.Flow     // its place among the clients that wait for their turns
	usage          limit.Usage    // of the processor's time
	pause          state.Deadline // ends the time in which it has no turn
	waitsForMemory bool           // its next message waits until requests have released memory
	waitingMessage int            // the length of that message in bytes
	waitsToRead    bool           // that message is not complete: its memory is for the buffer
	phase          phase
	endReason      closeReason
	connectedAt    time.Duration
	messages       uint64 // that it has sent
	overLimit      bool   // beyond the client limit: it is rejected once it has sent its startup message
	accountedBytes int    // bytes of its buffer and statementBytes that are included in the server's sum
	statementBytes int    // bytes that the protocol keeps for later requests
	hasQueried     bool   // it has sent a complete query
	incomplete     bool   // its buffer ends with an incomplete message
	partialQuery   bool   // it has sent a part of a query, and the timer runs for the rest
	usesConsole    bool
	closesOnceSent bool // the connection is closed once the socket has taken all answers
	pending        []*pendingQuery
	timer          state.Deadline
	timedOutAt     time.Duration  // when timer was run first; 0 = not yet
	consoleTimer   state.Deadline // waits until the client has taken the last answer

	list    *list.List // the server's list of silent or idle clients that it is in, or nil
	element *list.Element
	since   time.Duration // when it was added to the list, or last seen sending

	incompleteSince time.Duration // when the incomplete message was begun
	partialElement  *list.Element // in the server's list of clients with incomplete messages; nil = it is not in it
}

// pendingQuery is a query that has not been answered yet; answers are written in the order of the queries.
type pendingQuery struct {
	client      *client
	id          logic.RequestID
	answer      []byte
	answered    bool
	underWay    bool         // its request counts towards the server's budget
	size        int          // bytes of its request
	closesAfter bool         // the connection is closed after this answer
	policy      uint64       // the tier's policy under which the request was admitted
	policyKnown bool         // policy is set
	stream      *valueStream // the answer is written in pieces
}

// acceptsQuery reports whether another query is read. A client that does not read its answers gets no further ones;
// while all answers may take too much memory, and in the console, whose answers are large, one is given at a time.
func (c *client) acceptsQuery() bool {
	return c.server.answers.Admits(limit.ClientLoad{Pending: len(c.pending), MaxPending: c.protocol.maxPending(), Unsent: c.output.len(), OneAtATime: c.usesConsole})
}

// owesAnswer reports whether an answer is due that the socket has not taken whole.
func (c *client) owesAnswer() bool { return len(c.pending) > 0 || c.output.len() > 0 }

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

func (c *client) addPending(query *pendingQuery) {
	c.server.answers.Pending++
	c.pending = append(c.pending, query)
}

// submit hands a request to the engine and appends its query to the pending ones. After an error there will be no
// answer.
func (c *client) submit(query *pendingQuery, in state.Request) (err error) {
	in.Caller, in.ReceivedAt = query, c.messageAt
	c.addPending(query)
	query.hold(in.Command)
	if query.id, err = c.server.engine.Submit(in); err != nil {
		query.release()
		c.server.answers.Pending--
		c.pending = c.pending[:len(c.pending)-1]
	}
	return err
}

// hold includes a request in the server's budget.
func (q *pendingQuery) hold(command state.Command) {
	if c, ok := command.(interface{ Size() int }); ok {
		q.size = c.Size()
	}
	q.underWay = true
	q.client.server.inputBudget.BeginRequest(q.size)
}

// release takes a request out of the server's budget. It may be called more than once.
func (q *pendingQuery) release() {
	if q.underWay {
		q.underWay = false
		q.client.server.inputBudget.EndRequest(q.size)
		q.client.server.memoryReleased()
	}
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

// ClientConnected implements state.ClientChecker: the kernel may know that the client has closed its connection before
// the loop does.
func (q *pendingQuery) ClientConnected() bool {
	return q.client.phase != phaseClosed && !q.client.socket.gone()
}

// complete sets a query's answer and writes all answers that are next in order.
func (q *pendingQuery) complete(answer []byte) {
	c := q.client
	if c.phase == phaseClosed {
		return
	}
	q.answered, q.answer = true, answer
	q.release()
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
	if len(c.pending) > 0 && c.pending[0].stream != nil { // it is the next one due now
		c.server.loop.Post(c.pending[0].stream.transfer)
	}
	if last {
		c.closeOnceSent()
	}
	if c.hasInput() { // queries may be waiting
		c.server.scheduleInput(c)
	}
	if c.server.closesAfterAnswer() && !c.owesAnswer() {
		c.server.loop.Post(c.closeIdle)
	}
	c.updateIdleList()
}

// openOutput makes the queue through which everything is written to the client.
func (c *client) openOutput() {
	c.output = newSocketQueue(c.socket, c.outputProgressed, c.closeDroppingAnswers)
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
	if c.hasInput() { // queries may be waiting
		c.server.scheduleInput(c)
	}
}
