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

// bench is a front whose router is played by the test, with a clock and connections of the test's own.
type bench struct {
	step  time.Duration // by which the wall clock was set since
	t     *testing.T
	f     *Engine
	now   time.Duration
	conns []*conn
	told  []string
	probe logic.ProbeResult
	last  logic.Outcome
	list  logic.MemberList
	req   logic.Request
	onReq func()
	depth int

	givenUp int
	facts   []peers.Report
}

func (b *bench) Now() time.Duration  { return b.now }
func (b *bench) Unix() time.Duration { return b.now + b.step + 1767225600*time.Second }

func (b *bench) note(format string, args ...any) {
	if b.depth > 0 {
		b.t.Errorf("the router is called from within its own call")
	}
	b.told = append(b.told, fmt.Sprintf(format, args...))
}

func (b *bench) Members(_ time.Duration, l logic.MemberList) { b.list = l }
func (b *bench) Request(_ time.Duration, q logic.Request) {
	b.note("request")
	b.depth++
	if b.req = q; b.onReq != nil {
		b.onReq()
	}
	b.depth--
}
func (b *bench) ResponseStarted(time.Duration, logic.RequestID, int) {}
func (b *bench) Outcome(_ time.Duration, o logic.Outcome) {
	b.last = o
	b.note("outcome %d finished=%v", o.Result, o.Finished)
}
func (b *bench) ProbeDone(_ time.Duration, p logic.ProbeResult) {
	b.probe = p
	b.note("probed %d", p.Result)
}
func (b *bench) Timer(time.Duration, logic.TimerID)       { b.note("timer") }
func (b *bench) Abandoned(time.Duration, logic.RequestID) { b.note("abandoned") }
func (b *bench) ConnectionEvidence(_ time.Duration, _ logic.MemberID, what handover.ConnectionEvidence, opened time.Duration) {
	b.note("%s %v", [...]string{"answered", "ended", "mute"}[what], opened-clockBase)
}
func (b *bench) PeerFacts(_ time.Duration, facts []peers.Report) {
	b.facts = append([]peers.Report(nil), facts...)
}
func (b *bench) Watch(bool)          {}
func (b *bench) Fetch()              {}
func (b *bench) AbandonedDials() int { return b.givenUp }
func (b *bench) Open(address string, _ int, to Listener) Conn {
	c := &conn{address: address, to: to}
	b.conns = append(b.conns, c)
	return c
}

type conn struct {
	address string
	to      Listener
	sent    int
	probes  int
	closed  bool
	loud    bool // something has come that nobody asked for
	err     error
}

func (c *conn) Send(Command, time.Duration) error { c.sent++; return c.err }
func (c *conn) Probe() error                      { c.probes++; return c.err }
func (c *conn) Reusable() bool                    { return !c.loud }
func (c *conn) Close()                            { c.closed = true }

type command struct{}

func (command) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type caller struct{ answers []string }

func (c *caller) Served(body []byte)      { c.answers = append(c.answers, "served "+string(body)) }
func (c *caller) Refused(d time.Duration) { c.answers = append(c.answers, "refused "+d.String()) }
func (c *caller) BadRequest([]byte)       { c.Failed() }
func (c *caller) Failed()                 { c.answers = append(c.answers, "failed") }
func (c *caller) want(t *testing.T, s ...string) {
	t.Helper()
	if fmt.Sprint(c.answers) != fmt.Sprint(s) {
		t.Errorf("answers %q, want %q", c.answers, s)
	}
}

func newBench(t *testing.T, links int) *bench {
	b := &bench{t: t, now: clockBase}
	class := func(name string, read logic.Freshness) logic.Class {
		return logic.Class{Name: name, Read: read, MaxAge: time.Second, Aim: time.Second, Limit: 2 * time.Second}
	}
	f, err := New(Config{Logic: logic.Config{Tick: time.Millisecond, Classes: []logic.Class{class("any", logic.Any),
		class("session", logic.Session)}}, Zones: []string{"x", "y"}, IdleClose: 10 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: links}, b, b)
	if err != nil {
		t.Fatal(err)
	}
	b.f, f.router = f, b
	f.Start(b, List{Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Ready},
		{Name: "two", Address: "a:2", Zone: "?", State: logic.Ready}}})
	return b
}

func (b *bench) id(name string) logic.MemberID { return b.f.names[name].id }

// take lets a request in and sends its first attempt to the first member.
func (b *bench) take(c *caller) logic.RequestID {
	id, err := b.f.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: c})
	if err != nil {
		b.t.Fatal(err)
	}
	b.f.Send(id, b.id("one"), 500*time.Millisecond)
	return id
}

