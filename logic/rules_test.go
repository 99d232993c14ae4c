package logic

import (
	"havenproxy/internal/peers"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const answerGrace = 20 * ms // a final answer this long after its deadline is still accepted

// simulation generates random legal event sequences and checks the routing rules from outside at every action. It
// knows the true state of each member; the router only gets what a proxy would report to it.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	cfg          Config
	router       *Router
	now          time.Duration
	members      []*simMember
	requests     map[RequestID]*simRequest
	pending      []pendingAnswer
	probes       []MemberID
	timers       []time.Duration
	nextID       RequestID
	sends        int
	commits      map[SessionID]time.Duration // latest answered commit of each session
	violation    string
	stalledUntil time.Duration // the proxy was stalled until then, so delays up to then are not the router's fault
}

type simMember struct {
	id           MemberID
	group        GroupID
	role         Role
	position     time.Duration
	lag          time.Duration
	state        MemberState
	maybePrimary bool // has been primary, and no answer has reported otherwise since
	silent       bool
	drained      bool // the list named it as draining, and has not named it as ready since
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

func (s *simulation) fail(violation string) {
	if s.violation == "" {
		s.violation = violation
	}
}

func (s *simulation) memberByID(id MemberID) *simMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	if id == 900 { // listed, but not running
		return &simMember{id: id, group: 1, silent: true, maybePrimary: true, state: Ready}
	}
	return nil
}

// advance advances the clock and the members' logs.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, m := range s.members {
		if m.role == RolePrimary {
			m.position = s.now
		} else {
			m.position = max(m.position, s.now-m.lag)
		}
	}
}

func (s *simulation) Send(id RequestID, to MemberID, _ time.Duration) {
	q, m := s.requests[id], s.memberByID(to)
	s.sends++
	switch {
	case q == nil || m == nil:
		s.fail("unknown request or member")
		return
	case q.done:
		s.fail("sent after the final answer")
	case m.group != q.Group:
		s.fail("outside the group")
	case s.cfg.IgnoreGone && m.drained, !s.cfg.IgnoreGone && m.state != Ready:
		s.fail("sent to a member that drains")
	case len(q.attempts) >= s.cfg.MaxAttempts:
		s.fail("too many attempts")
	}
	for _, attempt := range q.attempts {
		if attempt.open && !s.cfg.ParallelAttempts {
			s.fail("two attempts at once")
		}
		if q.class.Effect == Idempotent || !attempt.open && !attempt.mayRun {
			continue
		}
		if q.class.Effect == SingleShot || s.now-attempt.sent > q.class.DedupWindow {
			s.fail("executed twice")
		}
	}
	if !m.maybePrimary && s.cfg.LagCheck == LagCheckNone {
		switch q.class.Read {
		case Bounded:
			if m.position < s.now-q.class.MaxAge {
				s.fail("stale bounded read")
			}
		case Session:
			if m.position < q.token {
				s.fail("stale session read")
			}
		case Fresh:
			s.fail("fresh read at a replica")
		}
	}
	q.attempts = append(q.attempts, simAttempt{s.now, m, true, false})
	due := min(s.now+time.Duration(s.rng.IntN(300))*ms, q.Deadline)
	if m.silent || s.rng.IntN(12) == 0 {
		due = q.Deadline
	}
	s.pending = append(s.pending, pendingAnswer{q, len(q.attempts) - 1, due})
}

func (s *simulation) Probe(to MemberID) { s.probes = append(s.probes, to) }

