package logic

import (
	"havenproxy/internal/peers"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const answerGrace = 20 * ms // a final answer this long past its deadline still counts

// world makes up legal event sequences and checks the rules from outside, at every action. It knows the truth
// about each member; the router only gets what a front would be told.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	cfg          Config
	r            *Router
	now          time.Duration
	members      []*simMember
	requests     map[RequestID]*simRequest
	pending      []pendingAnswer
	probes       []MemberID
	timers       []time.Duration
	nextID       RequestID
	sends        int
	commits      map[SessionID]time.Duration // the newest answered commit of each session
	violation    string
	stalledUntil time.Duration // the front stood still until then: what is late by it is not its fault
}

type simMember struct {
	id           MemberID
	group        GroupID
	role         Role
	position     time.Duration
	lag          time.Duration
	state        MemberState
	maybePrimary bool // has been primary, and no answer has told otherwise
	silent       bool
	drained      bool // the front's list said that it drains, and has not called it ready since
}

type simRequest struct {
	Request
	class    Class
	token    time.Duration
	attempts []simAttempt
	done     bool
	finals   int
}

type simAttempt struct {
	sent   time.Duration
	member *simMember
	open   bool
	mayRun bool
}

type pendingAnswer struct {
	request *simRequest
	attempt int
	due     time.Duration
}

func (w *simulation) fail(violation string) {
	if w.violation == "" {
		w.violation = violation
	}
}

func (w *simulation) memberByID(id MemberID) *simMember {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	if id == 900 { // listed, but nothing is there
		return &simMember{id: id, group: 1, silent: true, maybePrimary: true, state: Ready}
	}
	return nil
}

// settle moves the members' logs on.
func (w *simulation) advance(d time.Duration) {
	w.now += d
	for _, m := range w.members {
		if m.role == RolePrimary {
			m.position = w.now
		} else {
			m.position = max(m.position, w.now-m.lag)
		}
	}
}

func (w *simulation) Send(id RequestID, to MemberID, _ time.Duration) {
	q, m := w.requests[id], w.memberByID(to)
	w.sends++
	switch {
	case q == nil || m == nil:
		w.fail("unknown request or member")
		return
	case q.done:
		w.fail("sent after the end")
	case m.group != q.Group:
		w.fail("outside the group")
	case w.cfg.IgnoreGone && m.drained, !w.cfg.IgnoreGone && m.state != Ready:
		w.fail("drain")
	case len(q.attempts) >= w.cfg.MaxAttempts:
		w.fail("attempts")
	}
	for _, a := range q.attempts {
		if a.open && !w.cfg.ParallelAttempts {
			w.fail("two at once")
		}
		if q.class.Effect == Idempotent || !a.open && !a.mayRun {
			continue
		}
		if q.class.Effect == SingleShot || w.now-a.sent > q.class.DedupWindow {
			w.fail("effect twice")
		}
	}
	if !m.maybePrimary && w.cfg.LagCheck == LagCheckNone {
		switch q.class.Read {
		case Bounded:
			if m.position < w.now-q.class.MaxAge {
				w.fail("stale bounded read")
			}
		case Session:
			if m.position < q.token {
				w.fail("stale session read")
			}
		case Fresh:
			w.fail("fresh read at a replica")
		}
	}
	q.attempts = append(q.attempts, simAttempt{w.now, m, true, false})
	due := min(w.now+time.Duration(w.rng.IntN(300))*ms, q.Deadline)
	if m.silent || w.rng.IntN(12) == 0 {
		due = q.Deadline
	}
	w.pending = append(w.pending, pendingAnswer{q, len(q.attempts) - 1, due})
}

func (w *simulation) Probe(to MemberID) { w.probes = append(w.probes, to) }

