package logic

import (
	"testing"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
)

// sharing gives a settled router whose tier shares health checks, with member 1 as the primary of four.
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
		t.Error("a single checker's word, or one in doubt, has ejected a member")
	}
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2})
	if m := f.router.members[2]; !m.handover.Silent || f.router.usable(m, f.now) {
		t.Error("a quorum's death has not ejected the member")
	}
	f.router.ApplyVerdict(f.now, 1, healthcheck.Verdict{State: healthcheck.Ejected, Votes: 2, Quorum: 2, Role: subset.Replica, RoleObservedAt: f.now})
	if f.router.members[1].role() != RolePrimary {
		t.Error("the role of before a death is believed with it")
	}
}

// A verdict is no answer: whoever was ejected is used once it has answered this proxy itself, and is asked when it is to be used.
func TestMemberIsCheckedAfterAnEjectionEnds(t *testing.T) {
	f := newSharingProxy(t)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Ejected})
	f.advance(6 * time.Second)
	if len(f.probes) > 0 {
		t.Errorf("an ejected member is checked by all: %v", f.probes)
	}
	f.router.members[2].group.rate.add(f.now, rateWindow)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving})
	if !f.router.members[2].handover.Silent || len(f.probes) != 1 || f.probes[0] != 2 {
		t.Errorf("silent %v, checks %v", f.router.members[2].handover.Silent, f.probes)
	}
	f.router.Probed(f.now, ProbeEnd{Member: 2, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Queue: -1}})
	if f.router.members[2].handover.Silent {
		t.Error("it has answered")
	}
}

func TestPositionsInVerdicts(t *testing.T) {
	f := newSharingProxy(t)
	m := f.router.members[3]
	heard := f.now - 30*ms
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now, Position: heard})
	f.advance(200 * ms)
	if m.position != heard {
		t.Errorf("position %v, heard was %v", m.position, heard)
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now, Position: heard - time.Second})
	if m.position != heard {
		t.Error("a position has gone back")
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{Role: subset.Replica, RoleObservedAt: f.now + time.Second, Position: f.now + time.Second})
	if m.position > f.now {
		t.Error("data from the future")
	}
}

// What others say of a start can make a member cold here, and never warm.
func TestVerdictNeverRaisesAColdBudget(t *testing.T) {
	f := newSharingProxy(t)
	m := f.router.members[2]
	f.router.updateMember(f.now, Member{ID: 2, Group: m.Group, State: Ready, Size: 1, StartedAt: f.now - time.Second})
	cold := f.router.warmCapacity(f.now, m)
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: f.now})
	f.router.ApplyVerdict(f.now, 2, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: f.now - 10*time.Second})
	if got := f.router.warmCapacity(f.now, m); got != cold || cold >= 1 {
		t.Errorf("warmth %v, and %v after hearsay", cold, got)
	}
	f.router.ApplyVerdict(f.now, 3, healthcheck.Verdict{State: healthcheck.Serving, ColdStart: true, Role: subset.Replica, RoleObservedAt: f.now})
	if m := f.router.members[3]; f.router.warmCapacity(f.now, m) >= 1 || m.role() != RoleReplica {
		t.Errorf("warmth %v, role %v", f.router.warmCapacity(f.now, m), m.role())
	}
	f.router.updateMember(f.now, Member{ID: 4, Group: m.Group, State: Draining, Size: 1})
	f.router.ApplyVerdict(f.now, 4, healthcheck.Verdict{State: healthcheck.Serving, Role: subset.Replica, RoleObservedAt: f.now})
	if f.router.usable(f.router.members[4], f.now) {
		t.Error("a drain is lifted by hearsay")
	}
}

// Steady checks are the checkers'; those that merely help keep within the budget.
func TestSharedChecksKeepToTheBudget(t *testing.T) {
	f := newSharingProxy(t)
	f.advance(5 * time.Second)
	if len(f.probes) > 0 {
		t.Errorf("a proxy that has no duty and no requests checks %v", f.probes)
	}
	sent := 0
	for range 100 {
		if f.router.pingOnDemand(f.now, f.router.members[2].group) {
			f.router.checkBudget.spend(f.now)
			sent++
		}
	}
	if sent != 5 {
		t.Errorf("%d checks for positions at once, half of a second's budget of 10 was expected", sent)
	}
}

// thinSharing is sharing in a group that has had no request for five seconds, with the budget of checks spent: all positions are too old
// for a bounded read, and none can be asked for.
func newThinSharingProxy(t *testing.T, checks LagCheck) *testProxy {
	f := newSharingProxy(t)
	f.router.cfg.LagCheck = checks
	f.advance(5 * time.Second)
	for range 20 {
		f.router.checkBudget.spend(f.now)
	}
	return f
}

// Each bounded read of a thin group went to the primary once checks were shared, and crowded its writes out.
func TestBoundedReadsStayOnReplicasWhereChecksAreShared(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckWait)
	s := f.mustSend(f.request(classBounded, 1))
	if s.to == 1 || len(f.probes) > 0 {
		t.Errorf("sent to %d with %d checks, though the replicas' lag was small when last told", s.to, len(f.probes))
	}
	f.finishAttempt(s, OK)
	for _, id := range []MemberID{2, 3, 4} { // a replica that says that it is behind
		f.router.members[id].lag = 900 * ms
	}
	f.now += time.Second
	if s := f.mustSend(f.request(classBounded, 2)); s.to != 1 {
		t.Errorf("sent to %d, which was behind when it was last heard of", s.to)
	}
}

func TestReplicaThatRejectsABoundedReadGetsNoOther(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckRefuse)
	id := f.request(classBounded, 0)
	first := f.mustSend(id)
	f.finishAttempt(first, Misdirected)
	f.router.members[first.to].position = 0 // the answer told none
	f.finishAttempt(f.mustSend(id), OK)
	for range 20 {
		f.now += time.Second // behind which no position is recent
		f.router.checkBudget.tokens = 0
		id := f.request(classBounded, 0)
		if s := f.mustSend(id); s.to == first.to {
			t.Fatalf("sent to %d, which has turned one away and told no position since", s.to)
		}
		f.finishAttempt(f.mustSend(id), OK)
	}
	f.router.members[first.to].probing = true
	f.router.Probed(f.now, ProbeEnd{Member: first.to, Result: OK, Elapsed: ms, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
	if q := (&request{class: &f.router.cfg.Classes[classBounded]}); !q.mayQualify(f.router.members[first.to]) {
		t.Error("it has told a recent position")
	}
}

// Where members answer from whatever they have, the position filter alone keeps a read from data that is too old.
func TestBoundedReadNeedsAPositionWithoutLagCheck(t *testing.T) {
	f := newThinSharingProxy(t, LagCheckNone)
	if s := f.mustSend(f.request(classBounded, 1)); s.to != 1 {
		t.Errorf("sent to %d, whose position is %v old", s.to, f.now-f.router.members[s.to].position)
	}
}
