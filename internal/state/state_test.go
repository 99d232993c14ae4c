package state

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/peers"
	"havenproxy/logic"
)

// harness is an engine with a fake router, clock and connections.
type harness struct {
	wallClockStep time.Duration // adjustment of the wall clock since the start
	t             *testing.T
	e             *Engine
	now           time.Duration
	conns         []*conn
	calls         []string
	probe         logic.ProbeEnd
	lastOutcome   logic.Outcome
	lastList      logic.MemberList
	lastRequest   logic.Request
	onRequest     func()
	depth         int

	abandonedDials int
	facts          []peers.Report
}

func (h *harness) Now() time.Duration  { return h.now }
func (h *harness) Unix() time.Duration { return h.now + h.wallClockStep + 1767225600*time.Second }

func (h *harness) log(format string, args ...any) {
	if h.depth > 0 {
		h.t.Errorf("the router is called recursively")
	}
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *harness) Members(_ time.Duration, l logic.MemberList) { h.lastList = l }
func (h *harness) Request(_ time.Duration, q logic.Request) {
	h.log("request")
	h.depth++
	if h.lastRequest = q; h.onRequest != nil {
		h.onRequest()
	}
	h.depth--
}
func (h *harness) ResponseStarted(time.Duration, logic.RequestID, int) {}
func (h *harness) Outcome(_ time.Duration, o logic.Outcome) {
	h.lastOutcome = o
	h.log("outcome %d finished=%v", o.Result, o.Finished)
}
func (h *harness) Probed(_ time.Duration, p logic.ProbeEnd) {
	h.probe = p
	h.log("probed %d", p.Result)
}
func (h *harness) Timer(time.Duration, logic.TimerID)       { h.log("timer") }
func (h *harness) Abandoned(time.Duration, logic.RequestID) { h.log("abandoned") }
func (h *harness) ConnectionEvidence(_ time.Duration, _ logic.MemberID, what handover.ConnectionEvidence, opened time.Duration) {
	h.log("%s %v", [...]string{"answered", "ended", "mute"}[what], opened-clockBase)
}
func (h *harness) PeerReports(_ time.Duration, facts []peers.Report) {
	h.facts = append([]peers.Report(nil), facts...)
}
func (h *harness) Watch(bool)          {}
func (h *harness) Fetch()              {}
func (h *harness) AbandonedDials() int { return h.abandonedDials }
func (h *harness) Open(address string, _ int, to Listener) Conn {
	c := &conn{address: address, listener: to}
	h.conns = append(h.conns, c)
	return c
}

type conn struct {
	address   string
	listener  Listener
	sent      int
	probes    int
	closed    bool
	dirty     bool // unexpected data has been received
	syncs     int
	holdsSync bool // the answer to Sync does not come by itself
	err       error
}

func (c *conn) Send(Command, time.Duration) error { c.sent++; return c.err }
func (c *conn) Probe() error                      { c.probes++; return c.err }
func (c *conn) Reusable() bool                    { return !c.dirty }
func (c *conn) Sync() error {
	if c.dirty {
		return errors.New("dirty")
	}
	if c.syncs++; !c.holdsSync {
		c.listener.Synced()
	}
	return c.err
}
func (c *conn) Close() { c.closed = true }

type command struct{}

func (command) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type caller struct{ answers []string }

func (c *caller) Served(body []byte)      { c.answers = append(c.answers, "served "+string(body)) }
func (c *caller) Refused(d time.Duration) { c.answers = append(c.answers, "refused "+d.String()) }
func (c *caller) BadRequest([]byte)       { c.Failed() }
func (c *caller) Failed()                 { c.answers = append(c.answers, "failed") }
func (c *caller) wantAnswers(t *testing.T, s ...string) {
	t.Helper()
	if fmt.Sprint(c.answers) != fmt.Sprint(s) {
		t.Errorf("answers %q, want %q", c.answers, s)
	}
}

