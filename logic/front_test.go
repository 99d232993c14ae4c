package logic

import (
	"fmt"
	"havenproxy/internal/peers"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// front is a scripted front: it keeps what the router asked for, and tells it what the test says.
type front struct {
	t       *testing.T
	r       *Router
	now     time.Duration
	sends   []sent
	probes  []MemberID
	finals  map[RequestID]string
	hints   map[RequestID]time.Duration
	cancels int
	watches int
	nextID  RequestID
	timers  []time.Duration
}

type sent struct {
	id RequestID
	n  int
	to MemberID
	at time.Duration
}

func (f *front) Send(id RequestID, to MemberID, _ time.Duration) {
	n := 0
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	f.sends = append(f.sends, sent{id, n, to, f.now})
}
func (f *front) Probe(to MemberID) { f.probes = append(f.probes, to) }
func (f *front) Refuse(id RequestID, comeBack time.Duration) {
	f.final(id, "refused")
	f.hints[id] = comeBack
}
func (f *front) Fail(id RequestID) { f.final(id, "failed") }
func (f *front) final(id RequestID, how string) {
	if was := f.finals[id]; was != "" {
		f.t.Errorf("request %d: %s after %s", id, how, was)
	}
	f.finals[id] = how
}
func (f *front) Cancel(RequestID, int)                { f.cancels++ }
func (f *front) SetTimer(_ TimerID, at time.Duration) { f.timers = append(f.timers, at) }
func (f *front) WatchList(bool)                       { f.watches++ }
func (f *front) FetchList()                           {}
func (f *front) SendToPeers([]peers.Report)           {}
func (f *front) Log(string)                           {}

// The classes of the tests' configuration.
const (
	clsBounded = iota
	clsSession
	clsAny
	clsGuarded
	clsUnsafe
	clsFresh
)

func testConfig() Config {
	return Config{Seed: 7, Proxies: 2, Tick: 5 * ms, Classes: []Class{
		{Name: "bounded", Read: Bounded, MaxAge: 800 * ms, Aim: 500 * ms, Limit: 1500 * ms, Worth: 1},
		{Name: "session", Read: Session, Aim: 400 * ms, Limit: 1000 * ms, Worth: 1},
		{Name: "any", Read: Any, Aim: 4 * time.Second, Limit: 8 * time.Second, Worth: 6},
		{Name: "guarded", Read: Write, Effect: Guarded, Scope: ScopeCell, DedupWindow: 1200 * ms,
			Aim: 1500 * ms, Limit: 2 * time.Second, Worth: 4},
		{Name: "unsafe", Read: Write, Effect: SingleShot, Aim: 500 * ms, Limit: 5 * time.Second, Worth: 3},
		{Name: "fresh", Read: Fresh, Aim: 500 * ms, Limit: 2 * time.Second, Worth: 1},
	}, EnableProbes: true, EnableCancel: true, ParallelAttempts: true, EnableRetryAfter: true, MaxAttempts: 8,
		MaxRetryAfter: 500 * ms, ColdPeriod: 16 * time.Second,
		ColdShare: 0.16, OverloadMultiple: 3}
}

func newFront(t *testing.T, cfg Config) *front {
	t.Helper()
	f := &front{t: t, now: 1000 * time.Second, finals: map[RequestID]string{}, hints: map[RequestID]time.Duration{}}
	r, err := New(cfg, f)
	if err != nil {
		t.Fatal(err)
	}
	f.r = r
	return f
}

// settled lists n members, 1 the primary, and answers their first pings.
func settled(t *testing.T, cfg Config, n int) *front {
	t.Helper()
	f := newFront(t, cfg)
	f.list(ListCached, n)
	f.pass(20 * ms)
	return f
}

func entry(id int) Member { return Member{ID: MemberID(id), Group: 0, State: Ready} }

func (f *front) list(kind ListKind, n int) {
	var l MemberList
	l.Kind = kind
	for i := 1; i <= n; i++ {
		l.Entries = append(l.Entries, entry(i))
	}
	f.r.Members(f.now, l)
}

// pass lets time go by; pings are answered, by 1 as the primary and by the others as replicas 10 ms behind.
func (f *front) pass(d time.Duration, mute ...MemberID) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.r.Timer(f.now, tickTimer)
		f.pongs(mute...)
	}
}