func (s *simulation) Refuse(id RequestID, _ time.Duration) {
	q := s.requests[id]
	for _, a := range q.attempts {
		if q.class.Effect != Idempotent && (a.open || a.mayRun) {
			s.fail("refused although it may have run")
		}
	}
	s.recordFinal(q)
}
func (s *simulation) Fail(id RequestID) { s.recordFinal(s.requests[id]) }
func (s *simulation) recordFinal(q *simRequest) {
	q.finals++
	q.done = true
	if q.finals > 1 || s.now > max(q.Deadline, s.stalledUntil)+answerGrace {
		s.fail("final answer late or twice")
	}
}
func (s *simulation) Cancel(RequestID, int)                {}
func (s *simulation) SetTimer(_ TimerID, at time.Duration) { s.timers = append(s.timers, at) }
func (s *simulation) WatchList(bool)                       {}
func (s *simulation) FetchList()                           {}
func (s *simulation) SendToPeers([]peers.Report)           {}
func (s *simulation) Log(string)                           {}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[RequestID]*simRequest{}, now: 100 * time.Second}
	s.cfg = testConfig()
	s.cfg.Seed = seed
	s.cfg.SessionTokens, s.cfg.ListOnRequest = s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	s.cfg.ParallelAttempts, s.cfg.EnableCancel = s.rng.IntN(4) > 0, s.rng.IntN(2) == 0
	s.cfg.IgnoreGone, s.cfg.Proxies = s.rng.IntN(2) == 0, []int{0, 2, 40, 200, -3}[s.rng.IntN(5)]
	s.cfg.ListRole, s.cfg.MaxAttempts = ListRole(s.rng.IntN(3)), 1+s.rng.IntN(8)
	for i := 0; i < 9; i++ {
		m := &simMember{id: MemberID(i + 1), group: GroupID(i / 5), role: RoleReplica, lag: 20 * ms, state: Ready}
		if i%5 == 0 {
			m.role, m.maybePrimary = RolePrimary, true
		}
		s.members = append(s.members, m)
	}
	s.advance(0)
	r, err := New(s.cfg, s)
	if err != nil {
		t.Fatal(err)
	}
	s.router = r
	s.listMembers(ListCached)
	return s
}

func (s *simulation) listMembers(kind ListKind) {
	list := MemberList{Kind: kind}
	for _, m := range s.members {
		entry := Member{ID: m.id, Group: m.group, State: m.state}
		// A list may only name a member as primary that has been one; in this simulation it is right or names
		// none.
		entry.Primary = s.cfg.ListRole != ListRoleNone && m.role == RolePrimary
		m.drained = m.state == Draining || m.drained && m.state != Ready
		if m.state != Gone || kind == ListDelta {
			list.Entries = append(list.Entries, entry)
		}
	}
	if kind == ListFull && s.rng.IntN(3) == 0 { // a member that does not exist, and one listed twice
		list.Entries = append(list.Entries, Member{ID: 900, Group: 1, State: Ready}, list.Entries[0])
	}
	s.router.Members(s.now, list)
}

// injectFault changes the true state: lag, silence, drains, restarts, changes of primary.
func (s *simulation) injectFault() {
	m := s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(8) {
	case 6: // the list names no members although they run; without IgnoreGone that is binding
		if s.cfg.IgnoreGone {
			s.router.Members(s.now, MemberList{Kind: ListFull})
		}
	case 7:
		s.advance(time.Duration(300+s.rng.IntN(1700)) * ms)
		s.stalledUntil = s.now
	case 0:
		m.lag = time.Duration(s.rng.IntN(3000)) * ms
	case 1:
		m.silent = !m.silent
	case 2:
		m.state = MemberState(s.rng.IntN(3))
		s.listMembers(ListDelta)
	case 3, 4:
		m.lag, m.silent, m.state = 15*ms, false, Ready
		s.listMembers(ListFull)
	case 5:
		for _, x := range s.members {
			if x.group == m.group && x.role == RolePrimary {
				x.role = RoleReplica
			}
		}
		m.role, m.maybePrimary = RolePrimary, true
	}
}

// reportedQueue returns the queue that a member reports, plausible or not.
func (s *simulation) reportedQueue() float64 {
	return []float64{-1, 0, 0, 0, 3, 1e300, math.NaN(), math.Inf(1)}[s.rng.IntN(8)]
}

func (s *simulation) submit() {
	s.nextID++
	c := s.rng.IntN(len(s.cfg.Classes))
	in := Request{ID: s.nextID, Class: c, Group: GroupID(s.rng.IntN(2)), Session: SessionID(1 + s.rng.IntN(6)),
		Deadline: s.now + s.cfg.Classes[c].Limit*time.Duration(2+s.rng.IntN(99))/100}
	q := &simRequest{Request: in, class: s.cfg.Classes[c]}
	if q.class.Read == Session && s.cfg.SessionTokens && s.rng.IntN(3) > 0 {
		q.TokenAge = time.Duration(1+s.rng.IntN(1500)) * ms
		q.token = s.now - q.TokenAge
	} else if q.class.Read == Session && !s.cfg.SessionTokens {
		q.token = s.commits[in.Session]
	}
	s.requests[q.ID] = q
	s.router.Request(s.now, q.Request)
}

func (s *simulation) finishDue() {
	var remaining []pendingAnswer
	due := s.pending
	s.pending = nil
	for _, f := range due {
		if f.due > s.now {
			remaining = append(remaining, f)
			continue
		}
		s.finishAttempt(f)
	}
	s.pending = append(s.pending, remaining...)
}

