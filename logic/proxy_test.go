package logic

import (
	"fmt"
	"havenproxy/internal/peers"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testProxy is a scripted proxy: it records the router's actions, and the test feeds it events.
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

func (p *testProxy) Send(id RequestID, to MemberID, _ time.Duration) {
	n := 0
	for _, s := range p.sends {
		if s.id == id {
			n++
		}
	}
	p.sends = append(p.sends, sentAttempt{id, n, to, p.now})
}
func (p *testProxy) Probe(to MemberID) { p.probes = append(p.probes, to) }
func (p *testProxy) Refuse(id RequestID, retryAfter time.Duration) {
	p.recordFinal(id, "refused")
	p.hints[id] = retryAfter
}
func (p *testProxy) Fail(id RequestID) { p.recordFinal(id, "failed") }
func (p *testProxy) recordFinal(id RequestID, answer string) {
	if previous := p.finals[id]; previous != "" {
		p.t.Errorf("request %d: final answer %s after %s", id, answer, previous)
	}
	p.finals[id] = answer
}
func (p *testProxy) Cancel(RequestID, int)                { p.cancels++ }
func (p *testProxy) SetTimer(_ TimerID, at time.Duration) { p.timers = append(p.timers, at) }
func (p *testProxy) WatchList(bool)                       { p.watches++ }
func (p *testProxy) FetchList()                           {}
func (p *testProxy) SendToPeers([]peers.Report)           {}
func (p *testProxy) Log(string)                           {}

// Classes of the test configuration.
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
	p := &testProxy{t: t, now: 1000 * time.Second, finals: map[RequestID]string{}, hints: map[RequestID]time.Duration{}}
	r, err := New(cfg, p)
	if err != nil {
		t.Fatal(err)
	}
	p.router = r
	return p
}

// newReadyProxy lists n members, with 1 as the primary, and answers their first pings.
func newReadyProxy(t *testing.T, cfg Config, n int) *testProxy {
	t.Helper()
	p := newTestProxy(t, cfg)
	p.listMembers(ListCached, n)
	p.advance(20 * ms)
	return p
}

func readyMember(id int) Member { return Member{ID: MemberID(id), Group: 0, State: Ready} }

func (p *testProxy) listMembers(kind ListKind, n int) {
	var list MemberList
	list.Kind = kind
	for i := 1; i <= n; i++ {
		list.Entries = append(list.Entries, readyMember(i))
	}
	p.router.Members(p.now, list)
}

// advance advances the clock and answers pings: member 1 as the primary, the others as replicas 10 ms behind.
func (p *testProxy) advance(d time.Duration, silent ...MemberID) {
	for end := p.now + d; p.now < end; {
		p.now += 10 * ms
		p.router.Timer(p.now, tickTimer)
		p.answerPings(silent...)
	}
}

func (p *testProxy) answerPings(silent ...MemberID) {
	probed := p.probes
	p.probes = nil
	for _, m := range probed {
		if slices.Contains(silent, m) {
			continue
		}
		report := Report{Role: RoleReplica, Position: p.now - 10*ms}
		if m == 1 {
			report = Report{Role: RolePrimary, Position: p.now}
		}
		p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
	}
}

func (p *testProxy) request(class int, session SessionID) RequestID {
	p.nextID++
	p.router.Request(p.now, Request{ID: p.nextID, Class: class, Session: session, Deadline: p.now + p.router.cfg.Classes[class].Limit})
	return p.nextID
}

// lastSend returns the latest send of a request.
func (p *testProxy) lastSend(id RequestID) (sentAttempt, bool) {
	for _, s := range slices.Backward(p.sends) {
		if s.id == id {
			return s, true
		}
	}
	return sentAttempt{}, false
}

func (p *testProxy) mustSend(id RequestID) sentAttempt {
	p.t.Helper()
	s, ok := p.lastSend(id)
	if !ok {
		p.t.Fatalf("request %d was not sent; final answer %q", id, p.finals[id])
	}
	return s
}

func (p *testProxy) sendCount(id RequestID) (n int) {
	for _, s := range p.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// finishAttempt reports the end of an attempt, with the role and position that the member would report.
func (p *testProxy) finishAttempt(s sentAttempt, result Result) {
	o := Outcome{Request: s.id, Attempt: s.index, Member: s.to, Result: result, Elapsed: p.now - s.at, Finished: result == OK}
	if result == OK || result == Misdirected || result == Failed || result == Rejected {
		o.Role, o.Position = RoleReplica, p.now-10*ms
		if s.to == 1 {
			o.Role, o.Position = RolePrimary, p.now
		}
	}
	if result == OK {
		p.finals[s.id] = "served"
	}
	p.router.Outcome(p.now, o)
}

func (p *testProxy) serve(id RequestID, elapsed time.Duration) sentAttempt {
	p.t.Helper()
	s := p.mustSend(id)
	p.now += elapsed
	p.finishAttempt(s, OK)
	return s
}

func (p *testProxy) wantFinal(id RequestID, answer string) {
	p.t.Helper()
	if got := p.finals[id]; got != answer {
		p.t.Errorf("request %d: final answer %q, want %q", id, got, answer)
	}
}

func ExampleRouter() {
	// A proxy implements Actions; this one prints.
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
