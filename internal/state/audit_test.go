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

// The auditor drives an engine with the real router on a simulated clock through faults in random order, and checks
// each action against what was known at that time. All random choices are taken from the script, so that rapid can
// shrink a failure to the shortest script.

// answerSlack is how late an answer may be: held requests are checked at intervals, and networkAllowance is
// subtracted from each deadline.
const answerSlack = 30 * time.Millisecond

type auditor struct {
	t      *rapid.T
	cfg    logic.Config
	engine *Engine
	now    time.Duration
	draws  []int
	drawn  int

	requests     []*auditRequest
	conns        []*auditConn
	listed       map[string]Entry // as last passed to the engine
	draining     map[string]bool  // has been listed as draining, and not as ready since
	hostUp       map[string]bool  // by address: whether it answers
	timers       Deadlines
	fetchPending bool // a call to the discovery service is unanswered
	calm         bool // no further faults
}

// auditRequest is a request, as its client sees it.
type auditRequest struct {
	auditor     *auditor
	number      int
	class       logic.Class
	id          logic.RequestID
	at          time.Duration
	deadline    time.Duration // end of the client's wait
	answers     []string
	abandoned   bool
	abandonedAt time.Duration
	attempts    []*auditAttempt
}

type auditAttempt struct {
	at     time.Duration
	zone   string
	group  int
	open   bool // no outcome so far
	mayRun bool
}

type auditConn struct {
	auditor  *auditor
	address  string
	listener Listener
	up       bool
	closed   bool
	dirty    bool
	attempt  *auditAttempt
	request  *auditRequest
	probing  bool
	syncing  bool
	usedAt   time.Duration
}

type auditCommand struct{ request *auditRequest }

func (auditCommand) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

func (a *auditor) Now() time.Duration  { return a.now }
func (a *auditor) Unix() time.Duration { return a.now + 1767225600*time.Second }
func (a *auditor) AbandonedDials() int { return 0 }
func (a *auditor) Watch(bool)          { a.fetchPending = true }
func (a *auditor) Fetch()              { a.fetchPending = true }

// draw returns a number below n from the script. After the script's end it returns 0, which means no fault.
func (a *auditor) draw(n int) int {
	if a.calm || len(a.draws) == 0 {
		return 0
	}
	a.drawn++
	return a.draws[a.drawn%len(a.draws)] * (1 + a.drawn/len(a.draws)) % n
}

func (a *auditor) after(d time.Duration, do func()) { a.timers.Set(&Deadline{}, a.now+d, do) }

// Served, Refused, Failed and BadRequest implement Caller.
func (r *auditRequest) Served(body []byte) {
	if string(body) != strconv.Itoa(r.number) {
		r.auditor.t.Errorf("request %d is served with %q", r.number, body)
	}
	r.answer("served")
}

func (r *auditRequest) Refused(time.Duration) {
	if r.class.Effect != logic.Idempotent && !(r.class.Effect == logic.Guarded && r.class.Scope == logic.ScopeAll) {
		for _, x := range r.attempts {
			if x.mayRun {
				r.auditor.t.Errorf("request %d (%s) is refused though it may have run", r.number, r.class.Name)
			}
		}
	}
	r.answer("refused")
}

func (r *auditRequest) Failed()           { r.answer("failed") }
func (r *auditRequest) BadRequest([]byte) { r.answer("unfit") }
func (r *auditRequest) answer(how string) {
	r.answers = append(r.answers, how)
	switch {
	case r.abandoned:
		r.auditor.t.Errorf("request %d is answered after it was abandoned", r.number)
	case len(r.answers) > 1:
		r.auditor.t.Errorf("request %d has the answers %v", r.number, r.answers)
	case r.auditor.now > r.deadline+answerSlack:
		r.auditor.t.Errorf("request %d is answered %v late", r.number, r.auditor.now-r.deadline)
	}
}

