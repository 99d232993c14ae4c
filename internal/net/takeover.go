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
	takeoverDialTimeout    = 500 * time.Millisecond // timeout of a dial to another proxy
	takeoverRedialDelay    = 100 * time.Millisecond // delay before a redial, doubled each time, with jitter
	takeoverMaxRedialDelay = 2 * time.Second
	maxQueuedTakeoverBytes = 1 << 20               // bytes queued for a link that is being made; beyond, messages are dropped, which can happen to any message
	takeoverFrameBytes     = 256 << 10             // approximate bytes of a frame
	takeoverTickInterval   = 25 * time.Millisecond // of the registry's clock: several times in each of its resend intervals
	maxTakeoverConns       = 4096                  // links from other proxies; further ones are rejected
)

// TakeoverTransport carries messages about requests in progress between a tier's proxies: it has a link to each
// member that there are messages for, and a listener for the links of others. takeover.Registry makes all decisions.
// All methods run on the loop.
type TakeoverTransport struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	registry  *takeover.Registry
	execute   func(takeover.Action)
	listener  *listener
	open      atomic.Int64

	self      takeover.Member
	addresses map[takeover.Member]string
	links     map[takeover.Member]*takeoverLink
	tickTimer state.Deadline
	flushing  bool // Flush is running
	closed    bool

	// Counters count messages and frames since the start.
	Counters TakeoverCounters
}

// TakeoverCounters count messages, except where noted.
type TakeoverCounters struct {
	Sent, Received uint64
	Dropped        uint64 // messages that no link accepted
	Invalid        uint64 // invalid frames, and messages of a sender that is not a member
}

// ListenTakeover opens the address that the tier's other proxies connect to. execute carries out the registry's
// actions; it is called on the loop.
func ListenTakeover(loop *Loop, clock state.Clock, deadlines *state.Deadlines, address string, cfg takeover.Config, execute func(takeover.Action)) (*TakeoverTransport, error) {
	t := &TakeoverTransport{loop: loop, clock: clock, deadlines: deadlines, registry: takeover.New(cfg), execute: execute, addresses: map[takeover.Member]string{},
		links: map[takeover.Member]*takeoverLink{}}
	ln, err := stdnet.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if t.listener, err = serveListener(ln, maxTakeoverConns, &t.open, t.accept); err != nil {
		return nil, err
	}
	return t, nil
}

// Start starts the registry's clock.
func (t *TakeoverTransport) Start() { t.tick() }

// Address returns the address that it listens on.
func (t *TakeoverTransport) Address() string { return t.listener.Addr().String() }

// Registry returns the registry. Callers of its methods have to call Flush afterwards.
func (t *TakeoverTransport) Registry() *takeover.Registry { return t.registry }

// Close closes all links and stops listening.
func (t *TakeoverTransport) Close() {
	t.closed = true
	t.deadlines.Clear(&t.tickTimer)
	for m := range t.links {
		t.removeLink(m)
	}
	t.listener.shutdown()
}

func (t *TakeoverTransport) tick() {
	if t.closed {
		return
	}
	t.registry.Tick(t.clock.Now())
	t.Flush()
	t.deadlines.Set(&t.tickTimer, t.clock.Now()+takeoverTickInterval, t.tick)
}

// SetMembership sets the known members. It may be called again with the same ones; self is 0 for a proxy that is not
// a member.
func (t *TakeoverTransport) SetMembership(self rollout.Member, membership rollout.Membership, retention time.Duration) {
	known := takeover.Membership{Self: takeover.Member(self), Version: membership.Version, Until: membership.ValidUntil, Retention: retention}
	clear(t.addresses)
	for _, member := range membership.Members {
		if member.Address != "" {
			t.addresses[takeover.Member(member.Member)] = member.Address
			known.Members = append(known.Members, takeover.Member(member.Member))
		}
	}
	for _, past := range membership.Past {
		p := takeover.PastMembers{Left: past.Remaining}
		for _, m := range past.Members {
			p.Members = append(p.Members, takeover.Member(m))
		}
		known.Past = append(known.Past, p)
	}
	for m := range t.links {
		if t.addresses[m] == "" {
			t.removeLink(m)
		}
	}
	t.self = known.Self
	t.registry.SetMembership(t.clock.Now(), known)
	t.Flush()
}

// Flush sends the registry's messages and executes its actions until there are none.
func (t *TakeoverTransport) Flush() {
	if t.flushing { // an action has called back into the registry: the loop below handles the results
		return
	}
	t.flushing = true
	defer func() { t.flushing = false }()
	for {
		ready := t.registry.TakeReady()
		if ready.Empty() {
			break
		}
		for _, envelope := range ready.Messages {
			t.queueMessage(envelope)
		}
		for _, action := range ready.Actions {
			t.execute(action)
		}
	}
	for _, l := range t.links {
		l.flush()
	}
}

func (t *TakeoverTransport) queueMessage(envelope takeover.Envelope) {
	address := t.addresses[envelope.To]
	if address == "" {
		t.Counters.Dropped++
		return
	}
	l := t.links[envelope.To]
	if l == nil {
		l = &takeoverLink{transport: t, to: envelope.To, address: address}
		t.links[envelope.To] = l
		l.dial()
	}
	size := len(envelope.Key) + 64
	if envelope.Work != nil {
		size += len(envelope.Work.Key) + len(envelope.Work.Statement) + len(envelope.Work.Class)
	}
	if envelope.Result != nil {
		size += len(envelope.Result.Value)
	}
	if l.queuedBytes+size > maxQueuedTakeoverBytes {
		t.Counters.Dropped++
		return
	}
	l.queue, l.queuedBytes = append(l.queue, envelope.Message), l.queuedBytes+size
}