func (w *simulation) Refuse(id RequestID, _ time.Duration) {
	q := w.requests[id]
	for _, a := range q.attempts {
		if q.class.Effect != Idempotent && (a.open || a.mayRun) {
			w.fail("refused though it may have run")
		}
	}
	w.recordFinal(q)
}
func (w *simulation) Fail(id RequestID) { w.recordFinal(w.requests[id]) }
func (w *simulation) recordFinal(q *simRequest) {
	q.finals++
	q.done = true
	if q.finals > 1 || w.now > max(q.Deadline, w.stalledUntil)+answerGrace {
		w.fail("final answer late or twice")
	}
}
func (w *simulation) Cancel(RequestID, int)                {}
func (w *simulation) SetTimer(_ TimerID, at time.Duration) { w.timers = append(w.timers, at) }
func (w *simulation) WatchList(bool)                       {}
func (w *simulation) FetchList()                           {}
func (w *simulation) SendToPeers([]peers.Report)           {}
func (w *simulation) Log(string)                           {}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[RequestID]*simRequest{}, now: 100 * time.Second}
	w.cfg = testConfig()
	w.cfg.Seed = seed
	w.cfg.SessionTokens, w.cfg.ListOnRequest = w.rng.IntN(2) == 0, w.rng.IntN(2) == 0
	w.cfg.ParallelAttempts, w.cfg.EnableCancel = w.rng.IntN(4) > 0, w.rng.IntN(2) == 0
	w.cfg.IgnoreGone, w.cfg.Proxies = w.rng.IntN(2) == 0, []int{0, 2, 40, 200, -3}[w.rng.IntN(5)]
	w.cfg.ListRole, w.cfg.MaxAttempts = ListRole(w.rng.IntN(3)), 1+w.rng.IntN(8)
	for i := 0; i < 9; i++ {
		m := &simMember{id: MemberID(i + 1), group: GroupID(i / 5), role: RoleReplica, lag: 20 * ms, state: Ready}
		if i%5 == 0 {
			m.role, m.maybePrimary = RolePrimary, true
		}
		w.members = append(w.members, m)
	}
	w.advance(0)
	r, err := New(w.cfg, w)
	if err != nil {
		t.Fatal(err)
	}
	w.r = r
	w.listMembers(ListCached)
	return w
}

func (w *simulation) listMembers(kind ListKind) {
	l := MemberList{Kind: kind}
	for _, m := range w.members {
		e := Member{ID: m.id, Group: m.group, State: m.state}
		// A list may only name one that has been primary; in this world it is right or silent.
		e.Primary = w.cfg.ListRole != ListRoleNone && m.role == RolePrimary
		m.drained = m.state == Draining || m.drained && m.state != Ready
		if m.state != Gone || kind == ListDelta {
			l.Entries = append(l.Entries, e)
		}
	}
	if kind == ListFull && w.rng.IntN(3) == 0 { // members that don't exist, and one named twice
		l.Entries = append(l.Entries, Member{ID: 900, Group: 1, State: Ready}, l.Entries[0])
	}
	w.r.Members(w.now, l)
}

// trouble changes the world: lag, silence, drains, restarts, changes of primary.
func (w *simulation) injectFault() {
	m := w.members[w.rng.IntN(len(w.members))]
	switch w.rng.IntN(8) {
	case 6: // the list calls all gone, though nothing is; without DrainOnly that binds
		if w.cfg.IgnoreGone {
			w.r.Members(w.now, MemberList{Kind: ListFull})
		}
	case 7:
		w.advance(time.Duration(300+w.rng.IntN(1700)) * ms)
		w.stalledUntil = w.now
	case 0:
		m.lag = time.Duration(w.rng.IntN(3000)) * ms
	case 1:
		m.silent = !m.silent
	case 2:
		m.state = MemberState(w.rng.IntN(3))
		w.listMembers(ListDelta)
	case 3, 4:
		m.lag, m.silent, m.state = 15*ms, false, Ready
		w.listMembers(ListFull)
	case 5:
		for _, x := range w.members {
			if x.group == m.group && x.role == RolePrimary {
				x.role = RoleReplica
			}
		}
		m.role, m.maybePrimary = RolePrimary, true
	}
}

