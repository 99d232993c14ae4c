package net

import (
	"context"
	"log/slog"
	stdnet "net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/takeover"
	"havenproxy/internal/wire/tier"
)

const (
	workDial    = 500 * time.Millisecond // that another proxy may take to answer a dial
	workAgain   = 100 * time.Millisecond // before it is dialled anew, doubled each time, with jitter
	workMost    = 2 * time.Second
	workOut     = 1 << 20               // bytes that wait for a link that is being made; beyond, messages are lost, as they may be anywhere
	workAtOnce  = 256 << 10             // bytes of a frame, about
	workBeat    = 25 * time.Millisecond // of the book's clock: a few times in each of its Again
	workClients = 4096                  // links from others; beyond, further ones are turned away
)

// TakeoverTransport carries what a tier's proxies say to one another of work in hand: a link to each member that there is something to tell, and a listener for
// theirs. It decides nothing: takeover.Registry does. All of it runs on the loop.
type TakeoverTransport struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	book      *takeover.Registry
	do        func(takeover.Action)
	listener  *listener
	open      atomic.Int64

	self   takeover.Member
	where  map[takeover.Member]string
	links  map[takeover.Member]*workLink
	beat   state.Deadline
	busy   bool // flush is under way
	closed bool

	// Counters tell what the links have seen; they only grow.
	Counters TakeoverCounters
}

// TakeoverCounters count messages, but where they say else.
type TakeoverCounters struct {
	Sent, Received uint64
	Dropped        uint64 // that no link took
	Invalid        uint64 // frames that could not be read, or came from who is no member
}

// ListenTakeover opens the address where the tier's other proxies come. do carries out what the book orders; it is called on the loop.
func ListenTakeover(loop *Loop, clock state.Clock, deadlines *state.Deadlines, address string, cfg takeover.Config, do func(takeover.Action)) (*TakeoverTransport, error) {
	w := &TakeoverTransport{loop: loop, clock: clock, deadlines: deadlines, book: takeover.New(cfg), do: do, where: map[takeover.Member]string{},
		links: map[takeover.Member]*workLink{}}
	ln, err := stdnet.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if w.listener, err = serve(ln, workClients, &w.open, func() {}, w.accept, nil); err != nil {
		return nil, err
	}
	return w, nil
}

// Start begins to watch what is kept here.
func (w *TakeoverTransport) Start() { w.tick() }

// Address is where it listens.
func (w *TakeoverTransport) Address() string { return w.listener.Addr().String() }

// Registry gives the decisions. Whoever calls them calls Flush behind that.
func (w *TakeoverTransport) Registry() *takeover.Registry { return w.book }

// Close ends all links.
func (w *TakeoverTransport) Close() {
	w.closed = true
	w.deadlines.Clear(&w.beat)
	for m := range w.links {
		w.forget(m)
	}
	w.listener.end()
}

func (w *TakeoverTransport) tick() {
	if w.closed {
		return
	}
	w.book.Tick(w.clock.Now())
	w.Flush()
	w.deadlines.Set(&w.beat, w.clock.Now()+workBeat, w.tick)
}

// SetMembership takes what is known of the members. It may be called with the same again; self is 0 for a proxy that is none.
func (w *TakeoverTransport) SetMembership(self rollout.Member, t rollout.Membership, life time.Duration) {
	known := takeover.Membership{Self: takeover.Member(self), Version: t.Version, Until: t.ValidUntil, Retention: life}
	clear(w.where)
	for _, s := range t.Members {
		if s.Address != "" {
			w.where[takeover.Member(s.Member)] = s.Address
			known.Members = append(known.Members, takeover.Member(s.Member))
		}
	}
	for _, v := range t.Past {
		p := takeover.PastMembers{Left: v.Remaining}
		for _, m := range v.Members {
			p.Members = append(p.Members, takeover.Member(m))
		}
		known.Past = append(known.Past, p)
	}
	for m := range w.links {
		if w.where[m] == "" {
			w.forget(m)
		}
	}
	w.self = known.Self
	w.book.SetMembership(w.clock.Now(), known)
	w.Flush()
}

// Flush sends what the book has to say and carries out its orders, until there are no more.
func (w *TakeoverTransport) Flush() {
	if w.busy { // an order's way back into the book: the loop below goes on with it
		return
	}
	w.busy = true
	defer func() { w.busy = false }()
	for {
		ready := w.book.TakeReady()
		if ready.Empty() {
			break
		}
		for _, s := range ready.Messages {
			w.tell(s)
		}
		for _, o := range ready.Actions {
			w.do(o)
		}
	}
	for _, l := range w.links {
		l.flush()
	}
}

func (w *TakeoverTransport) tell(s takeover.Envelope) {
	address := w.where[s.To]
	if address == "" {
		w.Counters.Dropped++
		return
	}
	l := w.links[s.To]
	if l == nil {
		l = &workLink{w: w, to: s.To, address: address}
		w.links[s.To] = l
		l.dial()
	}
	size := len(s.Key) + 64
	if s.Work != nil {
		size += len(s.Work.Key) + len(s.Work.Statement) + len(s.Work.Class)
	}
	if s.Result != nil {
		size += len(s.Result.Value)
	}
	if l.bytes+size > workOut {
		w.Counters.Dropped++
		return
	}
	l.out, l.bytes = append(l.out, s.Message), l.bytes+size
}