func newHarness(t *testing.T, maxConns int) *harness {
	h := &harness{t: t, now: clockBase}
	class := func(name string, read logic.Freshness) logic.Class {
		return logic.Class{Name: name, Read: read, MaxAge: time.Second, Aim: time.Second, Limit: 2 * time.Second}
	}
	e, err := New(Config{Logic: logic.Config{Tick: time.Millisecond, Classes: []logic.Class{class("any", logic.Any),
		class("session", logic.Session)}}, Zones: []string{"x", "y"}, IdleClose: 10 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: maxConns}, h, h)
	if err != nil {
		t.Fatal(err)
	}
	h.e, e.events = e, h
	e.Start(h, List{Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Ready},
		{Name: "two", Address: "a:2", Zone: "?", State: logic.Ready}}})
	return h
}

func (h *harness) id(name string) logic.MemberID { return h.e.membersByName[name].id }

// submitAndSend submits a request and sends its first attempt to the first member.
func (h *harness) submitAndSend(c *caller) logic.RequestID {
	id, err := h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: c})
	if err != nil {
		h.t.Fatal(err)
	}
	h.e.Send(id, h.id("one"), 500*time.Millisecond)
	return id
}

func (h *harness) wantCalls(events ...string) {
	h.t.Helper()
	if got := strings.Join(h.calls, ", "); got != strings.Join(events, ", ") {
		h.t.Errorf("the router was told: %s; want: %s", got, strings.Join(events, ", "))
	}
	h.calls = nil
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.e.Deadlines.Run(h.now)
}

func outcomeCall(r logic.Result, finished bool) string {
	return fmt.Sprintf("outcome %d finished=%v", r, finished)
}

func TestRequestServedOnceAndConnectionReused(t *testing.T) {
	h, c := newHarness(t, 9), &caller{}
	id := h.submitAndSend(c)
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK, Body: []byte("v"), Role: logic.RoleReplica, Position: 1767225600000})
	h.e.Refuse(id, time.Second) // it is already answered
	h.e.Fail(id)
	c.wantAnswers(t, "served v")
	h.wantCalls("request", outcomeCall(logic.OK, true))
	if h.lastOutcome.Position != 0 && h.lastOutcome.Position != h.now-(h.Unix()-1767225600*time.Second) {
		t.Errorf("position %v", h.lastOutcome.Position)
	}
	h.submitAndSend(&caller{})
	if len(h.conns) != 1 || h.conns[0].sent != 2 {
		t.Errorf("%d connections, %d requests on the first", len(h.conns), h.conns[0].sent)
	}
	if h.e.Pending() != 1 {
		t.Errorf("%d requests pending", h.e.Pending())
	}
}

// Whether the last byte was written distinguishes a request that cannot have run from one that may have.
func TestConnectionFailureDeterminesOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(h *harness)
		want logic.Result
	}{
		"refused":             {func(h *harness) { h.conns[0].listener.DialRefused() }, logic.ConnectFailed},
		"reset on dial":       {func(h *harness) { h.conns[0].listener.Down() }, logic.ConnectFailed},
		"connect timeout":     {func(h *harness) { h.advance(250 * time.Millisecond) }, logic.ConnectFailed},
		"rejected on connect": {func(h *harness) { h.conns[0].listener.Reply(Reply{Result: logic.Rejected}) }, logic.Rejected},
		"error before up":     {func(h *harness) { h.conns[0].listener.Reply(Reply{Result: logic.Failed}) }, logic.ConnectFailed},
		"not written":         {func(h *harness) { h.conns[0].err = errors.New("broken"); h.conns[0].listener.Up() }, logic.ConnectFailed},
		"reset after write":   {func(h *harness) { h.conns[0].listener.Up(); h.conns[0].listener.Down() }, logic.Reset},
		"silent":              {func(h *harness) { h.conns[0].listener.Up(); h.advance(500 * time.Millisecond) }, logic.TimedOut},
		"cancelled":           {func(h *harness) { h.conns[0].listener.Up(); h.e.Cancel(1, 0) }, logic.Cancelled},
		"cancelled before up": {func(h *harness) { h.e.Cancel(1, 0) }, logic.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			h.submitAndSend(&caller{})
			c.do(h)
			h.wantCalls("request", outcomeCall(c.want, false))
			if h.lastOutcome.DialRefused != (name == "refused") {
				t.Errorf("dial refused is reported as %v", h.lastOutcome.DialRefused)
			}
			if !h.conns[0].closed {
				t.Error("the connection is still open: a late answer would be taken for the next one")
			}
			h.conns[0].listener.Up()
			h.conns[0].listener.Reply(Reply{Result: logic.OK})
			h.conns[0].listener.Down()
			h.wantCalls()
		})
	}
}