// queue is what a member reports to be waiting, sensible or not.
func (w *simulation) reportedQueue() float64 {
	return []float64{-1, 0, 0, 0, 3, 1e300, math.NaN(), math.Inf(1)}[w.rng.IntN(8)]
}

func (w *simulation) submit() {
	w.nextID++
	c := w.rng.IntN(len(w.cfg.Classes))
	in := Request{ID: w.nextID, Class: c, Group: GroupID(w.rng.IntN(2)), Session: SessionID(1 + w.rng.IntN(6)),
		Deadline: w.now + w.cfg.Classes[c].Limit*time.Duration(2+w.rng.IntN(99))/100}
	q := &simRequest{Request: in, class: w.cfg.Classes[c]}
	if q.class.Read == Session && w.cfg.SessionTokens && w.rng.IntN(3) > 0 {
		q.TokenAge = time.Duration(1+w.rng.IntN(1500)) * ms
		q.token = w.now - q.TokenAge
	} else if q.class.Read == Session && !w.cfg.SessionTokens {
		q.token = w.commits[in.Session]
	}
	w.requests[q.ID] = q
	w.r.Request(w.now, q.Request)
}

func (w *simulation) finishDue() {
	var remaining []pendingAnswer
	due := w.pending
	w.pending = nil
	for _, f := range due {
		if f.due > w.now {
			remaining = append(remaining, f)
			continue
		}
		w.finishAttempt(f)
	}
	w.pending = append(w.pending, remaining...)
}

func (w *simulation) finishAttempt(f pendingAnswer) {
	q, a := f.request, &f.request.attempts[f.attempt]
	m := a.member
	o := Outcome{Request: q.ID, Attempt: f.attempt, Member: m.id, Elapsed: w.now - a.sent}
	switch draw := w.rng.IntN(20); {
	case w.now >= q.Deadline || m.silent:
		o.Result = TimedOut
	case q.class.Read == Write && m.role != RolePrimary:
		o.Result = Misdirected
	case draw == 0:
		o.Result = Failed
	case draw == 1:
		o.Result = Rejected
	case draw == 2:
		o.Result = ConnectFailed
	case draw == 3:
		o.Result = Reset
	default:
		o.Result = OK
	}
	a.open, a.mayRun = false, !o.Result.NeverRan()
	if o.Result == OK || o.Result == Misdirected || o.Result == Failed || o.Result == Rejected {
		o.Role, o.Position = m.role, m.position.Truncate(ms)
		if m.role != RolePrimary {
			m.maybePrimary = false
		}
	}
	if o.Result == OK && !q.done {
		q.done = true
		q.finals++
		if q.class.Read == Write {
			o.Position = w.now
			w.commits[q.Session] = w.now
		}
	}
	o.Finished = q.done
	w.r.Outcome(w.now, o)
}

func (w *simulation) run(steps int) string {
	w.commits = map[SessionID]time.Duration{}
	for i := 0; i < steps && w.violation == ""; i++ {
		w.advance(time.Duration(1+w.rng.IntN(10)) * ms)
		for len(w.timers) > 0 && w.timers[0] <= w.now {
			w.timers = w.timers[1:]
			w.r.Timer(w.now, tickTimer)
		}
		probed := w.probes
		w.probes = nil
		for _, id := range probed {
			m := w.memberByID(id)
			end := ProbeEnd{Member: id, Elapsed: ms, Report: Report{Role: m.role, Position: m.position, Queue: w.reportedQueue()}}
			if m.silent {
				end = ProbeEnd{Member: id, Result: TimedOut, Elapsed: 250 * ms}
			}
			w.r.Probed(w.now, end)
		}
		w.finishDue()
		if w.rng.IntN(40) == 0 {
			w.injectFault()
		}
		if w.rng.IntN(100) == 0 {
			w.r.Members(w.now, MemberList{Kind: ListFailed})
		}
		for n := w.rng.IntN(3); n > 0 && i < steps-1800; n-- {
			w.submit()
		}
		for _, q := range w.requests {
			if !q.done && w.now > max(q.Deadline, w.stalledUntil)+answerGrace {
				w.fail("no final answer")
			}
			if q.done && w.now > q.Deadline+time.Second {
				delete(w.requests, q.ID)
			}
		}
	}
	if w.violation == "" && len(w.r.requests) != 0 {
		w.fail("requests kept after all have ended")
	}
	return w.violation
}