func (b *bench) want(events ...string) {
	b.t.Helper()
	if got := strings.Join(b.told, ", "); got != strings.Join(events, ", ") {
		b.t.Errorf("the router was told: %s; want: %s", got, strings.Join(events, ", "))
	}
	b.told = nil
}

func (b *bench) pass(d time.Duration) {
	b.now += d
	b.f.Deadlines.Run(b.now)
}

func outcome(r logic.Result, finished bool) string {
	return fmt.Sprintf("outcome %d finished=%v", r, finished)
}

func TestServedOnceAndConnectionKept(t *testing.T) {
	b, c := newBench(t, 9), &caller{}
	id := b.take(c)
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK, Body: []byte("v"), Role: logic.RoleReplica, Position: 1767225600000})
	b.f.Refuse(id, time.Second) // too late: it has its answer
	b.f.Fail(id)
	c.want(t, "served v")
	b.want("request", outcome(logic.OK, true))
	if b.last.Position != 0 && b.last.Position != b.now-(b.Unix()-1767225600*time.Second) {
		t.Errorf("position %v", b.last.Position)
	}
	b.take(&caller{})
	if len(b.conns) != 1 || b.conns[0].sent != 2 {
		t.Errorf("%d connections, %d requests on the first", len(b.conns), b.conns[0].sent)
	}
	if b.f.Pending() != 1 {
		t.Errorf("%d requests pending", b.f.Pending())
	}
}

// Whether the last byte was written tells what never ran from what may have.
func TestHowAConnectionFailsDecidesTheOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(b *bench)
		want logic.Result
	}{
		"refused":        {func(b *bench) { b.conns[0].to.Refused() }, logic.ConnectFailed},
		"reset on dial":  {func(b *bench) { b.conns[0].to.Down() }, logic.ConnectFailed},
		"never up":       {func(b *bench) { b.pass(250 * time.Millisecond) }, logic.ConnectFailed},
		"turned away":    {func(b *bench) { b.conns[0].to.Reply(Reply{Result: logic.Rejected}) }, logic.Rejected},
		"unwelcome":      {func(b *bench) { b.conns[0].to.Reply(Reply{Result: logic.Failed}) }, logic.ConnectFailed},
		"not written":    {func(b *bench) { b.conns[0].err = errors.New("broken"); b.conns[0].to.Up() }, logic.ConnectFailed},
		"broken behind":  {func(b *bench) { b.conns[0].to.Up(); b.conns[0].to.Down() }, logic.Reset},
		"silent":         {func(b *bench) { b.conns[0].to.Up(); b.pass(500 * time.Millisecond) }, logic.TimedOut},
		"called off":     {func(b *bench) { b.conns[0].to.Up(); b.f.Cancel(1, 0) }, logic.Cancelled},
		"called off yet": {func(b *bench) { b.f.Cancel(1, 0) }, logic.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 9)
			b.take(&caller{})
			c.do(b)
			b.want("request", outcome(c.want, false))
			if b.last.DialRefused != (name == "refused") {
				t.Errorf("told that nothing listens there: %v", b.last.DialRefused)
			}
			if !b.conns[0].closed {
				t.Error("the connection is still open: what comes on it would be taken for the next answer")
			}
			b.conns[0].to.Up()
			b.conns[0].to.Reply(Reply{Result: logic.OK})
			b.conns[0].to.Down()
			b.want()
		})
	}
}

// Nothing goes out on a connection on which something has come that nobody asked for. What came instead of an
// answer ends the attempt, which may have run; a member that spoils a probe's answer lives all the same.
func TestSpoiltConnectionsCarryNothing(t *testing.T) {
	b := newBench(t, 9)
	b.take(&caller{})
	b.conns[0].to.Up()
	b.conns[0].loud = true // a second copy behind the answer, which counts
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	b.take(&caller{})
	b.conns[1].to.Up()
	b.conns[1].to.Reply(Reply{Result: logic.OK})
	b.conns[1].loud = true // it came late
	b.take(&caller{})
	if !b.conns[0].closed || !b.conns[1].closed || b.conns[0].sent+b.conns[1].sent != 2 {
		t.Errorf("closed: %v, %v; sent: %d, %d", b.conns[0].closed, b.conns[1].closed, b.conns[0].sent, b.conns[1].sent)
	}
	b.conns[2].to.Up()
	b.told = nil
	b.conns[2].to.ProtocolError()
	b.f.Probe(b.id("two"))
	b.conns[3].to.Up()
	b.conns[3].to.ProtocolError()
	b.want(outcome(logic.Reset, false), fmt.Sprintf("probed %d", logic.Failed))
}