// Nothing is sent on a connection on which unexpected data has arrived. Data that is not a valid answer ends the
// attempt, which may have run; a member that sends it as the answer to a probe still counts as alive.
func TestConnectionWithUnexpectedDataNotReused(t *testing.T) {
	h := newHarness(t, 9)
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.conns[0].dirty = true // a duplicate follows the valid answer
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	h.submitAndSend(&caller{})
	h.conns[1].listener.Up()
	h.conns[1].listener.Reply(Reply{Result: logic.OK})
	h.conns[1].dirty = true // it arrived late
	h.submitAndSend(&caller{})
	if !h.conns[0].closed || !h.conns[1].closed || h.conns[0].sent+h.conns[1].sent != 2 {
		t.Errorf("closed: %v, %v; sent: %d, %d", h.conns[0].closed, h.conns[1].closed, h.conns[0].sent, h.conns[1].sent)
	}
	h.conns[2].listener.Up()
	h.calls = nil
	h.conns[2].listener.ProtocolError()
	h.e.Probe(h.id("two"))
	h.conns[3].listener.Up()
	h.conns[3].listener.ProtocolError()
	h.wantCalls(outcomeCall(logic.Reset, false), fmt.Sprintf("probed %d", logic.Failed))
}

// Databases would deduplicate two open requests with the same name, and one client would get the other's answer.
func TestDuplicateNameOfOpenRequestRejected(t *testing.T) {
	h := newHarness(t, 9)
	named := Request{Name: "n", Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}}
	id, err := h.e.Submit(named)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = h.e.Submit(named); err != ErrDuplicateName {
		t.Errorf("duplicate name: %v", err)
	}
	h.e.Fail(id)
	if _, err = h.e.Submit(named); err != nil || len(h.e.names.open) != 1 {
		t.Errorf("%v, %d names", err, len(h.e.names.open))
	}
}

// An invalid request fails at once, and its member is not at fault.
func TestInvalidRequestDoesNotBlameMember(t *testing.T) {
	h, c := newHarness(t, 9), &caller{}
	h.submitAndSend(c)
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.Failed, BadRequest: true})
	c.wantAnswers(t, "failed")
	h.wantCalls("request", outcomeCall(logic.Cancelled, true))
}

// Databases come and go under new names all day. A list that removed one used to leave it in memory forever.
func TestGoneMembersForgotten(t *testing.T) {
	h := newHarness(t, 9)
	id := h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Gone},
		{Name: "two", Address: "a:2", State: logic.Gone}}})
	if len(h.e.members) != 1 || len(h.e.membersByName) != 1 {
		t.Errorf("%d members, %d names, want 1: it has an open request", len(h.e.members), len(h.e.membersByName))
	}
	h.e.Cancel(id, 0)
	if len(h.e.members) != 0 || len(h.e.membersByName) != 0 {
		t.Errorf("%d members, %d names are left", len(h.e.members), len(h.e.membersByName))
	}
}

// A connection that is closed while it is being established holds its descriptor until the dial has ended, one that
// fails by itself does not. Counting the latter forever used to leave no room for any connection.
func TestOpeningConnectionsCounted(t *testing.T) {
	h := newHarness(t, 1)
	for range 9 {
		h.submitAndSend(&caller{})
		h.conns[len(h.conns)-1].listener.Down()
	}
	if len(h.conns) != 9 || len(h.e.openConns) != 0 {
		t.Errorf("%d connections opened, %d counted", len(h.conns), len(h.e.openConns))
	}
	h.abandonedDials = 1
	if h.submitAndSend(&caller{}); len(h.conns) != 9 {
		t.Errorf("a connection was opened beyond the limit")
	}
}

