package logic

import (
	"testing"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
)

// newSharingProxy returns a ready proxy whose tier shares health checks; member 1 is the primary of four.
func newSharingProxy(t *testing.T) *testProxy {
	p := newReadyProxy(t, manyProxies(), 4)
	p.advance(400 * ms)
	p.router.SetSharedChecks(p.now, 10)
	p.probes = nil
	return p
}

func TestOnlyAQuorumEjects(t *testing.T) {
	p := newSharingProxy(t)
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Serving, Votes: 1, Quorum: 2})
	p.router.ApplyVerdict(p.now, 3, healthcheck.Verdict{State: healthcheck.Suspect, Votes: 2, Quorum: 2})
	if p.router.members[2].handover.Silent || p.router.members[3].handover.Silent {
		t.Error("a single checker, or a doubtful verdict, has ejected a member")
	}
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2})
	if m := p.router.members[2]; !m.handover.Silent || p.router.usable(m, p.now) {
		t.Error("a quorum's ejection has not excluded the member")
	}
	p.router.ApplyVerdict(p.now, 1, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2, Role: subset.Replica, RoleObservedAt: p.now})
	if p.router.members[1].role() != RolePrimary {
		t.Error("a role from before an ejection was applied")
	}
}

// The end of an ejection is not an answer: the member is used again once it has answered this proxy, and is
// checked when it is needed.
func TestMemberIsCheckedAfterAnEjectionEnds(t *testing.T) {
	p := newSharingProxy(t)
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Ejected})
	p.advance(6 * time.Second)
	if len(p.probes) > 0 {
		t.Errorf("an ejected member is still checked: %v", p.probes)
	}
	p.router.members[2].group.rate.add(p.now, rateWindow)
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Serving})
	if !p.router.members[2].handover.Silent || len(p.probes) != 1 || p.probes[0] != 2 {
		t.Errorf("silent %v, checks %v", p.router.members[2].handover.Silent, p.probes)
	}
	p.router.Probed(p.now, ProbeEnd{Member: 2, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Queue: -1}})
	if p.router.members[2].handover.Silent {
		t.Error("the member has answered, but is still silent")
	}
}

func TestPositionsInVerdicts(t *testing.T) {
	p := newSharingProxy(t)
	m := p.router.members[3]
	reported := p.now - 30*ms
	p.router.ApplyVerdict(p.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: p.now, Position: reported})
	p.advance(200 * ms)
	if m.position != reported {
		t.Errorf("position %v, want the reported %v", m.position, reported)
	}
	p.router.ApplyVerdict(p.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: p.now, Position: reported - time.Second})
	if m.position != reported {
		t.Error("a position has decreased")
	}
	p.router.ApplyVerdict(p.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: p.now + time.Second, Position: p.now + time.Second})
	if m.position > p.now {
		t.Error("a position in the future was applied")
	}
}

// A start reported by others can make a member cold here, but never warm.
func TestVerdictNeverRaisesAColdBudget(t *testing.T) {
	p := newSharingProxy(t)
	m := p.router.members[2]
	p.router.updateMember(p.now, Member{ID: 2, Group: m.Group, State: Ready, Size: 1, StartedAt: p.now - time.Second})
	cold := p.router.warmCapacity(p.now, m)
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: p.now})
	p.router.ApplyVerdict(p.now, 2, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: p.now - 10*time.Second})
	if got := p.router.warmCapacity(p.now, m); got != cold || cold >= 1 {
		t.Errorf("warm capacity %v, and %v after verdicts", cold, got)
	}
	p.router.ApplyVerdict(p.now, 3, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: p.now})
	if m := p.router.members[3]; p.router.warmCapacity(p.now, m) >= 1 || m.role() != RoleReplica {
		t.Errorf("warm capacity %v, role %v", p.router.warmCapacity(p.now, m), m.role())
	}
	p.router.updateMember(p.now, Member{ID: 4, Group: m.Group, State: Draining, Size: 1})
	p.router.ApplyVerdict(p.now, 4, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: p.now})
	if p.router.usable(p.router.members[4], p.now) {
		t.Error("a verdict has ended a drain")
	}
}

// Periodic checks are left to the assigned checkers; optional checks stay within the budget.
func TestSharedChecksKeepToTheBudget(t *testing.T) {
	p := newSharingProxy(t)
	p.advance(5 * time.Second)
	if len(p.probes) > 0 {
		t.Errorf("a proxy without assigned checks and without requests checks %v", p.probes)
	}
	sent := 0
	for range 100 {
		if p.router.pingOnDemand(p.now, p.router.members[2].group) {
			p.router.checkBudget.spend(p.now)
			sent++
		}
	}
	if sent != 5 {
		t.Errorf("%d optional checks at once, want half of a second's budget of 10", sent)
	}
}

// newThinSharingProxy returns a proxy like newSharingProxy whose group has had no request for five seconds and
// whose check budget is spent: all positions are too old for a bounded read, and none can be requested.
func newThinSharingProxy(t *testing.T, checks LagCheck) *testProxy {
	p := newSharingProxy(t)
	p.router.cfg.LagCheck = checks
	p.advance(5 * time.Second)
	for range 20 {
		p.router.checkBudget.spend(p.now)
	}
	return p
}

// Guards against a regression of shared checks: every bounded read of a group with little traffic went to the
// primary and displaced its writes.
func TestBoundedReadsStayOnReplicasWhereChecksAreShared(t *testing.T) {
	p := newThinSharingProxy(t, LagCheckWait)
	s := p.mustSend(p.request(classBounded, 1))
	if s.to == 1 || len(p.probes) > 0 {
		t.Errorf("sent to %d with %d checks, although the replicas' last reported lag was small", s.to, len(p.probes))
	}
	p.finishAttempt(s, OK)
	for _, id := range []MemberID{2, 3, 4} { // each replica reports that it is behind
		p.router.members[id].lag = 900 * ms
	}
	p.now += time.Second
	if s := p.mustSend(p.request(classBounded, 2)); s.to != 1 {
		t.Errorf("sent to %d, which was too far behind at its last report", s.to)
	}
}

func TestReplicaThatRejectsABoundedReadGetsNoOther(t *testing.T) {
	p := newThinSharingProxy(t, LagCheckRefuse)
	id := p.request(classBounded, 0)
	first := p.mustSend(id)
	p.finishAttempt(first, Misdirected)
	p.router.members[first.to].position = 0 // the answer carried no position
	p.finishAttempt(p.mustSend(id), OK)
	for range 20 {
		p.now += time.Second // after this no position is recent
		p.router.checkBudget.tokens = 0
		id := p.request(classBounded, 0)
		if s := p.mustSend(id); s.to == first.to {
			t.Fatalf("sent to %d, which has rejected one and has reported no position since", s.to)
		}
		p.finishAttempt(p.mustSend(id), OK)
	}
	p.router.members[first.to].probing = true
	p.router.Probed(p.now, ProbeEnd{Member: first.to, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Position: p.now - 10*ms}})
	if q := (&request{class: &p.router.cfg.Classes[classBounded]}); !q.mayQualify(p.router.members[first.to]) {
		t.Error("the member has reported a recent position, but does not qualify")
	}
}

// If members answer from whatever data they have, only the position filter keeps a read from outdated data.
func TestBoundedReadNeedsAPositionWithoutLagCheck(t *testing.T) {
	p := newThinSharingProxy(t, LagCheckNone)
	if s := p.mustSend(p.request(classBounded, 1)); s.to != 1 {
		t.Errorf("sent to %d, whose position is %v old", s.to, p.now-p.router.members[s.to].position)
	}
}
