package net

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
	"havenproxy/logic"
)

const (
	dialTimeout = time.Second

	minPeriod = 100 * time.Millisecond // of calls; a watch ends where the next one is over 200 ms late

	// A body of more bytes is read beside the loop, with pauses: a list of thousands would hold it up.
	longBody  = 16 << 10
	bodyPause = 200 * time.Microsecond
)

// Discovery asks for the list of databases. It implements state.Watcher.
type Discovery struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	front     *state.Engine
	address   string
	times     limit.CallSchedule // how long calls may take
	dial      func(address string, then func(netpoll.Connection, error))

	conn       netpoll.Connection
	in         buffer
	parser     discovery.Parser
	out        []byte
	calling    bool
	reading    bool // a long list is read beside the loop
	readings   int  // counts those; the outcome of an earlier one is void
	watching   bool
	calledAt   time.Duration
	first      bool // the call in hand is the first of its watch
	generation int64
	timer      state.Deadline
	turn       int // counts connections; what an earlier one still has to say is void
}

// NewDiscovery makes the client; generation is that of the list in hand, bound by when a change has to be known here, as
// logic.Config.ListMaxDelay has it.
func NewDiscovery(loop *Loop, clock state.Clock, front *state.Engine, address string, generation int64, bound time.Duration) *Discovery {
	return &Discovery{loop: loop, clock: clock, deadlines: &front.Deadlines, front: front, address: address,
		generation: generation, times: limit.CallSchedule{PropagationBound: bound},
		dial: func(address string, then func(netpoll.Connection, error)) { connect(loop, address, dialTimeout, then) }}
}

// Watch implements state.Watcher.
func (d *Discovery) Watch(on bool) {
	d.watching = on
	if on {
		d.begin()
	}
}

// Fetch implements state.Watcher.
func (d *Discovery) Fetch() {
	d.generation = discovery.NoList
	d.begin()
}

// SetAddress goes on at another address, at once: the service at the old one may end any time. The whole list comes
// first, for generations there need not be those of the old one.
func (d *Discovery) SetAddress(address string) {
	d.hangUp()
	d.address, d.watching = address, true
	d.Fetch()
}

// begin starts with a call that is answered at once. One that is under way gives way to it.
func (d *Discovery) begin() {
	if d.calling || d.reading {
		d.hangUp()
	}
	d.first = true
	d.deadlines.Clear(&d.timer)
	d.call()
}

func (d *Discovery) call() {
	d.calling, d.calledAt = true, d.clock.Now()
	wait, patient := d.times.WatchTimeouts()
	if d.first {
		wait, patient = d.times.FirstCallTimeouts()
	}
	d.out = discovery.AppendRequest(d.out[:0], d.address, d.generation, wait)
	d.deadlines.Set(&d.timer, d.clock.Now()+patient, func() { d.failed(errors.New("no answer in time")) })
	if d.conn != nil {
		d.send()
		return
	}
	d.turn++
	turn := d.turn
	d.dial(d.address, func(conn netpoll.Connection, err error) { d.connected(turn, conn, err) })
}

func (d *Discovery) connected(turn int, conn netpoll.Connection, err error) {
	switch {
	case turn != d.turn:
		if err == nil {
			conn.Close()
		}
		return
	case err != nil:
		d.failed(err)
		return
	}
	d.conn = conn
	attach(d.loop, conn, func() { d.readable(turn) }, func() { d.lost(turn) })
	d.send()
}

func (d *Discovery) send() {
	if _, err := d.conn.Write(d.out); err != nil {
		turn := d.turn
		d.loop.Post(func() { // never from within the router's call
			if turn == d.turn {
				d.failed(err)
			}
		})
	}
}

func (d *Discovery) readable(turn int) {
	if turn != d.turn {
		return
	}
	if err := d.in.fill(d.conn.Reader()); err != nil {
		d.failed(err)
		return
	}
	r, n, err := d.parser.Next(d.in.bytes)
	switch {
	case err != nil:
		d.failed(err)
	case n > 0 && !d.calling:
		d.failed(errors.New("an answer without a call"))
	case n > 0:
		d.answered(r, n)
	}
}

// answered takes a whole answer of n bytes. A long list is read beside the loop.
func (d *Discovery) answered(r discovery.Response, n int) {
	if r.Status != 200 {
		d.failed(fmt.Errorf("status %d", r.Status))
		return
	}
	if len(r.Body) <= longBody {
		l, err := discovery.ParseList(r.Body)
		d.in.cut(n)
		d.take(l, err, r.Close)
		return
	}
	body := bytes.Clone(r.Body)
	d.in.cut(n)
	d.deadlines.Clear(&d.timer)
	d.calling, d.reading = false, true
	if r.Close {
		d.disconnect()
	}
	d.readings++
	reading := d.readings
	go func() {
		l, err := discovery.ParseListInSteps(body, func() { time.Sleep(bodyPause) })
		d.loop.Post(func() {
			if d.reading && reading == d.readings {
				d.take(l, err, false)
			}
		})
	}()
}

// take puts a list into effect, and goes on with the watch.
func (d *Discovery) take(l discovery.List, err error, closes bool) {
	if err != nil {
		d.failed(err)
		return
	}
	d.deadlines.Clear(&d.timer)
	d.calling, d.reading = false, false
	if closes {
		d.disconnect()
	}
	// A list older than the one in hand would undo drains that are known. The service may as well count anew: then its whole list, asked for
	// without a generation, is the one that counts.
	older := d.generation != discovery.NoList && l.Generation < d.generation
	if d.first = older; older {
		slog.Warn("discovery tells an older list than the one in hand; the whole list is asked for", "generation", l.Generation, "in_hand", d.generation)
		l.Generation = discovery.NoList
	}
	d.generation = l.Generation
	if d.watching {
		// The watch goes on if the next call follows closely. A service that answers at once all the same must
		// not be called in a tight loop: it serves all proxies, one call after the other.
		d.deadlines.Set(&d.timer, max(d.calledAt+minPeriod, d.clock.Now()), d.call)
	}
	if !older {
		d.front.UpdateList(ConvertList(l))
	}
}

// ConvertList puts a list into the terms of the state.
func ConvertList(l discovery.List) state.List {
	out := state.List{Kind: logic.ListDelta}
	if l.Whole {
		out.Kind = logic.ListFull
	}
	for _, e := range l.Instances {
		s := logic.Ready
		switch e.Lifecycle {
		case discovery.Terminating:
			s = logic.Draining
		case discovery.Terminated:
			s = logic.Gone
		}
		out.Entries = append(out.Entries, state.Entry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group,
			State: s, Size: e.Weight, Started: time.Duration(e.StartedMs) * time.Millisecond})
	}
	return out
}

// lost notes that the service has closed the connection. Between two calls it may do so; the next one opens
// another, and the watch goes on.
func (d *Discovery) lost(turn int) {
	switch {
	case turn != d.turn:
	case d.calling:
		d.failed(errors.New("connection lost"))
	default:
		d.disconnect()
	}
}

// failed ends a watch; the router asks again when it sees fit.
func (d *Discovery) failed(err error) {
	was := d.calling || d.reading || d.watching
	d.watching = false
	d.hangUp()
	if was {
		d.front.ListFailed(err)
	}
}

func (d *Discovery) hangUp() {
	d.calling, d.reading = false, false
	d.deadlines.Clear(&d.timer)
	d.disconnect()
}

func (d *Discovery) disconnect() {
	d.in.cut(len(d.in.bytes))
	d.parser = discovery.Parser{}
	d.turn++
	if d.conn != nil {
		conn := d.conn
		d.conn = nil
		conn.Close()
	}
}
