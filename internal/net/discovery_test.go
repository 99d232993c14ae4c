package net

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration  { return c.now }
func (c *manualClock) Unix() time.Duration { return c.now + 1767225600*time.Second }

// serviceMode is how the discovery service treats calls.
type serviceMode int

const (
	modeAnswers       serviceMode = iota
	modeRefuses                   // nothing listens
	modeHangs                     // dials time out
	modeSilent                    // it accepts the call and never answers
	modeResets                    // the connection is reset during the call
	modeUnavailable               // 503, after a delay
	modePartialAnswer             // the answer stops half way for good
	modeCount
)

// discoveryService is a discovery service on the test's clock, with one proxy that calls it.
type discoveryService struct {
	clock     *manualClock
	rng       *rand.Rand
	engine    *state.Engine
	loop      *Loop
	deadlines state.Deadlines
	mode      serviceMode

	address    string // the current address
	staleCalls int    // calls to a previous address
	client     *Discovery
	waiting    []*serviceConn // calls that wait for a change
	generation int64
	draining   []string // draining databases, in the order of their drains
	calls      []time.Duration
}

// serviceConn is a connection to the service.
type serviceConn struct {
	netpoll.Connection
	service    *discoveryService
	address    string // the address that was dialled
	input      *netpoll.LinkBuffer
	onRequest  netpoll.OnRequest
	onClose    netpoll.CloseCallback
	closed     bool
	silent     bool
	generation int64
}

func (l *serviceConn) Reader() netpoll.Reader                         { return l.input }
func (l *serviceConn) IsActive() bool                                 { return !l.closed }
func (l *serviceConn) SetOnRequest(f netpoll.OnRequest) error         { l.onRequest = f; return nil }
func (l *serviceConn) AddCloseCallback(f netpoll.CloseCallback) error { l.onClose = f; return nil }

func (l *serviceConn) Close() error {
	if !l.closed {
		l.closed = true
		if l.onClose != nil { // the loop has attached its callbacks
			l.onClose(l)
		}
	}
	return nil
}

func (s *discoveryService) after(d time.Duration, f func()) {
	s.deadlines.Set(&state.Deadline{}, s.clock.now+d, f)
}