// Open implements Opener.
func (a *auditor) Open(address string, _ int, to Listener) Conn {
	c := &auditConn{auditor: a, address: address, listener: to, usedAt: a.now}
	a.conns = append(a.conns, c)
	if known := false; !a.calm {
		for _, e := range a.listed {
			known = known || e.Address == address
		}
		if !known {
			a.t.Errorf("a connection to %s, which is not in the list", address)
		}
	}
	switch {
	case !a.hostUp[address] && a.draw(2) == 0:
		a.after(time.Millisecond, func() { c.notify(to.DialRefused) })
	case !a.hostUp[address] || a.draw(12) == 1: // never
	case a.draw(10) == 1: // late: the engine may have closed it
		a.after(time.Duration(a.draw(1500))*time.Millisecond, func() { c.notify(c.connect) })
	default:
		a.after(time.Duration(a.draw(20))*time.Millisecond, func() { c.notify(c.connect) })
	}
	return c
}

func (c *auditConn) connect() {
	c.up, c.usedAt = true, c.auditor.now
	c.listener.Up()
}

// notify passes an event to the engine unless the connection is closed.
func (c *auditConn) notify(event func()) {
	if !c.closed {
		event()
	}
}

func (c *auditConn) Close() {
	if c.closed {
		c.auditor.t.Errorf("a connection is closed twice")
	}
	c.closed = true
	c.clear()
}

// clear ends what is open on the connection, as far as the engine can know.
func (c *auditConn) clear() {
	c.usedAt = c.auditor.now
	if c.attempt != nil {
		c.attempt.open = false
	}
	c.attempt, c.request, c.probing = nil, nil, false
}

func (c *auditConn) Reusable() bool { return !c.dirty && c.attempt == nil && !c.probing && !c.syncing }

