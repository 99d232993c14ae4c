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

// handClock is a clock that the test moves.
type handClock struct{ now time.Duration }

func (c *handClock) Now() time.Duration  { return c.now }
func (c *handClock) Unix() time.Duration { return c.now + 1767225600*time.Second }

// mood is how the service treats calls.
type mood int

const (
	answers mood = iota
	refuses      // nothing listens
	hangs        // connections never come up
	mute         // it takes the call and says nothing, for good
	resets       // under the call
	busy         // 503, late
	halves       // an answer stops half way, for good
	moods
)

// service is discovery on the test's clock, with one proxy that asks it.
type service struct {
	clock *handClock
	rng   *rand.Rand
	front *state.Engine
	loop  *Loop
	todo  state.Deadlines
	mood  mood

	address   string // where it is by now
	astray    int    // calls to where it was before
	discovery *Discovery
	open      []*line // calls that wait for news
	gen       int64
	gone      []string // databases that drain, in that order
	calls     []time.Duration
}

// line is a connection to the service.
type line struct {
	netpoll.Connection
	s      *service
	to     string // the address that was dialled
	in     *netpoll.LinkBuffer
	heard  netpoll.OnRequest
	ended  netpoll.CloseCallback
	closed bool
	muted  bool
	after  int64
}

func (l *line) Reader() netpoll.Reader                         { return l.in }
func (l *line) IsActive() bool                                 { return !l.closed }
func (l *line) SetOnRequest(f netpoll.OnRequest) error         { l.heard = f; return nil }
func (l *line) AddCloseCallback(f netpoll.CloseCallback) error { l.ended = f; return nil }

func (l *line) Close() error {
	if !l.closed {
		l.closed = true
		if l.ended != nil { // the loop listens to it
			l.ended(l)
		}
	}
	return nil
}

func (s *service) later(d time.Duration, f func()) {
	s.todo.Set(&state.Deadline{}, s.clock.now+d, f)
}