func TestNoConcurrentAttempts(t *testing.T) {
	h := newHarness(t, 9)
	id := h.submitAndSend(&caller{})
	h.e.Send(id, h.id("two"), time.Second)
	if h.wantCalls("request", outcomeCall(logic.NotSent, false)); len(h.conns) != 1 {
		t.Errorf("%d connections", len(h.conns))
	}
}

// Events caused immediately by a router's action must not be passed to the router before its call has returned.
func TestRouterNotCalledRecursively(t *testing.T) {
	h, c := newHarness(t, 0), &caller{} // no connection may be opened
	h.onRequest = func() { h.e.Send(1, h.id("one"), time.Second); h.e.Probe(h.id("one")) }
	if _, err := h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: c}); err != nil {
		t.Fatal(err)
	}
	h.wantCalls("request", outcomeCall(logic.NotSent, false), fmt.Sprintf("probed %d", logic.NotSent))
	h.e.Refuse(1, time.Millisecond)
	c.wantAnswers(t, "refused 1ms")
}

func TestAbandonedRequestNotAnswered(t *testing.T) {
	h, c := newHarness(t, 9), &caller{}
	id := h.submitAndSend(c)
	h.conns[0].listener.Up()
	h.e.Abandon(id)
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	c.wantAnswers(t)
	if h.wantCalls("request", "abandoned", outcomeCall(logic.OK, true)); h.e.Pending() != 0 {
		t.Errorf("%d requests pending", h.e.Pending())
	}
}

// A database closes idle connections; a request that is sent at that moment is lost.
func TestIdleConnectionsClosedBeforeDatabaseDoes(t *testing.T) {
	h := newHarness(t, 9)
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	if h.advance(8 * time.Second); h.conns[0].closed {
		t.Error("the connection is closed too early")
	}
	if h.advance(time.Second); !h.conns[0].closed {
		t.Error("the connection is kept until the database closes it")
	}
	h.submitAndSend(&caller{})
	h.conns[1].listener.Up()
	h.conns[1].listener.Reply(Reply{Result: logic.OK})
	h.conns[1].listener.Down()
	if h.submitAndSend(&caller{}); len(h.conns) != 3 {
		t.Error("a closed connection was used again")
	}
}

func TestReleasedConnectionServesWaitingAttempt(t *testing.T) {
	h := newHarness(t, 9)
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.submitAndSend(&caller{})
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	if h.conns[0].sent != 2 || h.conns[1].sent != 0 {
		t.Errorf("%d and %d requests sent", h.conns[0].sent, h.conns[1].sent)
	}
	h.conns[1].listener.Up() // kept for the next attempt
	if h.submitAndSend(&caller{}); len(h.conns) != 2 || h.conns[1].sent != 1 {
		t.Errorf("%d connections, %d requests on the second", len(h.conns), h.conns[1].sent)
	}
}

func TestIdleConnectionEvictedAtLimit(t *testing.T) {
	h := newHarness(t, 1)
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	h.e.Probe(h.id("two"))
	if !h.conns[0].closed || len(h.conns) != 2 {
		t.Errorf("%d connections, the idle one closed: %v", len(h.conns), h.conns[0].closed)
	}
}

