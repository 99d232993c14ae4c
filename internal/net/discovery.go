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

	minCallInterval = 100 * time.Millisecond // between calls; the service ends a watch if the next call comes over 200 ms late

	// Longer bodies are parsed outside the loop, with pauses: a list of thousands would hold the loop up.
	longBodyBytes = 16 << 10
	parsePause    = 200 * time.Microsecond
)

// Discovery fetches and watches the list of databases. It implements state.Watcher.
type Discovery struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	engine    *state.Engine
	address   string
	schedule  limit.CallSchedule // the timeouts of calls
	dial      func(address string, then func(netpoll.Connection, error))

	conn            netpoll.Connection
	input           buffer
	parser          discovery.Parser
	output          *writeQueue
	request         []byte // the last request, whose memory is reused
	calling         bool
	parsing         bool // a long list is being parsed outside the loop
	parseCount      int  // number of parses started; the result of an earlier one is ignored
	watching        bool
	calledAt        time.Duration
	firstCall       bool // the current call is the first of its watch
	generation      int64
	timer           state.Deadline
	connectionCount int // number of connections made and ended; events of earlier connections are ignored
}

// NewDiscovery returns a client of the discovery service. generation is that of the list already known; maxDelay is
// the time within which a change has to be known here, as in logic.Config.ListMaxDelay.
func NewDiscovery(loop *Loop, clock state.Clock, engine *state.Engine, address string, generation int64, maxDelay time.Duration) *Discovery {
	return &Discovery{loop: loop, clock: clock, deadlines: &engine.Deadlines, engine: engine, address: address,
		generation: generation, schedule: limit.CallSchedule{MaxDelay: maxDelay},
		dial: func(address string, done func(netpoll.Connection, error)) { connect(loop, address, dialTimeout, done) }}
}

// Watch implements state.Watcher.
func (d *Discovery) Watch(enabled bool) {
	d.watching = enabled
	if enabled {
		d.startCall()
	}
}

// Fetch implements state.Watcher.
func (d *Discovery) Fetch() {
	d.generation = discovery.NoGeneration
	d.startCall()
}

// SetAddress switches to a service at another address at once, because the service at the old one may end at any
// time. The whole list is fetched first: the generations of the two services are unrelated.
func (d *Discovery) SetAddress(address string) {
	d.abortCall()
	d.address, d.watching = address, true
	d.Fetch()
}

// startCall starts a watch with a call that is answered at once. It replaces a call that is under way.
func (d *Discovery) startCall() {
	if d.calling || d.parsing {
		d.abortCall()
	}
	d.firstCall = true
	d.deadlines.Clear(&d.timer)
	d.call()
}

func (d *Discovery) call() {
	d.calling, d.calledAt = true, d.clock.Now()
	wait, timeout := d.schedule.WatchTimeouts()
	if d.firstCall {
		wait, timeout = d.schedule.FirstCallTimeouts()
	}
	d.request = discovery.AppendRequest(d.request[:0], d.address, d.generation, wait)
	d.deadlines.Set(&d.timer, d.clock.Now()+timeout, func() { d.fail(errors.New("no answer within the timeout")) })
	if d.conn != nil {
		d.send()
		return
	}
	d.connectionCount++
	turn := d.connectionCount
	d.dial(d.address, func(conn netpoll.Connection, err error) { d.connected(turn, conn, err) })
}

func (d *Discovery) connected(turn int, conn netpoll.Connection, err error) {
	switch {
	case turn != d.connectionCount:
		if err == nil {
			conn.Close()
		}
		return
	case err != nil:
		d.fail(err)
		return
	}
	d.conn = conn
	d.output = newWriteQueue(d.loop, conn, nil, func(err error) {
		if turn == d.connectionCount {
			d.fail(err)
		}
	})
	attachCallbacks(d.loop, conn, func() { d.handleInput(turn) }, func() { d.connectionLost(turn) })
	d.send()
}

func (d *Discovery) send() {
	if err := d.output.write(d.request); err != nil {
		turn := d.connectionCount
		d.loop.Post(func() { // not directly: the engine may be in the middle of its own call
			if turn == d.connectionCount {
				d.fail(err)
			}
		})
	}
}