// Send implements Conn. It checks all rules on attempts.
func (c *auditConn) Send(cmd Command, wait time.Duration) error {
	a, req := c.auditor, cmd.(auditCommand).request
	t := a.t
	var to Entry
	for _, e := range a.listed {
		if e.Address == c.address {
			to = e
		}
	}
	switch {
	case c.closed || !c.up:
		t.Errorf("request %d is written to a connection that is not established", req.number)
	case c.dirty || c.attempt != nil || c.probing || c.syncing:
		t.Errorf("request %d is written to a connection with unread data", req.number)
	case req.abandoned:
		t.Errorf("request %d is sent %v after its client left", req.number, a.now-req.abandonedAt)
	case len(req.answers) > 0:
		t.Errorf("request %d is sent after its answer", req.number)
	case to.Name == "" || to.State != logic.Ready && !(to.State == logic.Gone && a.cfg.IgnoreGone && !a.draining[to.Name]):
		t.Errorf("request %d is sent to %s, which is listed as %s", req.number, c.address, stateName(to.State))
	case a.now >= req.deadline || wait <= 0 || a.now+wait > req.deadline:
		t.Errorf("request %d is sent %v into its wait of %v, with a timeout of %v", req.number, a.now-req.at, req.deadline-req.at, wait)
	case a.cfg.MaxAttempts > 0 && len(req.attempts) >= a.cfg.MaxAttempts:
		t.Errorf("request %d has attempt %d", req.number, len(req.attempts)+1)
	}
	for _, x := range req.attempts {
		if x.open {
			t.Errorf("request %d has two open attempts", req.number)
		}
		if !x.mayRun || req.class.Effect == logic.Idempotent {
			continue
		}
		if req.class.Effect == logic.SingleShot || a.now > x.at+req.class.DedupWindow || x.group != to.Group && req.class.Scope == logic.ScopeCell ||
			x.zone != to.Zone && req.class.Scope == logic.ScopeZone {
			t.Errorf("request %d (%s) is sent again %v after an attempt that may have run", req.number, req.class.Name, a.now-x.at)
		}
	}
	if a.draw(20) == 1 { // the peer had closed it: the last byte is not written
		return errors.New("broken")
	}
	x := &auditAttempt{at: a.now, zone: to.Zone, group: to.Group, open: true, mayRun: true}
	req.attempts = append(req.attempts, x)
	c.attempt, c.request = x, req
	body := []byte(strconv.Itoa(req.number))
	role := logic.RoleReplica
	if to.Name == "m0" || to.Name == "m3" {
		role = logic.RolePrimary
	}
	reply := func(r Reply) func() {
		return func() {
			c.clear()
			c.listener.Reply(r)
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
		a.after(took, func() { c.notifyAttempt(x, clean(logic.Misdirected)) })
	case 2:
		a.after(took, func() { c.notifyAttempt(x, clean(logic.Rejected)) })
	case 3:
		a.after(took, func() { c.notifyAttempt(x, reply(Reply{Result: logic.Failed, Role: role})) })
	case 4: // reset during the request
		a.after(took, func() { c.notifyAttempt(x, func() { c.clear(); c.listener.Down() }) })
	case 5: // reset long after
		a.after(20*took, func() { c.notifyAttempt(x, func() { c.clear(); c.listener.Down() }) })
	case 6: // invalid data
		a.after(took, func() { c.notifyAttempt(x, func() { c.clear(); c.listener.ProtocolError() }) })
	case 7: // no answer
	case 8: // a duplicate after the answer
		a.after(took, func() {
			c.notifyAttempt(x, func() { c.dirty = true; reply(Reply{Result: logic.OK, Body: body, Role: role})() })
		})
	case 9: // late
		a.after(10*took, func() { c.notifyAttempt(x, reply(Reply{Result: logic.OK, Body: body, Role: role})) })
	default:
		if req.class.Read == logic.Write && role != logic.RolePrimary {
			a.after(took, func() { c.notifyAttempt(x, clean(logic.Misdirected)) })
			break
		}
		a.after(took, func() {
			c.notifyAttempt(x, reply(Reply{Result: logic.OK, Body: body, Role: role, Position: int64((a.Unix() - took) / time.Millisecond)}))
		})
	}
	if a.draw(25) == 1 { // partial data on the idle connection, or its end
		a.after(2*took, func() {
			c.notify(func() {
				if c.attempt == nil && !c.probing {
					if c.dirty = true; a.draw(2) == 0 {
						c.listener.Down()
					}
				}
			})
		})
	}
	return nil
}

// notifyAttempt passes the result of an attempt if the engine still waits for it on this connection.
func (c *auditConn) notifyAttempt(x *auditAttempt, event func()) {
	if !c.closed && c.attempt == x {
		event()
	}
}

// Sync implements Conn. Data received before its answer end the connection.
func (c *auditConn) Sync() error {
	if c.closed || c.attempt != nil || c.probing || c.syncing {
		c.auditor.t.Errorf("a connection is synchronized that is not idle")
	}
	if c.dirty && c.auditor.draw(2) == 0 { // they are there already
		return errors.New("unexpected data")
	}
	c.syncing = true
	if !c.auditor.hostUp[c.address] || c.auditor.draw(15) == 1 {
		return nil
	}
	c.auditor.after(time.Duration(c.auditor.draw(5))*time.Millisecond, func() {
		c.notify(func() {
			switch c.syncing = false; {
			case c.dirty && c.auditor.draw(2) == 0:
				c.listener.ProtocolError()
			case c.dirty || c.auditor.draw(15) == 1:
				c.listener.Down()
			default:
				c.listener.Synced()
			}
		})
	})
	return nil
}

// Probe implements Conn.
func (c *auditConn) Probe() error {
	if c.closed || !c.up || c.syncing {
		c.auditor.t.Errorf("a probe on a connection that is not established")
	}
	c.probing = true
	if !c.auditor.hostUp[c.address] || c.auditor.draw(15) == 1 {
		return nil
	}
	role := logic.RoleReplica
	for _, e := range c.auditor.listed {
		if e.Address == c.address && (e.Name == "m0" || e.Name == "m3") {
			role = logic.RolePrimary
		}
	}
	c.auditor.after(2*time.Millisecond, func() {
		c.notify(func() {
			if c.probing {
				c.clear()
				c.listener.Reply(Reply{Result: logic.OK, Load: Load{Known: true, Role: role, Position: (c.auditor.Unix() - 5*time.Millisecond).Seconds(), Queue: -1}})
			}
		})
	})
	return nil
}

// advance moves the clock forward and runs all timers that are due on the way.
func (a *auditor) advance(d time.Duration) {
	for until := a.now + d; ; {
		next := until
		for _, q := range []*Deadlines{&a.timers, &a.engine.Deadlines} {
			if at, ok := q.Next(); ok {
				next = min(next, at)
			}
		}
		a.now = max(a.now, next)
		a.timers.Run(a.now)
		a.engine.Deadlines.Run(a.now)
		if a.fetchPending {
			a.fetchPending = false
			ok := a.draw(3) != 1
			a.after(10*time.Millisecond, func() {
				if ok {
					a.engine.UpdateList(List{Kind: logic.ListDelta})
				} else {
					a.engine.ListFailed(errors.New("down"))
				}
			})
		}
		if a.now >= until {
			return
		}
	}
}

// drawSettings draws the configuration of a deployment.
func drawSettings(t *rapid.T) logic.Config {
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

func (a *auditor) submit(class int) {
	c := a.cfg.Classes[class%len(a.cfg.Classes)]
	r := &auditRequest{auditor: a, number: len(a.requests), class: c, at: a.now, deadline: a.now + c.Limit}
	id, err := a.engine.Submit(Request{Name: fmt.Sprint(r.number), Class: c.Name, Wait: c.Limit, Session: uint64(r.number % 5), Group: r.number % 2,
		LastCommit: int64((a.Unix() - 50*time.Millisecond) / time.Millisecond), Command: auditCommand{r}, Caller: r})
	if err != nil {
		a.t.Fatal(err)
	}
	r.id = id
	a.requests = append(a.requests, r)
}

func (a *auditor) abandon(n int) {
	if len(a.requests) == 0 {
		return
	}
	if r := a.requests[len(a.requests)-1-n%len(a.requests)]; !r.abandoned && len(r.answers) == 0 {
		r.abandoned, r.abandonedAt = true, a.now
		a.engine.Abandon(r.id)
	}
}

// updateEntry passes a changed entry to the engine.
func (a *auditor) updateEntry(e Entry) {
	a.recordEntry(e)
	a.engine.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{e}})
}