// Two open requests of one name would be one to the databases, and one client would get the other's answer.
func TestNameOfAnOpenRequestIsNotTakenAgain(t *testing.T) {
	b := newBench(t, 9)
	named := Request{Name: "n", Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}}
	id, err := b.f.Submit(named)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = b.f.Submit(named); err != ErrDuplicateName {
		t.Errorf("taken twice: %v", err)
	}
	b.f.Fail(id)
	if _, err = b.f.Submit(named); err != nil || len(b.f.named) != 1 {
		t.Errorf("%v, %d names", err, len(b.f.named))
	}
}

// A request that databases can't use fails at once, and no member is blamed for it.
func TestUnfitRequestFailsWithoutBlame(t *testing.T) {
	b, c := newBench(t, 9), &caller{}
	b.take(c)
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.Failed, BadRequest: true})
	c.want(t, "failed")
	b.want("request", outcome(logic.Cancelled, true))
}

// Databases come and go under new names all day; news of one that has gone left it in memory for good.
func TestMembersThatAreGoneAreForgotten(t *testing.T) {
	b := newBench(t, 9)
	id := b.take(&caller{})
	b.conns[0].to.Up()
	b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Gone},
		{Name: "two", Address: "a:2", State: logic.Gone}}})
	if len(b.f.members) != 1 || len(b.f.names) != 1 {
		t.Errorf("%d members, %d names; one still owes an answer", len(b.f.members), len(b.f.names))
	}
	b.f.Cancel(id, 0)
	if len(b.f.members) != 0 || len(b.f.names) != 0 {
		t.Errorf("%d members, %d names are left", len(b.f.members), len(b.f.names))
	}
}

// A connection that is given up while it is made holds its descriptor until the dial has ended. Those that fail by
// themselves hold none: counted for good, they left no room for any connection.
func TestConnectionsInTheMakingAreCounted(t *testing.T) {
	b := newBench(t, 1)
	for range 9 {
		b.take(&caller{})
		b.conns[len(b.conns)-1].to.Down()
	}
	if len(b.conns) != 9 || b.f.links != 0 {
		t.Errorf("%d connections opened, %d counted", len(b.conns), b.f.links)
	}
	b.givenUp = 1
	if b.take(&caller{}); len(b.conns) != 9 {
		t.Errorf("there was no descriptor for another connection")
	}
}

func TestNeverTwoAttemptsAtOnce(t *testing.T) {
	b := newBench(t, 9)
	id := b.take(&caller{})
	b.f.Send(id, b.id("two"), time.Second)
	if b.want("request", outcome(logic.NotSent, false)); len(b.conns) != 1 {
		t.Errorf("%d connections", len(b.conns))
	}
}

// What a router's action brings about at once must not come back to it before it has returned.
func TestTheRouterIsNotCalledFromWithinItself(t *testing.T) {
	b, c := newBench(t, 0), &caller{} // no room for any connection
	b.onReq = func() { b.f.Send(1, b.id("one"), time.Second); b.f.Probe(b.id("one")) }
	if _, err := b.f.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: c}); err != nil {
		t.Fatal(err)
	}
	b.want("request", outcome(logic.NotSent, false), fmt.Sprintf("probed %d", logic.NotSent))
	b.f.Refuse(1, time.Millisecond)
	c.want(t, "refused 1ms")
}

func TestAbandonedRequestHasNoAnswer(t *testing.T) {
	b, c := newBench(t, 9), &caller{}
	id := b.take(c)
	b.conns[0].to.Up()
	b.f.Abandon(id)
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	c.want(t)
	if b.want("request", "abandoned", outcome(logic.OK, true)); b.f.Pending() != 0 {
		t.Errorf("%d requests pending", b.f.Pending())
	}
}

// A database closes connections that stand idle, and a request that crosses the close is lost.
func TestIdleConnectionsAreDroppedInTime(t *testing.T) {
	b := newBench(t, 9)
	b.take(&caller{})
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	if b.pass(8 * time.Second); b.conns[0].closed {
		t.Error("closed early")
	}
	if b.pass(time.Second); !b.conns[0].closed {
		t.Error("kept until the database closes it")
	}
	b.take(&caller{})
	b.conns[1].to.Up()
	b.conns[1].to.Reply(Reply{Result: logic.OK})
	b.conns[1].to.Down()
	if b.take(&caller{}); len(b.conns) != 3 {
		t.Error("a connection seen closed was used again")
	}
}

