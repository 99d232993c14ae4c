package state

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"havenproxy/internal/fixed"
	"havenproxy/logic"
)

func TestMain(m *testing.M) { fixed.Main(m) }

// The auditor of endings drives a front with the real router on a clock of its own through whatever may end, in any order, and holds each
// thing that is done against what was then known. All that is drawn comes of the script, so that a failure is cut down to the shortest one.

// auditSlack is how late an answer may come: the router looks at what is held so often, and the way home is kept back beside that.
const auditSlack = 30 * time.Millisecond

type audit struct {
	t     *rapid.T
	cfg   logic.Config
	f     *Engine
	now   time.Duration
	draws []int
	drawn int

	reqs   []*audited
	conns  []*auditConn
	listed map[string]Entry // as the front was told last
	drains map[string]bool  // listed as draining, and not as ready since
	hosts  map[string]bool  // by address: it answers
	later  Deadlines
	wants  bool // a call to discovery is owed an answer
	over   bool // no further faults
}

// audited is a request, as its client sees it.
type audited struct {
	a       *audit
	n       int
	class   logic.Class
	id      logic.RequestID
	at      time.Duration
	until   time.Duration // the client's
	answers []string
	left    bool
	leftAt  time.Duration
	tries   []*auditTry
}

type auditTry struct {
	at     time.Duration
	zone   string
	group  int
	open   bool // no outcome has come
	mayRun bool
}

type auditConn struct {
	a       *audit
	address string
	to      Listener
	up      bool
	closed  bool
	loud    bool
	busy    *auditTry
	req     *audited
	probing bool
	usedAt  time.Duration
}

type auditCommand struct{ q *audited }

func (auditCommand) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

func (a *audit) Now() time.Duration  { return a.now }
func (a *audit) Unix() time.Duration { return a.now + 1767225600*time.Second }
func (a *audit) AbandonedDials() int { return 0 }
func (a *audit) Watch(bool)          { a.wants = true }
func (a *audit) Fetch()              { a.wants = true }

// draw gives a number below n, out of the script; behind its end always 0, the kindest.
func (a *audit) draw(n int) int {
	if a.over || len(a.draws) == 0 {
		return 0
	}
	a.drawn++
	return a.draws[a.drawn%len(a.draws)] * (1 + a.drawn/len(a.draws)) % n
}

func (a *audit) after(d time.Duration, f func()) { a.later.Set(&Deadline{}, a.now+d, f) }

// Served, Refused, Failed and Unfit implement Caller.
func (q *audited) Served(body []byte) {
	if string(body) != strconv.Itoa(q.n) {
		q.a.t.Errorf("request %d is served with %q", q.n, body)
	}
	q.answer("served")
}

func (q *audited) Refused(time.Duration) {
	if q.class.Effect != logic.Idempotent && !(q.class.Effect == logic.Guarded && q.class.Scope == logic.ScopeAll) {
		for _, x := range q.tries {
			if x.mayRun {
				q.a.t.Errorf("request %d (%s) is refused though it may have run", q.n, q.class.Name)
			}
		}
	}
	q.answer("refused")
}

func (q *audited) Failed()           { q.answer("failed") }
func (q *audited) BadRequest([]byte) { q.answer("unfit") }
func (q *audited) answer(how string) {
	q.answers = append(q.answers, how)
	switch {
	case q.left:
		q.a.t.Errorf("request %d is answered though its client has left", q.n)
	case len(q.answers) > 1:
		q.a.t.Errorf("request %d has the answers %v", q.n, q.answers)
	case q.a.now > q.until+auditSlack:
		q.a.t.Errorf("request %d is answered %v late", q.n, q.a.now-q.until)
	}
}

