package net

import (
	"container/list"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	// So long has a client for its first whole query, and for the rest of one that it has begun. One that stays
	// silent or stops half way holds a descriptor for nobody, and is owed an error or a close within three seconds.
	queryPatience = 2200 * time.Millisecond
	maxBuffered   = 2 * pg.MaxMessage // of queries that wait for room under way
	// A last word is lost if its connection is closed over unread bytes, so those on their way are waited for. No
	// longer than that: to the client, the end of the connection is the end of the answer.
	lingerFor    = 20 * time.Millisecond
	maxPipelined = 16 // queries of one client that may be under way; hundreds at once would crowd out the others'
)

var (
	errTooMany = errors.New("too many queries at once")
	errTooSlow = errors.New("no whole query in time")
)

type phase uint8

const (
	phaseStartup phase = iota
	phaseServing
	phaseLeaving // broke the protocol, or is turned away: nothing more is read
	phaseClosed
)

// end says why a connection ends from this side.
type end uint8

const (
	endMalformed end = iota
	endTooMany       // clients
	endNoMemory
	endTooOften // it tried what it may not so often
)

// speaker is the protocol of a client: what stands between its bytes and requests. All that isn't the protocol's, the
// places, the time a client has, the order of answers, is the client's.
type speaker interface {
	greet(c *client) // it has come
	// next handles the first message of buf and tells its length; 0 = nothing to do yet.
	next(c *client, buf []byte) (int, error)
	served(sl *slot, body []byte) []byte
	refused(sl *slot, comeBack time.Duration) []byte
	failed(sl *slot) []byte
	unfit(sl *slot, body []byte) []byte // body, where there is one, is the database's own word
	fatal(why end, text string) []byte
	pipelines() int // queries that may be under way
	gone(c *client) // the connection has ended
}

// client is a connection of a client.
type client struct {
	s      *Server
	speaks speaker
	conn   netpoll.Connection
	from   string // its address
	in     buffer
	quits  bool // this side closes the connection, for it owed nothing
	hurry  bool // others need its descriptor: it is closed in one step
	had    int  // bytes of a query that was not whole, when it began to
	phase  phase
	full   bool // beyond the proxy's limit: it is turned away once it has spoken
	held   int  // bytes of its buffer, and extra, that are in the server's account
	extra  int  // bytes that the speaker keeps for requests to come
	asked  bool // it has sent a whole query
	half   bool // it has sent a part of one, and the timer runs for the rest
	admin  bool // it is at the console
	slots  []*slot
	timer  state.Deadline
	room   state.Deadline // of the console's answers

	list  *list.List // the server's silent or idle clients, or nil
	place *list.Element
	since time.Duration // when it came there
}

// slot is a query in its place in the order of answers.
type slot struct {
	c      *client
	id     logic.RequestID
	answer []byte
	done   bool
	last   bool    // the connection ends behind it
	policy uint64  // of the tier, under which it was taken
	taken  bool    // it was, under that
	stream *stream // it comes in pieces
}

// readable takes in what has come.
func (c *client) readable() {
	if err := c.in.fill(c.conn.Reader()); err != nil {
		c.hangUp()
		return
	}
	if c.quits {
		return // quit looks at it
	}
	if c.list == &c.s.silent { // who is at its query, however slowly, goes behind those that have stopped
		c.since = c.s.clock.Now()
		c.list.MoveToBack(c.place)
	}
	c.parse()
}

// parse takes whole messages out of the buffer, as many as may be under way.
func (c *client) parse() {
	defer c.settle()
	for used := 0; c.phase < phaseLeaving; {
		n, err := c.next(c.in.bytes[used:])
		if used += n; err == nil && n == 0 && len(c.in.bytes)-used > maxBuffered {
			err = errTooMany
		}
		if err != nil {
			c.malformed(err)
			continue
		}
		if n > 0 {
			continue
		}
		c.in.cut(used)
		c.patience(used > 0)
		if c.account(); c.s.buffered <= c.s.maxBuffered || len(c.in.bytes) <= keepRoom {
			return
		}
		c.s.front.Counters.ClientsRejected++ // half a query has not been taken yet
		c.leave(endNoMemory, "no memory for a query of this size now")
	}
	c.in.cut(len(c.in.bytes)) // what comes behind the end is nobody's
	c.account()
}

// patience sets the time for the rest of a query that has been sent in part, once for each query.
func (c *client) patience(anew bool) {
	if !c.asked {
		return // the time since it came runs
	}
	half := len(c.in.bytes) > 0 && c.takesMore()
	switch {
	case half && (anew || !c.half):
		c.s.deadlines.Set(&c.timer, c.s.clock.Now()+queryPatience, c.tooSlow)
	case !half && c.half:
		c.s.deadlines.Clear(&c.timer)
	}
	c.half = half
}

// takesMore tells whether another query is read. The console takes one at a time: its answers are large.
func (c *client) takesMore() bool {
	return len(c.slots) < c.speaks.pipelines() && !(c.admin && len(c.slots) > 0)
}

func (c *client) tooSlow() { c.malformed(errTooSlow) }

func (c *client) malformed(err error) {
	c.s.front.Counters.Malformed++
	c.leave(endMalformed, err.Error())
}