func TestAConnectionThatFallsFreeServesWhoWaits(t *testing.T) {
	b := newBench(t, 9)
	b.take(&caller{})
	b.conns[0].to.Up()
	b.take(&caller{})
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	if b.conns[0].sent != 2 || b.conns[1].sent != 0 {
		t.Errorf("%d and %d requests sent", b.conns[0].sent, b.conns[1].sent)
	}
	b.conns[1].to.Up() // kept for the next
	if b.take(&caller{}); len(b.conns) != 2 || b.conns[1].sent != 1 {
		t.Errorf("%d connections, %d requests on the second", len(b.conns), b.conns[1].sent)
	}
}

func TestFullTableMakesRoomByAnIdleConnection(t *testing.T) {
	b := newBench(t, 1)
	b.take(&caller{})
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	b.f.Probe(b.id("two"))
	if !b.conns[0].closed || len(b.conns) != 2 {
		t.Errorf("%d connections, the idle one closed: %v", len(b.conns), b.conns[0].closed)
	}
}

// A ping is the way there and back, without the start of its connection.
func TestProbeMeasuresThePingAlone(t *testing.T) {
	b := newBench(t, 9)
	b.f.Probe(b.id("one"))
	b.pass(100 * time.Millisecond)
	b.conns[0].to.Up()
	b.pass(2 * time.Millisecond)
	b.conns[0].to.Reply(Reply{Result: logic.OK, Load: Load{Known: true, Role: logic.RolePrimary, Position: 1767312000.05, Queue: -1}})
	if p := b.probe; p.Elapsed != 2*time.Millisecond || p.Report.Role != logic.RolePrimary || len(b.conns) != 1 {
		t.Errorf("%+v", p)
	}
	want := clockBase + 50*time.Millisecond
	if p := b.probe.Report.Position; p > want || p < want-2*time.Microsecond {
		t.Errorf("position %v, want %v or a little below", p, want)
	}
	b.f.Probe(b.id("one"))
	if b.conns[0].probes != 2 {
		t.Error("the second probe did not use the connection of the first")
	}
	b.pass(probeTimeout)
	if b.probe.Result != logic.TimedOut {
		t.Errorf("%+v", b.probe)
	}
}

// The connection of an overdue probe stays, one for each member: a late answer proves that the process never ended. Its end
// proves nothing, and is no outcome of anything.
func TestAnOverdueProbesConnectionBearsWitness(t *testing.T) {
	for _, how := range []string{"answer", "end", "noise", "never", "drain"} {
		b := newBench(t, 9)
		probe := func() *conn {
			b.f.Probe(b.id("one"))
			c := b.conns[len(b.conns)-1]
			c.to.Up()
			return c
		}
		first := probe()
		b.pass(probeTimeout)
		second := probe()
		b.pass(probeTimeout)
		b.want("probed 4", "probed 4")
		if first.closed || !second.closed || len(b.conns) != 2 || second.probes != 1 || first.probes != 1 {
			t.Fatalf("%s: closed %v and %v, %d connections", how, first.closed, second.closed, len(b.conns))
		}
		switch how {
		case "answer":
			first.to.Reply(Reply{Result: logic.OK})
			b.want("answered 0s")
		case "end":
			first.to.Down()
		case "noise":
			first.to.ProtocolError()
		case "never":
			b.pass(witnessFor)
		case "drain":
			b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Draining}}})
		}
		b.told = nil
		if !first.closed || b.f.Connections() != 0 || b.f.names["one"].witness != nil {
			t.Errorf("%s: closed %v, %d links", how, first.closed, b.f.Connections())
		}
	}
}

// One that comes back keeps its id: the router may still hold what it knows of it.
func TestAMemberThatReturnsIsKnownByTheSameID(t *testing.T) {
	b := newBench(t, 9)
	before := b.id("two")
	b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "two", Address: "a:2", State: logic.Gone}}})
	if b.f.names["two"] != nil {
		t.Error("one that is gone is kept")
	}
	b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "two", Address: "a:2", State: logic.Ready}}})
	if after := b.id("two"); after != before {
		t.Errorf("id %v, was %v", after, before)
	}
}