// Open implements Opener.
func (a *audit) Open(address string, _ int, to Listener) Conn {
	c := &auditConn{a: a, address: address, to: to, usedAt: a.now}
	a.conns = append(a.conns, c)
	if known := false; !a.over {
		for _, e := range a.listed {
			known = known || e.Address == address
		}
		if !known {
			a.t.Errorf("a connection to %s, which the list does not name", address)
		}
	}
	switch {
	case !a.hosts[address] && a.draw(2) == 0:
		a.after(time.Millisecond, func() { c.tell(to.Refused) })
	case !a.hosts[address] || a.draw(12) == 1: // never
	case a.draw(10) == 1: // late: the front may have given it up
		a.after(time.Duration(a.draw(1500))*time.Millisecond, func() { c.tell(c.isUp) })
	default:
		a.after(time.Duration(a.draw(20))*time.Millisecond, func() { c.tell(c.isUp) })
	}
	return c
}

func (c *auditConn) isUp() {
	c.up, c.usedAt = true, c.a.now
	c.to.Up()
}

// tell tells the front what happens on a connection that it has not closed.
func (c *auditConn) tell(f func()) {
	if !c.closed {
		f()
	}
}

func (c *auditConn) Close() {
	if c.closed {
		c.a.t.Errorf("a connection is closed twice")
	}
	c.closed = true
	c.done()
}

// done ends what is out there, as far as the front can know it.
func (c *auditConn) done() {
	c.usedAt = c.a.now
	if c.busy != nil {
		c.busy.open = false
	}
	c.busy, c.req, c.probing = nil, nil, false
}

func (c *auditConn) Reusable() bool { return !c.loud && c.busy == nil && !c.probing }

// Send implements Conn; here all rules on attempts are checked.
func (c *auditConn) Send(cmd Command, wait time.Duration) error {
	a, q := c.a, cmd.(auditCommand).q
	t := a.t
	var to Entry
	for _, e := range a.listed {
		if e.Address == c.address {
			to = e
		}
	}
	switch {
	case c.closed || !c.up:
		t.Errorf("request %d is written to a connection that is not up", q.n)
	case c.loud || c.busy != nil || c.probing:
		t.Errorf("request %d is written behind what is left over", q.n)
	case q.left:
		t.Errorf("request %d is sent %v after its client left", q.n, a.now-q.leftAt)
	case len(q.answers) > 0:
		t.Errorf("request %d is sent behind its answer", q.n)
	case to.Name == "" || to.State != logic.Ready && !(to.State == logic.Gone && a.cfg.IgnoreGone && !a.drains[to.Name]):
		t.Errorf("request %d is sent to %s, which is listed as %s", q.n, c.address, stateName(to.State))
	case a.now >= q.until || wait <= 0 || a.now+wait > q.until:
		t.Errorf("request %d is sent at %v of %v, to wait for %v", q.n, a.now-q.at, q.until-q.at, wait)
	case a.cfg.MaxAttempts > 0 && len(q.tries) >= a.cfg.MaxAttempts:
		t.Errorf("request %d has attempt %d", q.n, len(q.tries)+1)
	}
	for _, x := range q.tries {
		if x.open {
			t.Errorf("request %d has two attempts out", q.n)
		}
		if !x.mayRun || q.class.Effect == logic.Idempotent {
			continue
		}
		if q.class.Effect == logic.SingleShot || a.now > x.at+q.class.DedupWindow || x.group != to.Group && q.class.Scope == logic.ScopeCell ||
			x.zone != to.Zone && q.class.Scope == logic.ScopeZone {
			t.Errorf("request %d (%s) goes again %v after an attempt that may have run", q.n, q.class.Name, a.now-x.at)
		}
	}
	if a.draw(20) == 1 { // the other side had closed it: the last byte is not written
		return errors.New("broken")
	}
	x := &auditTry{at: a.now, zone: to.Zone, group: to.Group, open: true, mayRun: true}
	q.tries = append(q.tries, x)
	c.busy, c.req = x, q
	body := []byte(strconv.Itoa(q.n))
	role := logic.RoleReplica
	if to.Name == "m0" || to.Name == "m3" {
		role = logic.RolePrimary
	}
	reply := func(r Reply) func() {
		return func() {
			c.done()
			c.to.Reply(r)
		}
	}
	took := time.Duration(1+a.draw(60)) * time.Millisecond
	clean := func(r logic.Result) func() {
		return func() {
			x.mayRun = false
			reply(Reply{Result: r, Role: role})()
		}
	}
	switch a.draw(16) {
	case 1:
		a.after(took, func() { c.tellOf(x, clean(logic.Misdirected)) })
	case 2:
		a.after(took, func() { c.tellOf(x, clean(logic.Rejected)) })
	case 3:
		a.after(took, func() { c.tellOf(x, reply(Reply{Result: logic.Failed, Role: role})) })
	case 4: // reset under the request
		a.after(took, func() { c.tellOf(x, func() { c.done(); c.to.Down() }) })
	case 5: // long after
		a.after(20*took, func() { c.tellOf(x, func() { c.done(); c.to.Down() }) })
	case 6: // nonsense
		a.after(took, func() { c.tellOf(x, func() { c.done(); c.to.ProtocolError() }) })
	case 7: // nothing
	case 8: // a second copy behind the answer
		a.after(took, func() {
			c.tellOf(x, func() { c.loud = true; reply(Reply{Result: logic.OK, Body: body, Role: role})() })
		})
	case 9: // late
		a.after(10*took, func() { c.tellOf(x, reply(Reply{Result: logic.OK, Body: body, Role: role})) })
	default:
		if q.class.Read == logic.Write && role != logic.RolePrimary {
			a.after(took, func() { c.tellOf(x, clean(logic.Misdirected)) })
			break
		}
		a.after(took, func() {
			c.tellOf(x, reply(Reply{Result: logic.OK, Body: body, Role: role, Position: int64((a.Unix() - took) / time.Millisecond)}))
		})
	}
	if a.draw(25) == 1 { // half a line on it once it is idle, or its end
		a.after(2*took, func() {
			c.tell(func() {
				if c.busy == nil && !c.probing {
					if c.loud = true; a.draw(2) == 0 {
						c.to.Down()
					}
				}
			})
		})
	}
	return nil
}

