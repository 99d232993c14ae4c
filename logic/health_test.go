package logic

import (
	"testing"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
)

// newSharingProxy returns a ready proxy whose tier shares health checks; member 1 is the primary of four.
func newSharingProxy(t *testing.T) *testProxy {
	f := newReadyProxy(t, manyProxies(), 4)
	f.advance(400 * ms)
	f.router.SetSharedChecks(f.now, 10)
	f.probes = nil
	return f
}

func TestOnlyAQuorumEjects(t *testing.T) {
	f := newSharingProxy(t)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving, Votes: 1, Quorum: 2})
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{State: healthcheck.Suspect, Votes: 2, Quorum: 2})
	if f.router.members[2].handover.Silent || f.router.members[3].handover.Silent {
		t.Error("a single checker, or a doubtful verdict, has ejected a member")
	}
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2})
	if m := f.router.members[2]; !m.handover.Silent || f.router.usable(m, f.now) {
		t.Error("a quorum's ejection has not excluded the member")
	}
	f.router.ApplyVerdict(f.now, 1, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2, Role: subset.Replica, RoleObservedAt: f.now})
	if f.router.members[1].role() != RolePrimary {
		t.Error("a role from before an ejection was applied")
	}
}

// The end of an ejection is not an answer: the member is used again once it has answered this proxy, and is
// checked when it is needed.
func TestMemberIsCheckedAfterAnEjectionEnds(t *testing.T) {
	f := newSharingProxy(t)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Ejected})
	f.advance(6 * time.Second)
	if len(f.probes) > 0 {
		t.Errorf("an ejected member is still checked: %v", f.probes)
	}
	f.router.members[2].group.rate.add(f.now, rateWindow)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving})
	if !f.router.members[2].handover.Silent || len(f.probes) != 1 || f.probes[0] != 2 {
		t.Errorf("silent %v, checks %v", f.router.members[2].handover.Silent, f.probes)
	}
	f.router.Probed(f.now, ProbeEnd{Member: 2, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Queue: -1}})
	if f.router.members[2].handover.Silent {
		t.Error("the member has answered, but is still silent")
	}
}

func TestPositionsInVerdicts(t *testing.T) {
	f := newSharingProxy(t)
	m := f.router.members[3]
	heard := f.now - 30*ms
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now, Position: heard})
	f.advance(200 * ms)
	if m.position != heard {
		t.Errorf("position %v, want the reported %v", m.position, heard)
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now, Position: heard - time.Second})
	if m.position != heard {
		t.Error("a position has decreased")
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now + time.Second, Position: f.now + time.Second})
	if m.position > f.now {
		t.Error("a position in the future was applied")
	}
}

// A start reported by others can make a member cold here, but never warm.
func TestVerdictNeverRaisesAColdBudget(t *testing.T) {
	f := newSharingProxy(t)
	m := f.router.members[2]
	f.router.updateMember(f.now, Member{ID: 2, Group: m.Group, State: Ready, Size: 1, StartedAt: f.now - time.Second})
	cold := f.router.warmCapacity(f.now, m)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: f.now})
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: f.now - 10*time.Second})
	if got := f.router.warmCapacity(f.now, m); got != cold || cold >= 1 {
		t.Errorf("warm capacity %v, and %v after verdicts", cold, got)
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: f.now})
	if m := f.router.members[3]; f.router.warmCapacity(f.now, m) >= 1 || m.role() != RoleReplica {
		t.Errorf("warm capacity %v, role %v", f.router.warmCapacity(f.now, m), m.role())
	}
	f.router.updateMember(f.now, Member{ID: 4, Group: m.Group, State: Draining, Size: 1})
	f.router.ApplyVerdict(f.now, 4, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: f.now})
	if f.router.usable(f.router.members[4], f.now) {
		t.Error("a verdict has ended a drain")
	}
}

// Periodic checks are left to the assigned checkers; optional checks stay within the budget.
func TestSharedChecksKeepToTheBudget(t *testing.T) {
	f := newSharingProxy(t)
	f.advance(5 * time.Second)
	if len(f.probes) > 0 {
		t.Errorf("a proxy without assigned checks and without requests checks %v", f.probes)
	}
	sent := 0
	for range 100 {
		if f.router.pingOnDemand(f.now, f.router.members[2].group) {
			f.router.checkBudget.spend(f.now)
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
	f := newSharingProxy(t)
	f.router.cfg.LagCheck = checks
	f.advance(5 * time.Second)
	for range 20 {
		f.router.checkBudget.spend(f.now)
	}
	return f
}

// Guards against a regression of shared checks: every bounded read of a group with little traffic went to the
// primary and displaced its writes.
func TestBoundedReadsStayOnReplicasWhereChecksAreShared(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckWait)
	s := f.mustSend(f.request(classBounded, 1))
	if s.to == 1 || len(f.probes) > 0 {
		t.Errorf("sent to %d with %d checks, although the replicas' last reported lag was small", s.to, len(f.probes))
	}
	f.finishAttempt(s, OK)
	for _, id := range []MemberID{2, 3, 4} { // each replica reports that it is behind
		f.router.members[id].lag = 900 * ms
	}
	f.now += time.Second
	if s := f.mustSend(f.request(classBounded, 2)); s.to != 1 {
		t.Errorf("sent to %d, which was too far behind at its last report", s.to)
	}
}

func TestReplicaThatRejectsABoundedReadGetsNoOther(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckRefuse)
	id := f.request(classBounded, 0)
	first := f.mustSend(id)
	f.finishAttempt(first, Misdirected)
	f.router.members[first.to].position = 0 // the answer carried no position
	f.finishAttempt(f.mustSend(id), OK)
	for range 20 {
		f.now += time.Second // after this no position is recent
		f.router.checkBudget.tokens = 0
		id := f.request(classBounded, 0)
		if s := f.mustSend(id); s.to == first.to {
			t.Fatalf("sent to %d, which has rejected one and has reported no position since", s.to)
		}
		f.finishAttempt(f.mustSend(id), OK)
	}
	f.router.members[first.to].probing = true
	f.router.Probed(f.now, ProbeEnd{Member: first.to, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
	if q := (&request{class: &f.router.cfg.Classes[classBounded]}); !q.mayQualify(f.router.members[first.to]) {
		t.Error("the member has reported a recent position, but does not qualify")
	}
}

// If members answer from whatever data they have, only the position filter keeps a read from outdated data.
func TestBoundedReadNeedsAPositionWithoutLagCheck(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckNone)
	if s := f.mustSend(f.request(classBounded, 1)); s.to != 1 {
		t.Errorf("sent to %d, whose position is %v old", s.to, f.now-f.router.members[s.to].position)
	}
}