func (s *discoveryService) randomDuration(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

func (s *discoveryService) dial(to string, then func(netpoll.Connection, error)) {
	switch s.mode {
	case modeRefuses:
		s.after(s.randomDuration(5*time.Millisecond), func() { then(nil, errors.New("refused")) })
	case modeHangs:
		s.after(dialTimeout, func() { then(nil, errors.New("timed out")) })
	default:
		l := &serviceConn{service: s, address: to, input: netpoll.NewLinkBuffer()}
		s.after(s.randomDuration(3*time.Millisecond), func() { then(l, nil) })
	}
}

func (l *serviceConn) Write(b []byte) (int, error) {
	s := l.service
	s.calls = append(s.calls, s.clock.now)
	if l.address != "" && l.address != s.address {
		s.staleCalls++
	}
	path := strings.Fields(string(b))[1]
	l.generation = discovery.NoGeneration
	wait := time.Duration(0)
	if _, query, found := strings.Cut(path, "?"); found {
		for _, kv := range strings.Split(query, "&") {
			k, v, _ := strings.Cut(kv, "=")
			n, _ := strconv.ParseInt(v, 10, 64)
			if k == "after" {
				l.generation = n
			} else {
				wait = time.Duration(n) * time.Millisecond
			}
		}
	}
	switch s.mode {
	case modeAnswers:
		if l.generation == discovery.NoGeneration || l.generation < s.generation {
			s.after(s.randomDuration(200*time.Millisecond), l.sendList)
			break
		}
		s.waiting = append(s.waiting, l)
		s.after(wait, func() {
			if i := slices.Index(s.waiting, l); i >= 0 {
				s.waiting = slices.Delete(s.waiting, i, i+1)
				l.sendList()
			}
		})
	case modeResets:
		s.after(s.randomDuration(time.Second), l.reset)
	case modeUnavailable:
		s.after(s.randomDuration(2*time.Second), func() { l.sendPieces("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") })
	case modePartialAnswer:
		s.after(s.randomDuration(time.Second), func() { l.sendPieces("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"genera") })
	}
	return len(b), nil
}

// sendList answers with the list, in one of the formats that it may have.
func (l *serviceConn) sendList() {
	s := l.service
	entries := []string{}
	changed := l.generation == discovery.NoGeneration || l.generation < s.generation
	for _, name := range s.draining {
		if !changed {
			break
		}
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":"a:1","lifecycle":"terminating"}`, name))
	}
	body := fmt.Sprintf("{\n \"generation\": %d,\"reset\":%v, \"instances\": [%s] }\n", s.generation, changed && s.rng.IntN(2) == 0, strings.Join(entries, ",\n  "))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	switch s.rng.IntN(3) {
	case 0: // without a length: the connection is closed after the body
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		defer l.reset()
	case 1:
		head, body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	l.sendPieces(head + body)
}

func (l *serviceConn) sendPieces(text string) {
	if l.closed || l.silent {
		return
	}
	for len(text) > 0 && !l.closed {
		n := 1 + l.service.rng.IntN(len(text))
		l.input.WriteBinary([]byte(text[:n]))
		l.input.Flush()
		text = text[n:]
		l.onRequest(nil, l)
	}
}

func (l *serviceConn) reset() { l.Close() }

// run advances the clock to a point in time.
func (s *discoveryService) run(until time.Duration) {
	for {
		for len(s.loop.queue) > 0 {
			f := s.loop.queue[0]
			s.loop.queue = s.loop.queue[1:]
			f()
		}
		next := until
		for _, q := range []*state.Deadlines{&s.deadlines, &s.engine.Deadlines} {
			if at, ok := q.Next(); ok {
				next = min(next, at)
			}
		}
		if s.clock.now = max(s.clock.now, next); s.clock.now >= until {
			return
		}
		s.deadlines.Run(s.clock.now)
		s.engine.Deadlines.Run(s.clock.now)
	}
}

// startDrain starts the drain of a database; waiting calls are answered.
func (s *discoveryService) startDrain(name string) {
	s.generation++
	s.draining = append(s.draining, name)
	for _, l := range s.waiting {
		s.after(s.randomDuration(20*time.Millisecond), l.sendList)
	}
	s.waiting = nil
}

// setMode changes the mode. Waiting calls are either reset or stay silent for good, at random.
func (s *discoveryService) setMode(to serviceMode) {
	s.mode = to
	for _, l := range s.waiting {
		if l.silent = s.rng.IntN(2) == 0; !l.silent {
			s.after(s.randomDuration(20*time.Millisecond), l.reset)
		}
	}
	s.waiting = nil
}

func newDiscoveryService(seed uint64, bound time.Duration) *discoveryService {
	s := &discoveryService{clock: &manualClock{now: time.Hour}, rng: rand.New(rand.NewPCG(seed, 1)), generation: 3}
	cfg := settings
	cfg.Seed, cfg.ListOnRequest, cfg.ListMaxDelay, cfg.Tick = seed, true, bound, 50*time.Millisecond
	var err error
	if s.engine, err = state.New(state.Config{Logic: cfg, MaxConnections: 4}, s.clock, &Databases{}); err != nil {
		panic(err)
	}
	s.loop = &Loop{clock: s.clock, deadlines: &s.engine.Deadlines, wake: make(chan struct{}, 1)}
	s.address = "discovery:1"
	d := NewDiscovery(s.loop, s.clock, s.engine, s.address, discovery.NoGeneration, bound)
	d.dial = s.dial
	s.client = d
	s.engine.Start(d, state.List{})
	return s
}

// discardLog discards the log of thousands of runs.
func discardLog(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

// Whatever failed before, and however a watch became silent, a change is known within the bound from when the service
// had it and was reachable. Calls never follow each other faster than minCallInterval.
func TestListChangeArrivesWithinMaxDelay(t *testing.T) {
	discardLog(t)
	for _, bound := range []time.Duration{limit.DefaultMaxDelay, time.Second} {
		for seed := range uint64(1500) {
			s := newDiscoveryService(seed, bound)
			start := s.clock.now
			at := start
			for range s.rng.IntN(6) {
				at += s.randomDuration(5 * time.Second)
				s.after(at-start, func() { s.setMode(serviceMode(s.rng.IntN(int(modeCount)))) })
			}
			reachable := at + s.randomDuration(time.Second)
			s.after(reachable-start, func() { s.setMode(modeAnswers) })
			// Open watches may become silent for good at any time, although the service answers new calls.
			silent := start + s.randomDuration(reachable-start+bound)
			s.after(silent-start, func() {
				for _, l := range s.waiting {
					l.silent = true
				}
				s.waiting = nil
			})
			changed := start + s.randomDuration(reachable-start+2*bound)
			s.after(changed-start, func() { s.startDrain("m") })
			knownBy := max(changed, reachable) + bound
			s.run(knownBy)
			if !slices.ContainsFunc(s.engine.Databases(), func(m state.DatabaseView) bool { return m.Name == "m" && m.State == "draining" }) {
				t.Fatalf("bound %v, seed %d: a change at %v, with the service reachable from %v, is not known at %v", bound, seed,
					changed-start, reachable-start, knownBy-start)
			}
			for i := 1; i < len(s.calls); i++ {
				if i > 1 && s.calls[i]-s.calls[i-2] < minCallInterval {
					t.Fatalf("bound %v, seed %d: three calls within %v", bound, seed, s.calls[i]-s.calls[i-2])
				}
			}
		}
	}
}

// The watches of all proxies end at the same moment, and the service is down for seconds: calls are spread, both then
// and when it is back.
func TestDiscoveryCallsOfManyProxiesAreSpread(t *testing.T) {
	discardLog(t)
	var all []time.Duration
	for seed := range uint64(300) {
		s := newDiscoveryService(seed, 0)
		start := s.clock.now
		s.after(3*time.Second, func() { s.setMode(modeRefuses) })
		s.after(9*time.Second, func() { s.setMode(modeAnswers) })
		s.run(start + 20*time.Second)
		for _, at := range s.calls {
			if at-start > 8*time.Second {
				all = append(all, at-start)
			}
		}
	}
	slices.Sort(all)
	most := 0
	for i, j := 0, 0; i < len(all); i++ {
		for all[i]-all[j] > 100*time.Millisecond {
			j++
		}
		most = max(most, i-j+1)
	}
	if most > 100 || len(all) > 300*8 { // without spreading it would be 300
		t.Errorf("%d calls, %d of them within 100 ms", len(all), most)
	}
}

// A list older than the current one is rejected, because it would undo known drains. The whole list that is then
// requested is accepted with any generation, because a service may restart its generations.
func TestOlderListIsRejected(t *testing.T) {
	discardLog(t)
	s := newDiscoveryService(1, 0)
	s.run(s.clock.now + time.Second)
	s.startDrain("m")
	s.run(s.clock.now + time.Second)
	if len(s.waiting) != 1 || s.listedState("m") != "draining" {
		t.Fatalf("%d calls are waiting, the database is %s", len(s.waiting), s.listedState("m"))
	}
	l, asked := s.waiting[0], len(s.calls)
	s.waiting = nil
	body := `{"generation":1,"reset":true,"instances":[{"instanceId":"m","hostPort":"a:1","lifecycle":"in_service"}]}`
	l.sendPieces(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if s.listedState("m") != "draining" {
		t.Errorf("an older list was accepted: the database is %s", s.listedState("m"))
	}
	s.generation, s.draining = 1, []string{"n"} // the service has restarted its generations
	s.run(s.clock.now + 5*minCallInterval)
	if len(s.calls) <= asked || s.listedState("n") != "draining" {
		t.Errorf("%d calls after the older list, the new database is %s", len(s.calls)-asked, s.listedState("n"))
	}
}

// The address is changed twice in quick succession, each time with a call under way: only the last service is used,
// whatever the earlier ones still answer.
func TestOnlyLastDiscoveryAddressIsUsed(t *testing.T) {
	discardLog(t)
	s := newDiscoveryService(1, 0)
	s.run(s.clock.now + time.Second)
	if len(s.waiting) != 1 {
		t.Fatalf("%d calls are waiting", len(s.waiting))
	}
	first := s.waiting[0]
	s.waiting = nil
	var dialled []string
	var completeDials []func()
	s.client.dial = func(address string, then func(netpoll.Connection, error)) {
		dialled = append(dialled, address)
		completeDials = append(completeDials, func() { then(&serviceConn{service: s, input: netpoll.NewLinkBuffer()}, nil) })
	}
	s.client.SetAddress("second:1")
	s.client.SetAddress("third:1")
	if !first.closed || fmt.Sprint(dialled) != "[second:1 third:1]" {
		t.Fatalf("the first connection is closed: %v; dialled %v", first.closed, dialled)
	}
	calls := len(s.calls)
	completeDials[0]() // the dial to the second address completes late
	if len(s.calls) != calls {
		t.Error("a call was sent to the service in between")
	}
	s.generation, s.draining = 9, []string{"m"}
	first.closed = false
	first.sendList() // it was under way when the connection was closed
	if n := len(s.engine.Databases()); n != 0 {
		t.Errorf("the list of the first service was accepted: %d databases", n)
	}
	completeDials[1]()
	s.run(s.clock.now + time.Second)
	if len(s.calls) <= calls || len(s.engine.Databases()) != 1 {
		t.Errorf("%d calls to the last service, %d databases", len(s.calls)-calls, len(s.engine.Databases()))
	}
}