func (w *TakeoverTransport) forget(m takeover.Member) {
	l := w.links[m]
	delete(w.links, m)
	l.gone = true
	w.deadlines.Clear(&l.redial)
	if l.conn != nil {
		l.conn.Close()
	}
	w.Counters.Dropped += uint64(len(l.out))
	w.book.SetReachable(m, true) // nothing is known of it any more
}

// workLink is the way to one other proxy. What that one says comes on a link of its own.
type workLink struct {
	w       *TakeoverTransport
	to      takeover.Member
	address string
	conn    netpoll.Connection
	out     []takeover.Message
	bytes   int // of them, about
	tries   int
	since   time.Duration // when the link came up
	redial  state.Deadline
	gone    bool
}

func (l *workLink) dial() {
	connect(l.w.loop, l.address, workDial, func(conn netpoll.Connection, err error) {
		switch {
		case l.gone:
			if err == nil {
				conn.Close()
			}
			return
		case err != nil:
			l.again()
			return
		}
		l.conn, l.since = conn, l.w.clock.Now()
		attach(l.w.loop, conn, func() { conn.Reader().Skip(conn.Reader().Len()) }, func() {
			if l.conn == conn && !l.gone {
				l.conn = nil
				l.again()
			}
		})
		l.w.book.SetReachable(l.to, true)
		l.flush()
	})
}

func (l *workLink) again() {
	l.w.book.SetReachable(l.to, false)
	now := l.w.clock.Now()
	l.w.deadlines.Set(&l.redial, now+l.pause(now), l.dial)
}

// pause tells how long to wait with the next dial.
func (l *workLink) pause(now time.Duration) time.Duration {
	if l.since > 0 && now-l.since >= workMost { // one that stands still takes dials and reads nothing: each such link stops the loop for a write's patience
		l.tries = 0
	}
	l.since = 0
	pause := min(workAgain<<min(l.tries, 8), workMost)
	l.tries++
	// Jitter by who dials whom, so that a proxy that comes back isn't dialled by all at once.
	part := float64((uint64(l.w.self)*0x9e3779b97f4a7c15^uint64(l.to)*0xbf58476d1ce4e5b9)>>40) / (1 << 24)
	return time.Duration((0.5 + part) * float64(pause))
}

// flush writes what waits, several messages to a frame.
func (l *workLink) flush() {
	if l.conn == nil || len(l.out) == 0 {
		return
	}
	var text []byte
	for from, size := 0, 0; from < len(l.out); size = 0 {
		to := from
		for to < len(l.out) && (to == from || size < workAtOnce) {
			if w := l.out[to].Work; w != nil {
				size += len(w.Statement)
			}
			size += 256
			to++
		}
		frame, err := tier.Append(text, &tier.Frame{Work: &tier.Work{From: l.w.self, To: l.to, Messages: l.out[from:to]}})
		if err != nil {
			l.w.Counters.Dropped += uint64(to - from)
			slog.Warn("what a proxy was to be told can't be sent", "member", uint64(l.to), "error", err)
		} else {
			text = frame
			l.w.Counters.Sent += uint64(to - from)
		}
		from = to
	}
	clear(l.out)
	l.out, l.bytes = l.out[:0], 0
	if _, err := l.conn.Write(text); err != nil {
		l.conn.Close()
	}
}

// workConn is a link that another proxy has made.
type workConn struct {
	w    *TakeoverTransport
	conn netpoll.Connection
	in   buffer
}

func (w *TakeoverTransport) accept(ctx context.Context, conn netpoll.Connection) context.Context {
	return context.WithValue(ctx, clientKey{}, &workConn{w: w, conn: conn})
}

func (c *workConn) readable() {
	if err := c.in.fill(c.conn.Reader()); err != nil {
		c.conn.Close()
		return
	}
	used := 0
	for !c.w.closed {
		f, n, err := tier.Next(c.in.bytes[used:])
		if err != nil {
			c.w.Counters.Invalid++
			c.conn.Close()
			return
		}
		if n == 0 {
			break
		}
		used += n
		c.w.heard(f.Work)
	}
	c.in.cut(used)
	c.w.Flush()
}

// heard takes what another proxy says. Only members are heard, and only what is for this very membership: a proxy that has joined anew has nothing of
// what was said to it before. One that isn't known yet says it again.
func (w *TakeoverTransport) heard(x *tier.Work) {
	if x == nil || w.self == 0 || x.To != w.self || w.where[x.From] == "" || x.From == w.self {
		w.Counters.Invalid++
		return
	}
	for _, m := range x.Messages {
		w.Counters.Received++
		w.book.Receive(w.clock.Now(), x.From, m)
	}
}