func (f *front) pongs(mute ...MemberID) {
	ask := f.probes
	f.probes = nil
	for _, m := range ask {
		if slices.Contains(mute, m) {
			continue
		}
		rep := Report{Role: RoleReplica, Position: f.now - 10*ms}
		if m == 1 {
			rep = Report{Role: RolePrimary, Position: f.now}
		}
		f.r.ProbeDone(f.now, ProbeResult{Member: m, Elapsed: ms, Report: rep})
	}
}

func (f *front) request(class int, session SessionID) RequestID {
	f.nextID++
	f.r.Request(f.now, Request{ID: f.nextID, Class: class, Session: session, Deadline: f.now + f.r.cfg.Classes[class].Limit})
	return f.nextID
}

// last gives the newest send of a request.
func (f *front) last(id RequestID) (sent, bool) {
	for _, s := range slices.Backward(f.sends) {
		if s.id == id {
			return s, true
		}
	}
	return sent{}, false
}

func (f *front) mustSend(id RequestID) sent {
	f.t.Helper()
	s, ok := f.last(id)
	if !ok {
		f.t.Fatalf("request %d was not sent; its end: %q", id, f.finals[id])
	}
	return s
}

func (f *front) count(id RequestID) (n int) {
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// end reports the end of an attempt, with the role and position that the member would tell.
func (f *front) end(s sent, res Result) {
	o := Outcome{Request: s.id, Attempt: s.n, Member: s.to, Result: res, Elapsed: f.now - s.at, Finished: res == OK}
	if res == OK || res == Misdirected || res == Failed || res == Rejected {
		o.Role, o.Position = RoleReplica, f.now-10*ms
		if s.to == 1 {
			o.Role, o.Position = RolePrimary, f.now
		}
	}
	if res == OK {
		f.finals[s.id] = "served"
	}
	f.r.Outcome(f.now, o)
}

func (f *front) serve(id RequestID, took time.Duration) sent {
	f.t.Helper()
	s := f.mustSend(id)
	f.now += took
	f.end(s, OK)
	return s
}

func (f *front) wantFinal(id RequestID, how string) {
	f.t.Helper()
	if got := f.finals[id]; got != how {
		f.t.Errorf("request %d: final answer %q, want %q", id, got, how)
	}
}

func ExampleRouter() {
	// A front implements Actions; here one that prints.
	r, err := New(Config{Seed: 1, Tick: ms, Classes: []Class{{Name: "lookup", Read: Any, Aim: 100 * ms, Limit: time.Second}}},
		printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	r.Members(now, MemberList{Kind: ListFull, Entries: []Member{{ID: 42, Group: 3, State: Ready}}})
	r.Request(now, Request{ID: 1, Class: 0, Group: 3, Deadline: now + time.Second})
	// Output: send request 1 to member 42
}

type printer struct{}

func (printer) Send(id RequestID, to MemberID, _ time.Duration) {
	fmt.Printf("send request %d to member %d\n", id, to)
}
func (printer) Probe(MemberID)                  {}
func (printer) Refuse(RequestID, time.Duration) {}
func (printer) Fail(RequestID)                  {}
func (printer) Cancel(RequestID, int)           {}
func (printer) SetTimer(TimerID, time.Duration) {}
func (printer) WatchList(bool)                  {}
func (printer) FetchList()                      {}
func (printer) SendToPeers([]peers.Report)      {}
func (printer) Log(string)                      {}

var _ Events = (*Router)(nil)