// A ping measures the round trip, without the establishment of the connection.
func TestProbeExcludesConnectTime(t *testing.T) {
	h := newHarness(t, 9)
	h.e.Probe(h.id("one"))
	h.advance(100 * time.Millisecond)
	h.conns[0].listener.Up()
	h.advance(2 * time.Millisecond)
	h.conns[0].listener.Reply(Reply{Result: logic.OK, Load: Load{Known: true, Role: logic.RolePrimary, Position: 1767312000.05, Queue: -1}})
	if p := h.probe; p.Elapsed != 2*time.Millisecond || p.Report.Role != logic.RolePrimary || len(h.conns) != 1 {
		t.Errorf("%+v", p)
	}
	want := clockBase + 50*time.Millisecond
	if p := h.probe.Report.Position; p > want || p < want-2*time.Microsecond {
		t.Errorf("position %v, want %v or a little below", p, want)
	}
	h.e.Probe(h.id("one"))
	if h.conns[0].probes != 2 {
		t.Error("the second probe did not use the connection of the first")
	}
	h.advance(probeTimeout)
	if h.probe.Result != logic.TimedOut {
		t.Errorf("%+v", h.probe)
	}
}

// The connection of a probe that timed out is kept, one for each member: a late answer proves that the process did
// not restart. Its end proves nothing, and is not reported as an outcome.
func TestConnectionOfOverdueProbeKept(t *testing.T) {
	for _, how := range []string{"answer", "end", "noise", "never", "drain"} {
		h := newHarness(t, 9)
		probe := func() *conn {
			h.e.Probe(h.id("one"))
			c := h.conns[len(h.conns)-1]
			c.listener.Up()
			return c
		}
		first := probe()
		h.advance(probeTimeout)
		second := probe()
		h.advance(probeTimeout)
		h.wantCalls("probed 4", "probed 4")
		if first.closed || !second.closed || len(h.conns) != 2 || second.probes != 1 || first.probes != 1 {
			t.Fatalf("%s: closed %v and %v, %d connections", how, first.closed, second.closed, len(h.conns))
		}
		switch how {
		case "answer":
			first.listener.Reply(Reply{Result: logic.OK})
			h.wantCalls("answered 0s")
		case "end":
			first.listener.Down()
		case "noise":
			first.listener.ProtocolError()
		case "never":
			h.advance(overdueKeptFor)
		case "drain":
			h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Draining}}})
		}
		h.calls = nil
		if !first.closed || h.e.Connections() != 0 || h.e.membersByName["one"].overdueConn != nil {
			t.Errorf("%s: closed %v, %d connections", how, first.closed, h.e.Connections())
		}
	}
}

// A member that returns keeps its ID, as the router may still have state for it.
func TestReturningMemberKeepsID(t *testing.T) {
	h := newHarness(t, 9)
	before := h.id("two")
	h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "two", Address: "a:2", State: logic.Gone}}})
	if h.e.membersByName["two"] != nil {
		t.Error("a member that is gone is kept")
	}
	h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "two", Address: "a:2", State: logic.Ready}}})
	if after := h.id("two"); after != before {
		t.Errorf("id %v, was %v", after, before)
	}
}

func TestListChangesPassedToRouter(t *testing.T) {
	h := newHarness(t, 9)
	if e := h.lastList.Entries; h.lastList.Kind != logic.ListCached || len(e) != 2 || e[0].Zone != 1 || e[1].Zone != -1 || e[0].StartedAt != 0 {
		t.Fatalf("%+v", h.lastList)
	}
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:9", State: logic.Ready,
		Started: h.Unix() - time.Second}}})
	if e := h.lastList.Entries; len(e) != 1 || e[0].ID != h.id("one") || e[0].StartedAt != h.now-time.Second {
		t.Errorf("%+v", h.lastList)
	}
	if !h.conns[0].closed {
		t.Error("an idle connection to the old address is kept")
	}
	if h.submitAndSend(&caller{}); h.conns[len(h.conns)-1].address != "a:9" {
		t.Error("the old address is used")
	}
	h.e.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "a:9", State: logic.Draining}}})
	if h.e.membersByName["two"] != nil || h.lastList.Kind != logic.ListFull {
		t.Error("a member that is not in a full list is still known")
	}
}