// tellOf tells what becomes of an attempt that the front still waits for on this connection.
func (c *auditConn) tellOf(x *auditTry, f func()) {
	if !c.closed && c.busy == x {
		f()
	}
}

// Probe implements Conn.
func (c *auditConn) Probe() error {
	if c.closed || !c.up {
		c.a.t.Errorf("a probe on a connection that is not up")
	}
	c.probing = true
	if !c.a.hosts[c.address] || c.a.draw(15) == 1 {
		return nil
	}
	role := logic.RoleReplica
	for _, e := range c.a.listed {
		if e.Address == c.address && (e.Name == "m0" || e.Name == "m3") {
			role = logic.RolePrimary
		}
	}
	c.a.after(2*time.Millisecond, func() {
		c.tell(func() {
			if c.probing {
				c.done()
				c.to.Reply(Reply{Result: logic.OK, Load: Load{Known: true, Role: role, Position: (c.a.Unix() - 5*time.Millisecond).Seconds(), Queue: -1}})
			}
		})
	})
	return nil
}

// pass lets time go on, from one thing that is due to the next.
func (a *audit) pass(d time.Duration) {
	for until := a.now + d; ; {
		next := until
		for _, q := range []*Deadlines{&a.later, &a.f.Deadlines} {
			if at, ok := q.Next(); ok {
				next = min(next, at)
			}
		}
		a.now = max(a.now, next)
		a.later.Run(a.now)
		a.f.Deadlines.Run(a.now)
		if a.wants {
			a.wants = false
			ok := a.draw(3) != 1
			a.after(10*time.Millisecond, func() {
				if ok {
					a.f.UpdateList(List{Kind: logic.ListDelta})
				} else {
					a.f.ListFailed(errors.New("down"))
				}
			})
		}
		if a.now >= until {
			return
		}
	}
}