func TestListIsPassedOnWithMovesAndLeavers(t *testing.T) {
	b := newBench(t, 9)
	if e := b.list.Entries; b.list.Kind != logic.ListCached || len(e) != 2 || e[0].Zone != 1 || e[1].Zone != -1 || e[0].StartedAt != 0 {
		t.Fatalf("%+v", b.list)
	}
	b.take(&caller{})
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:9", State: logic.Ready,
		Started: b.Unix() - time.Second}}})
	if e := b.list.Entries; len(e) != 1 || e[0].ID != b.id("one") || e[0].StartedAt != b.now-time.Second {
		t.Errorf("%+v", b.list)
	}
	if !b.conns[0].closed {
		t.Error("an idle connection to the old address is kept")
	}
	if b.take(&caller{}); b.conns[len(b.conns)-1].address != "a:9" {
		t.Error("the old address is used")
	}
	b.f.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "a:9", State: logic.Draining}}})
	if b.f.names["two"] != nil || b.list.Kind != logic.ListFull {
		t.Error("who is left out of a whole list is still known")
	}
}

// An age of 0 would mean that there was no commit; one rounded up to the next millisecond may lie ahead.
func TestTokenIsNeverOlderThanTheCommit(t *testing.T) {
	b := newBench(t, 9)
	for after, want := range map[time.Duration]time.Duration{0: 0, -time.Second: time.Second, time.Millisecond: 1} {
		in := Request{Class: "session", Wait: time.Second, Session: 7, Command: command{}, Caller: &caller{}}
		if after != 0 {
			in.LastCommit = int64((b.Unix() + after) / time.Millisecond)
		}
		if b.f.Submit(in); b.req.TokenAge != want || b.req.Session != 7 {
			t.Errorf("commit at now%+v: age %v, want %v", after, b.req.TokenAge, want)
		}
	}
	b.f.Submit(Request{Class: "any", Wait: time.Second, Session: 7, LastCommit: 1, Command: command{}, Caller: &caller{}})
	if b.req.Session != 0 || b.req.TokenAge != 0 || b.req.Deadline >= b.now+time.Second {
		t.Errorf("%+v: the key names a session in classes that have them only", b.req)
	}
	if _, err := b.f.Submit(Request{Class: "unheard"}); err == nil || b.f.Pending() != 4 {
		t.Error("an unknown class was taken")
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

// Behind a cut the witness is asked once more, as what was sent into the cut may be lost: its answer proves that nobody
// restarted, its end is a sign of a restart, and that it stays, silent, one of a cut.
func TestAWitnessIsAskedAgain(t *testing.T) {
	for how, want := range map[string]string{"answer": "answered 0s", "end": "ended 0s", "silence": "mute 0s", "write": "ended 0s"} {
		b := newBench(t, 9)
		b.f.Probe(b.id("one"))
		first := b.conns[0]
		first.to.Up()
		b.pass(probeTimeout)
		b.f.Probe(b.id("one"))
		second := b.conns[1]
		second.to.Up()
		if first.probes != 1 {
			t.Fatalf("asked %d times in the silence", first.probes)
		}
		if how == "write" {
			first.err = errors.New("broken pipe")
		}
		b.told = nil
		second.to.Reply(Reply{Result: logic.OK})
		switch how {
		case "answer":
			first.to.Reply(Reply{Result: logic.OK})
		case "end":
			first.to.Down()
		case "silence":
			b.f.Probe(b.id("one")) // which asks it no third time
			second.to.Reply(Reply{Result: logic.OK})
			b.told = b.told[1:]
			b.pass(muteAfter)
		}
		b.want("probed 0", want)
		if first.probes != 2 || !first.closed || b.f.names["one"].witness != nil {
			t.Errorf("%s: asked %d times, closed %v", how, first.probes, first.closed)
		}
	}
}

// Where connections are scarce one to a database serves probes and requests in turn: kept apart, those for probes took 60 of a
// proxy's 90, and requests opened and closed the other 30 all day.
func TestScarceConnectionsServeProbesAndRequests(t *testing.T) {
	b := newBench(t, 3)
	b.f.Probe(b.id("one"))
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	b.f.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}})
	b.f.Send(b.req.ID, b.id("one"), time.Second)
	if len(b.conns) != 1 || b.conns[0].sent != 1 {
		t.Fatalf("%d connections, %d requests on the first", len(b.conns), b.conns[0].sent)
	}
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	b.f.Probe(b.id("one"))
	if len(b.conns) != 1 || b.conns[0].probes != 2 {
		t.Fatalf("%d connections, %d probes on the first", len(b.conns), b.conns[0].probes)
	}
}