// An age of 0 would mean that there was no commit; a commit time rounded up to the next millisecond may lie in the
// future.
func TestTokenAge(t *testing.T) {
	h := newHarness(t, 9)
	for after, want := range map[time.Duration]time.Duration{0: 0, -time.Second: time.Second, time.Millisecond: 1} {
		in := Request{Class: "session", Wait: time.Second, Session: 7, Command: command{}, Caller: &caller{}}
		if after != 0 {
			in.LastCommit = int64((h.Unix() + after) / time.Millisecond)
		}
		if h.e.Submit(in); h.lastRequest.TokenAge != want || h.lastRequest.Session != 7 {
			t.Errorf("commit at now%+v: age %v, want %v", after, h.lastRequest.TokenAge, want)
		}
	}
	h.e.Submit(Request{Class: "any", Wait: time.Second, Session: 7, LastCommit: 1, Command: command{}, Caller: &caller{}})
	if h.lastRequest.Session != 0 || h.lastRequest.TokenAge != 0 || h.lastRequest.Deadline >= h.now+time.Second {
		t.Errorf("%+v: the key names a session only in classes with sessions", h.lastRequest)
	}
	if _, err := h.e.Submit(Request{Class: "unheard"}); err == nil || h.e.Pending() != 4 {
		t.Error("an unknown class was accepted")
	}
}

func TestDeadlinesRunInOrderAndMove(t *testing.T) {
	var q Deadlines
	var ran []int
	d := make([]Deadline, 5)
	for i := range d {
		q.Set(&d[i], time.Duration(10-i), func() { ran = append(ran, i) })
	}
	q.Set(&d[0], 1, func() { ran = append(ran, 0); q.Set(&d[0], 1, func() { ran = append(ran, 9) }) })
	q.Clear(&d[3])
	q.Run(8)
	if at, ok := q.Next(); fmt.Sprint(ran) != "[0 9 4 2]" || !ok || at != 9 {
		t.Errorf("ran %v, next %v", ran, at)
	}
}

// After a partition the overdue connection is probed once more, as data sent during the partition may be lost. An
// answer proves that the database did not restart, the connection's end is a sign of a restart, and silence a sign of
// a partition.
func TestOverdueConnectionProbedAgain(t *testing.T) {
	for how, want := range map[string]string{"answer": "answered 0s", "end": "ended 0s", "silence": "mute 0s", "write": "ended 0s"} {
		h := newHarness(t, 9)
		h.e.Probe(h.id("one"))
		first := h.conns[0]
		first.listener.Up()
		h.advance(probeTimeout)
		h.e.Probe(h.id("one"))
		second := h.conns[1]
		second.listener.Up()
		if first.probes != 1 {
			t.Fatalf("probed %d times before the second answer", first.probes)
		}
		if how == "write" {
			first.err = errors.New("broken pipe")
		}
		h.calls = nil
		second.listener.Reply(Reply{Result: logic.OK})
		switch how {
		case "answer":
			first.listener.Reply(Reply{Result: logic.OK})
		case "end":
			first.listener.Down()
		case "silence":
			h.e.Probe(h.id("one")) // which does not probe it a third time
			second.listener.Reply(Reply{Result: logic.OK})
			h.calls = h.calls[1:]
			h.advance(secondProbeTimeout)
		}
		h.wantCalls("probed 0", want)
		if first.probes != 2 || !first.closed || h.e.membersByName["one"].overdueConn != nil {
			t.Errorf("%s: probed %d times, closed %v", how, first.probes, first.closed)
		}
	}
}

// If connections are scarce, one connection to a database serves probes and requests in turn. Separate ones for
// probes took 60 of a proxy's 90 connections, and requests opened and closed the other 30 all day.
func TestFewConnectionsServeProbesAndRequests(t *testing.T) {
	h := newHarness(t, 3)
	h.e.Probe(h.id("one"))
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}})
	h.e.Send(h.lastRequest.ID, h.id("one"), time.Second)
	if len(h.conns) != 1 || h.conns[0].sent != 1 {
		t.Fatalf("%d connections, %d requests on the first", len(h.conns), h.conns[0].sent)
	}
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	h.e.Probe(h.id("one"))
	if len(h.conns) != 1 || h.conns[0].probes != 2 {
		t.Fatalf("%d connections, %d probes on the first", len(h.conns), h.conns[0].probes)
	}
}