func TestInvariantsInRandomSimulations(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		w := newSimulation(t, seed)
		if broken := w.run(4000); broken != "" {
			t.Errorf("seed %d: %s at %v", seed, broken, w.now)
		}
		if w.sends < 250 {
			t.Errorf("seed %d: only %d sends: the day tests nothing", seed, w.sends)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if broken := newSimulation(t, seed).run(3000); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
	})
}

// The checker itself must see a broken rule.
func TestCheckerDetectsViolations(t *testing.T) {
	for want, act := range map[string]func(w *simulation, q *simRequest){
		"sent after the end": func(w *simulation, q *simRequest) { q.done = true; w.Send(q.ID, 1, 0) },
		"drain":              func(w *simulation, q *simRequest) { w.members[1].state = Draining; w.Send(q.ID, 2, 0) },
		"outside the group":  func(w *simulation, q *simRequest) { w.Send(q.ID, 9, 0) },
		"effect twice": func(w *simulation, q *simRequest) {
			q.class.Effect = SingleShot
			w.cfg.ParallelAttempts = true
			w.Send(q.ID, 1, 0)
			w.Send(q.ID, 1, 0)
		},
		"stale bounded read": func(w *simulation, q *simRequest) {
			w.members[1].position = w.now - time.Hour
			q.class.Read, q.class.MaxAge = Bounded, time.Second
			w.Send(q.ID, 2, 0)
		},
		"stale session read": func(w *simulation, q *simRequest) {
			q.class.Read, q.token = Session, w.now
			w.Send(q.ID, 2, 0)
		},
		"final answer late or twice":     func(w *simulation, q *simRequest) { w.Fail(q.ID); w.Fail(q.ID) },
		"refused though it may have run": func(w *simulation, q *simRequest) { q.class.Effect = Guarded; w.Send(q.ID, 1, 0); w.Refuse(q.ID, 0) },
	} {
		w := newSimulation(t, 3)
		q := &simRequest{Request: Request{ID: 1, Group: 0, Deadline: w.now + time.Second}, class: Class{Read: Any, Limit: time.Second}}
		w.requests[1] = q
		w.cfg.MaxAttempts = 8
		if act(w, q); w.violation != want {
			t.Errorf("the checker says %q, want %q", w.violation, want)
		}
	}
}

// State must not grow with the length of a run: sessions, requests and replaced members all end.
func BenchmarkRequest(b *testing.B) {
	r, _ := New(testConfig(), silentActions{})
	now := 100 * time.Second
	l := MemberList{Kind: ListFull}
	for i := 1; i <= 12; i++ {
		l.Entries = append(l.Entries, Member{ID: MemberID(i), Group: GroupID(i / 7), State: Ready})
	}
	r.Members(now, l)
	now += time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := RequestID(i + 1)
		r.Request(now, Request{ID: id, Class: classAny, Session: SessionID(i), Deadline: now + time.Second})
		r.Outcome(now, Outcome{Request: id, Member: 1, Result: OK, Finished: true, Role: RoleReplica, Position: now})
	}
	if len(r.requests) > 0 || len(r.pins.entries) > maxSessionEntries {
		b.Fatalf("%d requests, %d pins kept", len(r.requests), len(r.pins.entries))
	}
}

type silentActions struct{ printingActions }

func (silentActions) Send(RequestID, MemberID, time.Duration) {}