// settle puts the client among those that may be closed for want of room: the silent ones, which have sent no whole
// query yet, and the idle ones, which are owed nothing.
func (c *client) settle() {
	var to *list.List
	switch {
	case c.phase >= phaseLeaving:
	case !c.asked:
		to = &c.s.silent
	case len(c.slots) == 0 && len(c.in.bytes) == 0:
		to = &c.s.idle
	}
	if to == c.list {
		return
	}
	if c.list != nil {
		c.list.Remove(c.place)
	}
	if c.list = to; to != nil {
		c.since, c.place = c.s.clock.Now(), to.PushBack(c)
	}
}

// account keeps the server's sum of what all clients' buffers hold.
func (c *client) account() {
	now := len(c.in.bytes) + c.extra
	c.s.buffered += now - c.held
	c.held = now
}

// next handles the first message of buf and tells its length; 0 = nothing to do yet.
func (c *client) next(buf []byte) (int, error) { return c.speaks.next(c, buf) }

// spoke notes a whole query: the client is no silent one.
func (c *client) spoke() {
	if !c.asked {
		c.asked = true
		c.s.deadlines.Clear(&c.timer)
	}
}

// take gives a request to the front, in its place in the order of answers. On an error there will be no answer.
func (c *client) take(sl *slot, in state.Request) (err error) {
	in.Caller, in.ReceivedAt = sl, c.s.loop.ReceivedAt()
	c.slots = append(c.slots, sl)
	if sl.id, err = c.s.front.Submit(in); err != nil {
		c.slots = c.slots[:len(c.slots)-1]
	}
	return err
}

// SetPolicy implements state.PolicyRecorder.
func (sl *slot) SetPolicy(policy uint64) { sl.policy, sl.taken = policy, true }

// Served implements state.Caller.
func (sl *slot) Served(body []byte) { sl.give(sl.c.speaks.served(sl, body)) }

// Refused implements state.Caller.
func (sl *slot) Refused(comeBack time.Duration) { sl.give(sl.c.speaks.refused(sl, comeBack)) }

// Failed implements state.Caller.
func (sl *slot) Failed() { sl.give(sl.c.speaks.failed(sl)) }

// BadRequest implements state.Caller.
func (sl *slot) BadRequest(body []byte) { sl.give(sl.c.speaks.unfit(sl, body)) }

// ClientConnected implements state.ClientChecker: the poller marks a connection that its client has closed, ahead of the loop.
func (sl *slot) ClientConnected() bool {
	return sl.c.phase != phaseClosed && (sl.c.quits || sl.c.conn.IsActive())
}

// give notes an answer and writes all that are next in order.
func (sl *slot) give(answer []byte) {
	c := sl.c
	sl.done, sl.answer = true, answer
	n, out := 0, []byte(nil)
	last := false
	for ; n < len(c.slots) && c.slots[n].done; n++ {
		last = c.slots[n].last
		if out == nil {
			out = c.slots[n].answer
		} else {
			out = append(out, c.slots[n].answer...)
		}
	}
	if n == 0 {
		return
	}
	held := len(c.slots) >= c.speaks.pipelines() || c.admin
	c.slots = append(c.slots[:0], c.slots[n:]...)
	c.write(out)
	if last {
		c.s.deadlines.Set(&c.timer, c.s.clock.Now()+lingerFor, c.hangUp)
	}
	if held { // queries may wait in the buffer for room
		c.s.loop.Post(c.parse)
	}
	if c.s.leaving() && len(c.slots) == 0 {
		c.s.loop.Post(c.closeIdle)
	}
	c.settle()
}

// write sends bytes. The socket's buffer has room for several of the largest answers: only a client that has
// stopped reading makes a write wait, and it is given up after writePatience.
func (c *client) write(b []byte) {
	if c.phase == phaseClosed || len(b) == 0 {
		return
	}
	if _, err := c.conn.Write(b); err != nil {
		c.hangUp()
	}
}

// leave gives the client a last word, behind the answers that are still due: what it asked before it broke the
// protocol has been taken. The connection closes only once the client has had the time to read that.
func (c *client) leave(why end, text string) {
	if c.phase >= phaseLeaving {
		return
	}
	c.phase = phaseLeaving
	c.s.deadlines.Clear(&c.timer)
	sl := &slot{c: c, last: true}
	c.slots = append(c.slots, sl)
	sl.give(c.speaks.fatal(why, text))
}

// closeIdle closes a connection that owes nothing.
func (c *client) closeIdle() {
	if c.phase != phaseClosed && len(c.slots) == 0 && len(c.in.bytes) == 0 && c.conn.Reader().Len() == 0 {
		c.close()
	}
}

// close ends a connection that owes nothing, as far as the loop has heard; see quit.
func (c *client) close() {
	if c.phase != phaseClosed && !c.quits {
		c.quits, c.had = true, len(c.in.bytes)
		c.conn.Close()
	}
}

func (c *client) abandon() {
	for _, sl := range c.slots {
		if sl.stream != nil {
			sl.stream.Stop()
		}
		if !sl.done && sl.id != 0 {
			c.s.front.Abandon(sl.id)
		}
	}
	c.slots = nil
}

// hangUp closes the connection from this side, closed follows.
func (c *client) hangUp() {
	if c.phase == phaseClosed {
		return
	}
	c.closed()
	c.conn.Close()
}

// closed forgets the connection; what it has asked is abandoned.
func (c *client) closed() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	c.s.deadlines.Clear(&c.timer)
	c.s.deadlines.Clear(&c.room)
	c.abandon()
	c.in.bytes = nil
	c.speaks.gone(c)
	c.account()
	c.settle()
	delete(c.s.clients, c)
	if c.full {
		c.s.excess--
	}
}