// auditSettings draws a deployment.
func auditSettings(t *rapid.T) logic.Config {
	ms := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
	c := logic.Config{Seed: uint64(rapid.IntRange(1, 9).Draw(t, "seed")), Proxies: rapid.IntRange(1, 3).Draw(t, "fronts"), Tick: 5 * time.Millisecond,
		ListOnRequest: true, SessionTokens: yes("carried"), EnableProbes: yes("probes"), EnableCancel: yes("cancel"), EnableRetryAfter: yes("come back"),
		MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"), MaxRetryAfter: 300 * time.Millisecond, ColdPeriod: 2 * time.Second, ColdShare: 0.2,
		OverloadMultiple: 2.5, IgnoreGone: yes("drain only"), LagCheck: logic.LagCheck(rapid.IntRange(0, 2).Draw(t, "checks")),
		Zone: rapid.IntRange(0, 1).Draw(t, "zone")}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		x := logic.Class{Name: fmt.Sprint("class ", i), Read: logic.Freshness(rapid.IntRange(0, 4).Draw(t, "read")), MaxAge: ms("age", 50, 800),
			Aim: ms("aim", 5, 300), Effect: logic.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Scope: logic.KeyScope(rapid.IntRange(0, 2).Draw(t, "scope")),
			DedupWindow: ms("window", 5, 2000), Worth: float64(rapid.IntRange(0, 4).Draw(t, "worth"))}
		x.Limit = x.Aim + ms("limit", 0, 1500)
		c.Classes = append(c.Classes, x)
	}
	return c
}

const (
	opTake = iota
	opLeave
	opPass
	opList
	opFail
	opHost
	opAddress
	opRestart
	opBurst
	opListAll
	ops
)

func (a *audit) take(class int) {
	c := a.cfg.Classes[class%len(a.cfg.Classes)]
	q := &audited{a: a, n: len(a.reqs), class: c, at: a.now, until: a.now + c.Limit}
	id, err := a.f.Submit(Request{Name: fmt.Sprint(q.n), Class: c.Name, Wait: c.Limit, Session: uint64(q.n % 5), Group: q.n % 2,
		LastCommit: int64((a.Unix() - 50*time.Millisecond) / time.Millisecond), Command: auditCommand{q}, Caller: q})
	if err != nil {
		a.t.Fatal(err)
	}
	q.id = id
	a.reqs = append(a.reqs, q)
}

func (a *audit) leave(n int) {
	if len(a.reqs) == 0 {
		return
	}
	if q := a.reqs[len(a.reqs)-1-n%len(a.reqs)]; !q.left && len(q.answers) == 0 {
		q.left, q.leftAt = true, a.now
		a.f.Abandon(q.id)
	}
}

// tell puts an entry of the list into force.
func (a *audit) tell(e Entry) {
	a.note(e)
	a.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{e}})
}

func (a *audit) note(e Entry) {
	a.listed[e.Name] = e
	a.drains[e.Name] = e.State == logic.Draining || e.State == logic.Gone && a.drains[e.Name]
}