func (s *service) some(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

func (s *service) dial(to string, then func(netpoll.Connection, error)) {
	switch s.mood {
	case refuses:
		s.later(s.some(5*time.Millisecond), func() { then(nil, errors.New("refused")) })
	case hangs:
		s.later(dialTimeout, func() { then(nil, errors.New("timed out")) })
	default:
		l := &line{s: s, to: to, in: netpoll.NewLinkBuffer()}
		s.later(s.some(3*time.Millisecond), func() { then(l, nil) })
	}
}

func (l *line) Write(b []byte) (int, error) {
	s := l.s
	s.calls = append(s.calls, s.clock.now)
	if l.to != "" && l.to != s.address {
		s.astray++
	}
	path := strings.Fields(string(b))[1]
	l.after = discovery.NoList
	wait := time.Duration(0)
	if _, query, found := strings.Cut(path, "?"); found {
		for _, kv := range strings.Split(query, "&") {
			k, v, _ := strings.Cut(kv, "=")
			n, _ := strconv.ParseInt(v, 10, 64)
			if k == "after" {
				l.after = n
			} else {
				wait = time.Duration(n) * time.Millisecond
			}
		}
	}
	switch s.mood {
	case answers:
		if l.after == discovery.NoList || l.after < s.gen {
			s.later(s.some(200*time.Millisecond), l.tell)
			break
		}
		s.open = append(s.open, l)
		s.later(wait, func() {
			if i := slices.Index(s.open, l); i >= 0 {
				s.open = slices.Delete(s.open, i, i+1)
				l.tell()
			}
		})
	case resets:
		s.later(s.some(time.Second), l.reset)
	case busy:
		s.later(s.some(2*time.Second), func() { l.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") })
	case halves:
		s.later(s.some(time.Second), func() { l.say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"genera") })
	}
	return len(b), nil
}

// tell answers with the list, in one of the forms that it may have.
func (l *line) tell() {
	s := l.s
	entries := []string{}
	news := l.after == discovery.NoList || l.after < s.gen
	for _, name := range s.gone {
		if !news {
			break
		}
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":"a:1","lifecycle":"terminating"}`, name))
	}
	body := fmt.Sprintf("{\n \"generation\": %d,\"reset\":%v, \"instances\": [%s] }\n", s.gen, news && s.rng.IntN(2) == 0, strings.Join(entries, ",\n  "))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	switch s.rng.IntN(3) {
	case 0: // with no length: behind all of it the connection is reset
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		defer l.reset()
	case 1:
		head, body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	l.say(head + body)
}

func (l *line) say(text string) {
	if l.closed || l.muted {
		return
	}
	for len(text) > 0 && !l.closed {
		n := 1 + l.s.rng.IntN(len(text))
		l.in.WriteBinary([]byte(text[:n]))
		l.in.Flush()
		text = text[n:]
		l.heard(nil, l)
	}
}

func (l *line) reset() { l.Close() }

// run lets time pass up to a moment.
func (s *service) run(until time.Duration) {
	for {
		for len(s.loop.queue) > 0 {
			f := s.loop.queue[0]
			s.loop.queue = s.loop.queue[1:]
			f()
		}
		next := until
		for _, q := range []*state.Deadlines{&s.todo, &s.front.Deadlines} {
			if at, ok := q.Next(); ok {
				next = min(next, at)
			}
		}
		if s.clock.now = max(s.clock.now, next); s.clock.now >= until {
			return
		}
		s.todo.Run(s.clock.now)
		s.front.Deadlines.Run(s.clock.now)
	}
}

// change begins the drain of a database; the calls that wait hear of it.
func (s *service) change(name string) {
	s.gen++
	s.gone = append(s.gone, name)
	for _, l := range s.open {
		s.later(s.some(20*time.Millisecond), l.tell)
	}
	s.open = nil
}

// turn changes the mood. A service that goes down, or is cut off, leaves calls that wait as the draw says: reset or silent for good.
func (s *service) turn(to mood) {
	s.mood = to
	for _, l := range s.open {
		if l.muted = s.rng.IntN(2) == 0; !l.muted {
			s.later(s.some(20*time.Millisecond), l.reset)
		}
	}
	s.open = nil
}

func newService(seed uint64, bound time.Duration) *service {
	s := &service{clock: &handClock{now: time.Hour}, rng: rand.New(rand.NewPCG(seed, 1)), gen: 3}
	cfg := settings
	cfg.Seed, cfg.ListOnRequest, cfg.ListMaxDelay, cfg.Tick = seed, true, bound, 50*time.Millisecond
	var err error
	if s.front, err = state.New(state.Config{Logic: cfg, MaxConnections: 4}, s.clock, &Databases{}); err != nil {
		panic(err)
	}
	s.loop = &Loop{clock: s.clock, deadlines: &s.front.Deadlines, wake: make(chan struct{}, 1)}
	s.address = "discovery:1"
	d := NewDiscovery(s.loop, s.clock, s.front, s.address, discovery.NoList, bound)
	d.dial = s.dial
	s.discovery = d
	s.front.Start(d, state.List{})
	return s
}

// quiet drops the log of thousands of runs.
func quiet(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

// Whatever failed before, and in whatever way a watch fell silent, a change is known here within the bound from when the service had it and
// could be reached. Its calls never follow each other faster than the least period.
func TestAChangeIsKnownWithinTheBound(t *testing.T) {
	quiet(t)
	for _, bound := range []time.Duration{limit.DefaultPropagationBound, time.Second} {
		for seed := range uint64(1500) {
			s := newService(seed, bound)
			start := s.clock.now
			at := start
			for range s.rng.IntN(6) {
				at += s.some(5 * time.Second)
				s.later(at-start, func() { s.turn(mood(s.rng.IntN(int(moods)))) })
			}
			from := at + s.some(time.Second)
			s.later(from-start, func() { s.turn(answers) })
			// Open watches may fall silent for good at any time, in a service that answers calls.
			silent := start + s.some(from-start+bound)
			s.later(silent-start, func() {
				for _, l := range s.open {
					l.muted = true
				}
				s.open = nil
			})
			changed := start + s.some(from-start+2*bound)
			s.later(changed-start, func() { s.change("m") })
			by := max(changed, from) + bound
			s.run(by)
			if !slices.ContainsFunc(s.front.Databases(), func(m state.DatabaseView) bool { return m.Name == "m" && m.State == "draining" }) {
				t.Fatalf("bound %v, seed %d: a change at %v, with the service there from %v, is not known at %v", bound, seed,
					changed-start, from-start, by-start)
			}
			for i := 1; i < len(s.calls); i++ {
				if i > 1 && s.calls[i]-s.calls[i-2] < minCallInterval {
					t.Fatalf("bound %v, seed %d: three calls within %v", bound, seed, s.calls[i]-s.calls[i-2])
				}
			}
		}
	}
}

// All proxies' watches end in one moment, and the service is away for seconds: their calls are spread, then and when it is back.
func TestCallsOfManyProxiesStaySpread(t *testing.T) {
	quiet(t)
	var all []time.Duration
	for seed := range uint64(300) {
		s := newService(seed, 0)
		start := s.clock.now
		s.later(3*time.Second, func() { s.turn(refuses) })
		s.later(9*time.Second, func() { s.turn(answers) })
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
	if most > 100 || len(all) > 300*8 { // a herd is 300
		t.Errorf("%d calls, %d of them within 100 ms", len(all), most)
	}
}

// A list older than the one in hand is not taken: it would undo drains that are known. The whole list that is asked for then counts,
// whatever its generation, for a service may count anew.
func TestAnOlderListIsNotTaken(t *testing.T) {
	quiet(t)
	s := newService(1, 0)
	s.run(s.clock.now + time.Second)
	s.change("m")
	s.run(s.clock.now + time.Second)
	if len(s.open) != 1 || s.listedAs("m") != "draining" {
		t.Fatalf("%d calls wait, the database is %s", len(s.open), s.listedAs("m"))
	}
	l, asked := s.open[0], len(s.calls)
	s.open = nil
	body := `{"generation":1,"reset":true,"instances":[{"instanceId":"m","hostPort":"a:1","lifecycle":"in_service"}]}`
	l.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if s.listedAs("m") != "draining" {
		t.Errorf("an older list was taken: the database is %s", s.listedAs("m"))
	}
	s.gen, s.gone = 1, []string{"n"} // it does count anew
	s.run(s.clock.now + 5*minCallInterval)
	if len(s.calls) <= asked || s.listedAs("n") != "draining" {
		t.Errorf("%d calls behind the older list, the new database is %s", len(s.calls)-asked, s.listedAs("n"))
	}
}

// Two moves in quick order, each with a call out: only the service that was named last is heard, whatever those before still answer.
func TestOnlyTheServiceNamedLastIsHeard(t *testing.T) {
	quiet(t)
	s := newService(1, 0)
	s.run(s.clock.now + time.Second)
	if len(s.open) != 1 {
		t.Fatalf("%d calls wait", len(s.open))
	}
	first := s.open[0]
	s.open = nil
	var dialled []string
	var answers []func()
	s.discovery.dial = func(address string, then func(netpoll.Connection, error)) {
		dialled = append(dialled, address)
		answers = append(answers, func() { then(&line{s: s, in: netpoll.NewLinkBuffer()}, nil) })
	}
	s.discovery.SetAddress("second:1")
	s.discovery.SetAddress("third:1")
	if !first.closed || fmt.Sprint(dialled) != "[second:1 third:1]" {
		t.Fatalf("the first connection is closed: %v; dialled %v", first.closed, dialled)
	}
	calls := len(s.calls)
	answers[0]() // the second comes up late
	if len(s.calls) != calls {
		t.Error("a call went to the service in between")
	}
	s.gen, s.gone = 9, []string{"m"}
	first.closed = false
	first.tell() // it was under way when the connection was closed
	if n := len(s.front.Databases()); n != 0 {
		t.Errorf("the list of the first service was taken: %d databases", n)
	}
	answers[1]()
	s.run(s.clock.now + time.Second)
	if len(s.calls) <= calls || len(s.front.Databases()) != 1 {
		t.Errorf("%d calls to the last service, %d databases", len(s.calls)-calls, len(s.front.Databases()))
	}
}
