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
type testProxy struct {
	t       *testing.T
	router  *Router
	now     time.Duration
	sends   []sentAttempt
	probes  []MemberID
	finals  map[RequestID]string
	hints   map[RequestID]time.Duration
	cancels int
	watches int
	nextID  RequestID
	timers  []time.Duration
}

type sentAttempt struct {
	id    RequestID
	index int
	to    MemberID
	at    time.Duration
}

func (f *testProxy) Send(id RequestID, to MemberID, _ time.Duration) {
	n := 0
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	f.sends = append(f.sends, sentAttempt{id, n, to, f.now})
}
func (f *testProxy) Probe(to MemberID) { f.probes = append(f.probes, to) }
func (f *testProxy) Refuse(id RequestID, comeBack time.Duration) {
	f.recordFinal(id, "refused")
	f.hints[id] = comeBack
}
func (f *testProxy) Fail(id RequestID) { f.recordFinal(id, "failed") }
func (f *testProxy) recordFinal(id RequestID, answer string) {
	if previous := f.finals[id]; previous != "" {
		f.t.Errorf("request %d: %s after %s", id, answer, previous)
	}
	f.finals[id] = answer
}
func (f *testProxy) Cancel(RequestID, int)                { f.cancels++ }
func (f *testProxy) SetTimer(_ TimerID, at time.Duration) { f.timers = append(f.timers, at) }
func (f *testProxy) WatchList(bool)                       { f.watches++ }
func (f *testProxy) FetchList()                           {}
func (f *testProxy) SendToPeers([]peers.Report)           {}
func (f *testProxy) Log(string)                           {}

// The classes of the tests' configuration.
const (
	classBounded = iota
	classSession
	classAny
	classGuarded
	classUnsafe
	classFresh
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

func newTestProxy(t *testing.T, cfg Config) *testProxy {
	t.Helper()
	f := &testProxy{t: t, now: 1000 * time.Second, finals: map[RequestID]string{}, hints: map[RequestID]time.Duration{}}
	r, err := New(cfg, f)
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	return f
}

// settled lists n members, 1 the primary, and answers their first pings.
func newReadyProxy(t *testing.T, cfg Config, n int) *testProxy {
	t.Helper()
	f := newTestProxy(t, cfg)
	f.listMembers(ListCached, n)
	f.advance(20 * ms)
	return f
}

func readyMember(id int) Member { return Member{ID: MemberID(id), Group: 0, State: Ready} }

func (f *testProxy) listMembers(kind ListKind, n int) {
	var list MemberList
	list.Kind = kind
	for i := 1; i <= n; i++ {
		list.Entries = append(list.Entries, readyMember(i))
	}
	f.router.Members(f.now, list)
}

// pass lets time go by; pings are answered, by 1 as the primary and by the others as replicas 10 ms behind.
func (f *testProxy) advance(d time.Duration, silent ...MemberID) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
		f.answerPings(silent...)
	}
}

func (f *testProxy) answerPings(silent ...MemberID) {
	probed := f.probes
	f.probes = nil
	for _, m := range probed {
		if slices.Contains(silent, m) {
			continue
		}
		report := Report{Role: RoleReplica, Position: f.now - 10*ms}
		if m == 1 {
			report = Report{Role: RolePrimary, Position: f.now}
		}
		f.router.Probed(f.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
	}
}

func (f *testProxy) request(class int, session SessionID) RequestID {
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: class, Session: session, Deadline: f.now + f.router.cfg.Classes[class].Limit})
	return f.nextID
}

// last gives the newest send of a request.
func (f *testProxy) lastSend(id RequestID) (sentAttempt, bool) {
	for _, s := range slices.Backward(f.sends) {
		if s.id == id {
			return s, true
		}
	}
	return sentAttempt{}, false
}

func (f *testProxy) mustSend(id RequestID) sentAttempt {
	f.t.Helper()
	s, ok := f.lastSend(id)
	if !ok {
		f.t.Fatalf("request %d was not sent; its end: %q", id, f.finals[id])
	}
	return s
}

func (f *testProxy) sendCount(id RequestID) (n int) {
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// end reports the end of an attempt, with the role and position that the member would tell.
func (f *testProxy) finishAttempt(s sentAttempt, result Result) {
	o := Outcome{Request: s.id, Attempt: s.index, Member: s.to, Result: result, Elapsed: f.now - s.at, Finished: result == OK}
	if result == OK || result == Misdirected || result == Failed || result == Rejected {
		o.Role, o.Position = RoleReplica, f.now-10*ms
		if s.to == 1 {
			o.Role, o.Position = RolePrimary, f.now
		}
	}
	if result == OK {
		f.finals[s.id] = "served"
	}
	f.router.Outcome(f.now, o)
}

func (f *testProxy) serve(id RequestID, took time.Duration) sentAttempt {
	f.t.Helper()
	s := f.mustSend(id)
	f.now += took
	f.finishAttempt(s, OK)
	return s
}

func (f *testProxy) wantFinal(id RequestID, answer string) {
	f.t.Helper()
	if got := f.finals[id]; got != answer {
		f.t.Errorf("request %d: final answer %q, want %q", id, got, answer)
	}
}

func ExampleRouter() {
	// A front implements Actions; here one that prints.
	r, err := New(Config{Seed: 1, Tick: ms, Classes: []Class{{Name: "lookup", Read: Any, Aim: 100 * ms, Limit: time.Second}}},
		printingActions{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	r.Members(now, MemberList{Kind: ListFull, Entries: []Member{{ID: 42, Group: 3, State: Ready}}})
	r.Request(now, Request{ID: 1, Class: 0, Group: 3, Deadline: now + time.Second})
	// Output: send request 1 to member 42
}

type printingActions struct{}

func (printingActions) Send(id RequestID, to MemberID, _ time.Duration) {
	fmt.Printf("send request %d to member %d\n", id, to)
}
func (printingActions) Probe(MemberID)                  {}
func (printingActions) Refuse(RequestID, time.Duration) {}
func (printingActions) Fail(RequestID)                  {}
func (printingActions) Cancel(RequestID, int)           {}
func (printingActions) SetTimer(TimerID, time.Duration) {}
func (printingActions) WatchList(bool)                  {}
func (printingActions) FetchList()                      {}
func (printingActions) SendToPeers([]peers.Report)      {}
func (printingActions) Log(string)                      {}

var _ Events = (*Router)(nil)