// tellAll puts a whole list into force, which leaves out those whose bit is not set, and those that are gone.
func (a *audit) tellAll(bits int) {
	l := List{Kind: logic.ListFull}
	for i := range len(a.listed) {
		e := a.listed[fmt.Sprint("m", i)]
		if bits>>i&1 == 0 {
			e.State = logic.Gone
		}
		if a.note(e); e.State != logic.Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	a.f.UpdateList(l)
}

func (a *audit) do(op, x int) {
	name := fmt.Sprint("m", x%6)
	e := a.listed[name]
	switch op {
	case opTake:
		a.take(x)
	case opBurst:
		for i := range x % 30 {
			a.take(i)
		}
	case opLeave:
		a.leave(x)
	case opPass:
		a.pass(time.Duration(x%400) * time.Millisecond)
	case opList:
		e.State = []logic.MemberState{logic.Ready, logic.Draining, logic.Gone, logic.Ready}[x/6%4]
		a.tell(e)
	case opListAll:
		a.tellAll(x)
	case opFail:
		a.f.ListFailed(errors.New("down"))
	case opHost:
		if a.hosts[e.Address] = x/6%3 > 0; !a.hosts[e.Address] && x%2 == 0 { // it dies, and does not only fall silent
			for _, c := range a.conns {
				if c.address == e.Address && c.up {
					c.tell(func() { c.done(); c.to.Down() })
				}
			}
		}
	case opAddress:
		e.Address = fmt.Sprintf("%s:%d", name, x)
		a.hosts[e.Address] = true
		a.tell(e)
	case opRestart:
		e.Started = a.Unix()
		a.tell(e)
	}
}

func playAudit(t *rapid.T) {
	a := &audit{t: t, cfg: auditSettings(t), now: clockBase, listed: map[string]Entry{}, drains: map[string]bool{}, hosts: map[string]bool{}}
	a.draws = rapid.SliceOfN(rapid.IntRange(0, 9999), 1, 40).Draw(t, "outcomes")
	script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [2]int {
		return [2]int{rapid.IntRange(0, ops-1).Draw(t, "op"), rapid.IntRange(0, 999).Draw(t, "x")}
	}), 1, 60).Draw(t, "script")
	var err error
	if a.f, err = New(Config{Logic: a.cfg, Zones: []string{"z0", "z1"}, IdleClose: 3 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		MaxConnections: 12}, a, a); err != nil {
		t.Skip(err)
	}
	var known []Entry
	for i := range 6 {
		e := Entry{Name: fmt.Sprint("m", i), Address: fmt.Sprintf("m%d:0", i), Zone: fmt.Sprint("z", i%2), Group: i / 3, State: logic.Ready, Size: 1}
		known, a.listed[e.Name], a.hosts[e.Address] = append(known, e), e, true
	}
	a.f.Start(a, List{Entries: known})
	for _, s := range script {
		a.do(s[0], s[1])
		a.pass(time.Duration(s[1]%7) * time.Millisecond)
		a.resting()
	}
	a.over = true
	a.pass(4 * time.Second) // longer than any request
	for _, q := range a.reqs {
		if len(q.answers) != 1 && !q.left {
			t.Errorf("request %d has the answers %v", q.n, q.answers)
		}
	}
	a.returned()
	a.pass(witnessFor + 5*time.Second) // and than any connection stands idle
	a.returned()
	for _, c := range a.conns {
		if !c.closed && a.now-c.usedAt > 4*time.Second {
			t.Errorf("a connection to %s stands idle since %v", c.address, a.now-c.usedAt)
		}
	}
}

// resting looks at what stands idle: nothing leads to where no request may go.
func (a *audit) resting() {
	for _, m := range a.f.members {
		for _, l := range m.idle {
			if l.address != m.address || m.state != logic.Ready {
				a.t.Errorf("an idle connection to %s is kept, %s is listed as %s at %s", l.address, m.name, stateName(m.state), m.address)
			}
		}
	}
}

// returned asks for all that was taken: nothing is under way any more, so every slot, connection and timer has come back.
func (a *audit) returned() {
	t, f := a.t, a.f
	if len(f.requests) > 0 || len(f.named) > 0 || f.streams > 0 || f.OutstandingAnswers() > 0 {
		t.Errorf("%d requests are kept, %d names, %d streams", len(f.requests), len(f.named), f.streams)
	}
	open := 0
	for _, c := range a.conns {
		if !c.closed {
			open++
		}
	}
	held := 0
	for _, m := range f.members {
		held += len(m.links)
		if m.probe != nil {
			held++
		}
		if m.witness != nil {
			held++
		}
		for _, l := range m.opening {
			if l.attempt != nil {
				t.Errorf("an attempt still waits for a connection to %s", m.name)
			}
		}
		if v, ok := f.planned.MemberStats(a.now, m.id); ok && v.InFlight > 0 {
			t.Errorf("%d of %s's slots are not returned", v.InFlight, m.name)
		}
	}
	if f.links != open || held != open {
		t.Errorf("%d connections are open, %d counted, %d held", open, f.links, held)
	}
	if n := len(f.Deadlines.heap); n > open+2 {
		t.Errorf("%d timers are set for %d connections", n, open)
	}
}

// TestEveryEnding plays random scripts: requests, clients that leave, lists that change, databases that die, hang, reset, move and start anew,
// under random settings. What it must never see is in Send, answer and returned.
func TestEveryEnding(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(was)
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	checks.Value.Set("2000")
	defer checks.Value.Set(before)
	rapid.Check(t, playAudit)
}
