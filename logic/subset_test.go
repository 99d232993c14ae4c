package logic

import "testing"

// sessionReads sends reads without a token, which any replica may take, and counts who got them. Each is answered at once.
func (f *front) sessionReads(n int) map[MemberID]int {
	to := map[MemberID]int{}
	for range n {
		to[f.serve(f.request(clsSession, 0), ms).to]++
	}
	return to
}

func TestReadsKeepToTheSubset(t *testing.T) {
	f := sharing(t)
	f.r.SetSubset([]MemberID{1, 3})
	if to := f.sessionReads(40); to[3] != 40 {
		t.Errorf("reads went to %v, 3 is the one replica of the subset", to)
	}
	f.r.SetSubset([]MemberID{1, 2, 4, 99})
	if to := f.sessionReads(40); to[3] > 0 || to[2] == 0 || to[4] == 0 {
		t.Errorf("reads went to %v, 2 and 4 are the replicas of the subset", to)
	}
	f.r.SetSubset(nil)
	if to := f.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v, there is no subset", to)
	}
}

// The subset narrows the choice and takes no read's answer away.
func TestReadsLeaveASubsetThatCantTakeThem(t *testing.T) {
	f := sharing(t)
	f.r.SetSubset([]MemberID{3})
	f.r.members[3].ping = 100 * ms // beyond the ping window
	if to := f.sessionReads(20); to[3] > 0 {
		t.Errorf("reads went to %v, 3 is slower than the window allows", to)
	}
	f.r.members[3].ping = ms
	f.r.entry(f.now, Member{ID: 3, State: Draining})
	if to := f.sessionReads(20); to[3] > 0 || len(to) < 2 {
		t.Errorf("reads went to %v, 3 is draining", to)
	}
}

// Where checks are not shared there is no subset, whatever was told before.
func TestNoSubsetWhereNothingIsShared(t *testing.T) {
	f := sharing(t)
	f.r.SetSubset([]MemberID{3})
	f.r.SetSharedChecks(f.now, 0)
	if to := f.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v", to)
	}
}