func (s *simulation) finishAttempt(f pendingAnswer) {
	q, a := f.request, &f.request.attempts[f.attempt]
	m := a.member
	o := Outcome{Request: q.ID, Attempt: f.attempt, Member: m.id, Elapsed: s.now - a.sent}
	switch draw := s.rng.IntN(20); {
	case s.now >= q.Deadline || m.silent:
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
			o.Position = s.now
			s.commits[q.Session] = s.now
		}
	}
	o.Finished = q.done
	s.router.Outcome(s.now, o)
}

func (s *simulation) run(steps int) string {
	s.commits = map[SessionID]time.Duration{}
	for i := 0; i < steps && s.violation == ""; i++ {
		s.advance(time.Duration(1+s.rng.IntN(10)) * ms)
		for len(s.timers) > 0 && s.timers[0] <= s.now {
			s.timers = s.timers[1:]
			s.router.Timer(s.now, tickTimer)
		}
		probed := s.probes
		s.probes = nil
		for _, id := range probed {
			m := s.memberByID(id)
			end := ProbeEnd{Member: id, Elapsed: ms, Report: Report{Role: m.role, Position: m.position, Queue: s.reportedQueue()}}
			if m.silent {
				end = ProbeEnd{Member: id, Result: TimedOut, Elapsed: 250 * ms}
			}
			s.router.Probed(s.now, end)
		}
		s.finishDue()
		if s.rng.IntN(40) == 0 {
			s.injectFault()
		}
		if s.rng.IntN(100) == 0 {
			s.router.Members(s.now, MemberList{Kind: ListFailed})
		}
		for n := s.rng.IntN(3); n > 0 && i < steps-1800; n-- {
			s.submit()
		}
		for _, q := range s.requests {
			if !q.done && s.now > max(q.Deadline, s.stalledUntil)+answerGrace {
				s.fail("no final answer")
			}
			if q.done && s.now > q.Deadline+time.Second {
				delete(s.requests, q.ID)
			}
		}
	}
	if s.violation == "" && len(s.router.requests) != 0 {
		s.fail("requests kept after all have ended")
	}
	return s.violation
}

func TestInvariantsInRandomSimulations(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		s := newSimulation(t, seed)
		if violation := s.run(4000); violation != "" {
			t.Errorf("seed %d: %s at %v", seed, violation, s.now)
		}
		if s.sends < 250 {
			t.Errorf("seed %d: only %d sends, too few for a test", seed, s.sends)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if violation := newSimulation(t, seed).run(3000); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}

// The checker itself must detect violations.
func TestCheckerDetectsViolations(t *testing.T) {
	for want, act := range map[string]func(s *simulation, q *simRequest){
		"sent after the final answer":  func(s *simulation, q *simRequest) { q.done = true; s.Send(q.ID, 1, 0) },
		"sent to a member that drains": func(s *simulation, q *simRequest) { s.members[1].state = Draining; s.Send(q.ID, 2, 0) },
		"outside the group":            func(s *simulation, q *simRequest) { s.Send(q.ID, 9, 0) },
		"executed twice": func(s *simulation, q *simRequest) {
			q.class.Effect = SingleShot
			s.cfg.ParallelAttempts = true
			s.Send(q.ID, 1, 0)
			s.Send(q.ID, 1, 0)
		},
		"stale bounded read": func(s *simulation, q *simRequest) {
			s.members[1].position = s.now - time.Hour
			q.class.Read, q.class.MaxAge = Bounded, time.Second
			s.Send(q.ID, 2, 0)
		},
		"stale session read": func(s *simulation, q *simRequest) {
			q.class.Read, q.token = Session, s.now
			s.Send(q.ID, 2, 0)
		},
		"final answer late or twice":       func(s *simulation, q *simRequest) { s.Fail(q.ID); s.Fail(q.ID) },
		"refused although it may have run": func(s *simulation, q *simRequest) { q.class.Effect = Guarded; s.Send(q.ID, 1, 0); s.Refuse(q.ID, 0) },
	} {
		s := newSimulation(t, 3)
		q := &simRequest{Request: Request{ID: 1, Group: 0, Deadline: s.now + time.Second}, class: Class{Read: Any, Limit: time.Second}}
		s.requests[1] = q
		s.cfg.MaxAttempts = 8
		if act(s, q); s.violation != want {
			t.Errorf("the checker reports %q, want %q", s.violation, want)
		}
	}
}

// State must not grow with the length of a run: sessions, requests and replaced members are all removed.
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