func (a *auditor) recordEntry(e Entry) {
	a.listed[e.Name] = e
	a.draining[e.Name] = e.State == logic.Draining || e.State == logic.Gone && a.draining[e.Name]
}

// updateWholeList passes a full list to the engine, without the members whose bit is not set and those that are gone.
func (a *auditor) updateWholeList(bits int) {
	l := List{Kind: logic.ListFull}
	for i := range len(a.listed) {
		e := a.listed[fmt.Sprint("m", i)]
		if bits>>i&1 == 0 {
			e.State = logic.Gone
		}
		if a.recordEntry(e); e.State != logic.Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	a.engine.UpdateList(l)
}

func (a *auditor) runStep(op, x int) {
	name := fmt.Sprint("m", x%6)
	e := a.listed[name]
	switch op {
	case opTake:
		a.submit(x)
	case opBurst:
		for i := range x % 30 {
			a.submit(i)
		}
	case opLeave:
		a.abandon(x)
	case opPass:
		a.advance(time.Duration(x%400) * time.Millisecond)
	case opList:
		e.State = []logic.MemberState{logic.Ready, logic.Draining, logic.Gone, logic.Ready}[x/6%4]
		a.updateEntry(e)
	case opListAll:
		a.updateWholeList(x)
	case opFail:
		a.engine.ListFailed(errors.New("down"))
	case opHost:
		if a.hostUp[e.Address] = x/6%3 > 0; !a.hostUp[e.Address] && x%2 == 0 { // it dies and resets its connections
			for _, c := range a.conns {
				if c.address == e.Address && c.up {
					c.notify(func() { c.clear(); c.listener.Down() })
				}
			}
		}
	case opAddress:
		e.Address = fmt.Sprintf("%s:%d", name, x)
		a.hostUp[e.Address] = true
		a.updateEntry(e)
	case opRestart:
		e.Started = a.Unix()
		a.updateEntry(e)
	}
}

func runAudit(t *rapid.T) {
	a := &auditor{t: t, cfg: drawSettings(t), now: clockBase, listed: map[string]Entry{}, draining: map[string]bool{}, hostUp: map[string]bool{}}
	a.draws = rapid.SliceOfN(rapid.IntRange(0, 9999), 1, 40).Draw(t, "outcomes")
	script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [2]int {
		return [2]int{rapid.IntRange(0, ops-1).Draw(t, "op"), rapid.IntRange(0, 999).Draw(t, "x")}
	}), 1, 60).Draw(t, "script")
	var err error
	if a.engine, err = New(Config{Logic: a.cfg, Zones: []string{"z0", "z1"}, IdleClose: 3 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		MaxConnections: 12}, a, a); err != nil {
		t.Skip(err)
	}
	var known []Entry
	for i := range 6 {
		e := Entry{Name: fmt.Sprint("m", i), Address: fmt.Sprintf("m%d:0", i), Zone: fmt.Sprint("z", i%2), Group: i / 3, State: logic.Ready, Size: 1}
		known, a.listed[e.Name], a.hostUp[e.Address] = append(known, e), e, true
	}
	a.engine.Start(a, List{Entries: known})
	for _, s := range script {
		a.runStep(s[0], s[1])
		a.advance(time.Duration(s[1]%7) * time.Millisecond)
		a.checkIdleConns()
	}
	a.calm = true
	a.advance(4 * time.Second) // longer than any request
	for _, r := range a.requests {
		if len(r.answers) != 1 && !r.abandoned {
			t.Errorf("request %d has the answers %v", r.number, r.answers)
		}
	}
	a.checkReleased()
	a.advance(overdueKeptFor + 5*time.Second) // and longer than any connection is kept idle
	a.checkReleased()
	for _, c := range a.conns {
		if !c.closed && a.now-c.usedAt > 4*time.Second {
			t.Errorf("a connection to %s has been idle for %v", c.address, a.now-c.usedAt)
		}
	}
}