func (t *TakeoverTransport) removeLink(m takeover.Member) {
	l := t.links[m]
	delete(t.links, m)
	l.removed = true
	t.deadlines.Clear(&l.redialTimer)
	if l.conn != nil {
		l.output.close()
		l.conn.Close()
	}
	t.Counters.Dropped += uint64(len(l.queue))
	t.registry.SetReachable(m, true) // nothing is known about it any more
}

// takeoverLink is the outgoing link to another proxy, whose own messages arrive on a link that it makes.
type takeoverLink struct {
	transport    *TakeoverTransport
	to           takeover.Member
	address      string
	conn         netpoll.Connection
	output       *writeQueue // of conn
	queue        []takeover.Message
	queuedBytes  int // approximate bytes in queue
	dialAttempts int
	connectedAt  time.Duration // when the link was connected
	redialTimer  state.Deadline
	removed      bool
}

func (l *takeoverLink) dial() {
	connect(l.transport.loop, l.address, takeoverDialTimeout, func(conn netpoll.Connection, err error) {
		switch {
		case l.removed:
			if err == nil {
				conn.Close()
			}
			return
		case err != nil:
			l.scheduleRedial()
			return
		}
		l.conn, l.connectedAt = conn, l.transport.clock.Now()
		l.output = newWriteQueue(l.transport.loop, conn, l.flush, func(error) { conn.Close() })
		attachCallbacks(l.transport.loop, conn, func() { conn.Reader().Skip(conn.Reader().Len()) }, func() {
			if l.conn == conn && !l.removed {
				l.output.close()
				l.conn = nil
				l.scheduleRedial()
			}
		})
		l.transport.registry.SetReachable(l.to, true)
		l.flush()
	})
}

func (l *takeoverLink) scheduleRedial() {
	l.transport.registry.SetReachable(l.to, false)
	now := l.transport.clock.Now()
	l.transport.deadlines.Set(&l.redialTimer, now+l.redialDelay(now), l.dial)
}

// redialDelay returns the time until the next dial.
func (l *takeoverLink) redialDelay(now time.Duration) time.Duration {
	if l.connectedAt > 0 && now-l.connectedAt >= takeoverMaxRedialDelay {
		l.dialAttempts = 0
	}
	l.connectedAt = 0
	pause := min(takeoverRedialDelay<<min(l.dialAttempts, 8), takeoverMaxRedialDelay)
	l.dialAttempts++
	// The jitter depends on both members, so that a proxy that comes back is not dialled by all others at once.
	part := float64((uint64(l.transport.self)*0x9e3779b97f4a7c15^uint64(l.to)*0xbf58476d1ce4e5b9)>>40) / (1 << 24)
	return time.Duration((0.5 + part) * float64(pause))
}

// flush writes the queued messages, several to a frame, once the peer has taken the ones before: what waits for it is
// bounded by maxQueuedTakeoverBytes.
func (l *takeoverLink) flush() {
	if l.conn == nil || len(l.queue) == 0 || l.output.len() > 0 {
		return
	}
	var frames []byte
	for from, size := 0, 0; from < len(l.queue); size = 0 {
		to := from
		for to < len(l.queue) && (to == from || size < takeoverFrameBytes) {
			if w := l.queue[to].Work; w != nil {
				size += len(w.Statement)
			}
			size += 256
			to++
		}
		frame, err := tier.Append(frames, &tier.Frame{Takeover: &tier.TakeoverMessages{From: l.transport.self, To: l.to, Messages: l.queue[from:to]}})
		if err != nil {
			l.transport.Counters.Dropped += uint64(to - from)
			slog.Warn("encoding messages to a member failed", "member", uint64(l.to), "error", err)
		} else {
			frames = frame
			l.transport.Counters.Sent += uint64(to - from)
		}
		from = to
	}
	clear(l.queue)
	l.queue, l.queuedBytes = l.queue[:0], 0
	if err := l.output.write(frames); err != nil {
		l.conn.Close()
	}
}

// clientKey is the key of a connection's inputHandler in its context.
type clientKey struct{}

// takeoverConn is a link made by another proxy.
type takeoverConn struct {
	transport *TakeoverTransport
	conn      netpoll.Connection
	input     buffer
}

func (t *TakeoverTransport) accept(ctx context.Context, conn netpoll.Connection) context.Context {
	return context.WithValue(ctx, clientKey{}, &takeoverConn{transport: t, conn: conn})
}

func (c *takeoverConn) handleInput() {
	if err := c.input.fill(c.conn.Reader()); err != nil {
		c.conn.Close()
		return
	}
	used := 0
	for !c.transport.closed {
		f, n, err := tier.Next(c.input.bytes[used:])
		if err != nil {
			c.transport.Counters.Invalid++
			c.conn.Close()
			return
		}
		if n == 0 {
			break
		}
		used += n
		c.transport.receive(f.Takeover)
	}
	c.input.discard(used)
	c.transport.Flush()
}

// receive handles messages of another proxy. Only messages of members to this very member are accepted: a proxy that
// has rejoined gets none that were sent to its previous membership. A sender that is not known yet sends its messages
// again.
func (t *TakeoverTransport) receive(work *tier.TakeoverMessages) {
	if work == nil || t.self == 0 || work.To != t.self || t.addresses[work.From] == "" || work.From == t.self {
		t.Counters.Invalid++
		return
	}
	for _, m := range work.Messages {
		t.Counters.Received++
		t.registry.Receive(t.clock.Now(), work.From, m)
	}
}