func (d *Discovery) handleInput(turn int) {
	if turn != d.connectionCount {
		return
	}
	if err := d.input.fill(d.conn.Reader()); err != nil {
		d.fail(err)
		return
	}
	r, n, err := d.parser.Next(d.input.bytes)
	switch {
	case err != nil:
		d.fail(err)
	case n > 0 && !d.calling:
		d.fail(errors.New("answer without a call"))
	case n > 0:
		d.handleResponse(r, n)
	}
}

// handleResponse handles a complete response of n bytes. A long list is parsed outside the loop.
func (d *Discovery) handleResponse(r discovery.Response, n int) {
	if r.Status != 200 {
		d.fail(fmt.Errorf("status %d", r.Status))
		return
	}
	if len(r.Body) <= longBodyBytes {
		l, err := discovery.ParseList(r.Body)
		d.input.discard(n)
		d.applyList(l, err, r.Close)
		return
	}
	body := bytes.Clone(r.Body)
	d.input.discard(n)
	d.deadlines.Clear(&d.timer)
	d.calling, d.parsing = false, true
	if r.Close {
		d.disconnect()
	}
	d.parseCount++
	reading := d.parseCount
	go func() {
		l, err := discovery.ParseListWithPauses(body, func() { time.Sleep(parsePause) })
		d.loop.Post(func() {
			if d.parsing && reading == d.parseCount {
				d.applyList(l, err, false)
			}
		})
	}()
}

// applyList puts a list into effect and continues the watch.
func (d *Discovery) applyList(list discovery.List, err error, closeAfter bool) {
	if err != nil {
		d.fail(err)
		return
	}
	d.deadlines.Clear(&d.timer)
	d.calling, d.parsing = false, false
	if closeAfter {
		d.disconnect()
	}
	// A list older than the known one would undo drains. But the service may also have restarted its generations:
	// then its whole list, requested without a generation, is authoritative.
	older := d.generation != discovery.NoGeneration && list.Generation < d.generation
	if d.firstCall = older; older {
		slog.Warn("discovery tells an older list than the one in hand; the whole list is asked for", "generation", list.Generation, "in_hand", d.generation)
		list.Generation = discovery.NoGeneration
	}
	d.generation = list.Generation
	if d.watching {
		// The watch continues if the next call follows soon. A service that answers at once must still not be called
		// in a tight loop: it serves all proxies, one call after the other.
		d.deadlines.Set(&d.timer, max(d.calledAt+minCallInterval, d.clock.Now()), d.call)
	}
	if !older {
		d.engine.UpdateList(ConvertList(list))
	}
}

// ConvertList converts a list of the discovery service to a state.List.
func ConvertList(l discovery.List) state.List {
	converted := state.List{Kind: logic.ListDelta}
	if l.Whole {
		converted.Kind = logic.ListFull
	}
	for _, e := range l.Instances {
		s := logic.Ready
		switch e.Lifecycle {
		case discovery.Terminating:
			s = logic.Draining
		case discovery.Terminated:
			s = logic.Gone
		}
		converted.Entries = append(converted.Entries, state.Entry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group,
			State: s, Size: e.Weight, Started: time.Duration(e.StartedMs) * time.Millisecond})
	}
	return converted
}

// connectionLost handles a connection that the service has closed. It may do so between two calls; the next call
// opens another one, and the watch continues.
func (d *Discovery) connectionLost(turn int) {
	switch {
	case turn != d.connectionCount:
	case d.calling:
		d.fail(errors.New("connection lost"))
	default:
		d.disconnect()
	}
}

// fail ends a watch with an error; the engine decides when to ask again.
func (d *Discovery) fail(err error) {
	active := d.calling || d.parsing || d.watching
	d.watching = false
	d.abortCall()
	if active {
		d.engine.ListFailed(err)
	}
}

func (d *Discovery) abortCall() {
	d.calling, d.parsing = false, false
	d.deadlines.Clear(&d.timer)
	d.disconnect()
}

func (d *Discovery) disconnect() {
	d.input.discard(len(d.input.bytes))
	d.parser = discovery.Parser{}
	d.connectionCount++
	if d.conn != nil {
		conn := d.conn
		d.conn = nil
		d.output.close()
		conn.Close()
	}
}