// checkIdleConns checks that no idle connection leads to a member or address to which no request may be sent.
func (a *auditor) checkIdleConns() {
	for _, m := range a.engine.members {
		for _, l := range m.idleConns {
			if l.address != m.address || m.state != logic.Ready {
				a.t.Errorf("an idle connection to %s is kept, but %s is listed as %s at %s", l.address, m.name, stateName(m.state), m.address)
			}
		}
	}
}

// checkReleased checks, once nothing is open any more, that every slot, connection and timer was released.
func (a *auditor) checkReleased() {
	t, e := a.t, a.engine
	if len(e.requests) > 0 || len(e.names.open) > 0 || len(e.openStreams) > 0 || e.OutstandingAnswers() > 0 {
		t.Errorf("%d requests are kept, %d names, %d streams", len(e.requests), len(e.names.open), len(e.openStreams))
	}
	open := 0
	for _, c := range a.conns {
		if !c.closed {
			open++
		}
	}
	held := 0
	for _, m := range e.members {
		held += len(m.conns)
		if m.probeConn != nil {
			held++
		}
		if m.overdueConn != nil {
			held++
		}
		for _, l := range m.openingConns {
			if l.attempt != nil {
				t.Errorf("an attempt still waits for a connection to %s", m.name)
			}
		}
		if v, ok := e.router.MemberStats(a.now, m.id); ok && v.InFlight > 0 {
			t.Errorf("%d of %s's slots are not released", v.InFlight, m.name)
		}
	}
	if len(e.openConns) != open || held != open {
		t.Errorf("%d connections are open, %d counted, %d held", open, len(e.openConns), held)
	}
	if n := len(e.Deadlines.heap); n > open+2 {
		t.Errorf("%d timers are set for %d connections", n, open)
	}
}

// TestEveryEnding runs random scripts of requests, clients that disconnect, changes of the list, and databases that
// die, hang, reset, move and restart, with random settings. The checks are in Send, answer and checkReleased.
func TestEveryEnding(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(was)
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	checks.Value.Set("2000")
	defer checks.Value.Set(before)
	rapid.Check(t, runAudit)
}
