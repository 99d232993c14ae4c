package logic

import "testing"

// sessionReads sends reads without a token, which any replica may take, and counts who got them. Each is answered at once.
func (f *testProxy) sessionReads(n int) map[MemberID]int {
	to := map[MemberID]int{}
	for range n {
		to[f.serve(f.request(classSession, 0), ms).to]++
	}
	return to
}

func TestReadsKeepToTheSubset(t *testing.T) {
	f := newSharingProxy(t)
	f.router.SetSubset([]MemberID{1, 3})
	if to := f.sessionReads(40); to[3] != 40 {
		t.Errorf("reads went to %v, 3 is the one replica of the subset", to)
	}
	f.router.SetSubset([]MemberID{1, 2, 4, 99})
	if to := f.sessionReads(40); to[3] > 0 || to[2] == 0 || to[4] == 0 {
		t.Errorf("reads went to %v, 2 and 4 are the replicas of the subset", to)
	}
	f.router.SetSubset(nil)
	if to := f.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v, there is no subset", to)
	}
}

// The subset narrows the choice and takes no read's answer away.
func TestReadsFallBackOutsideTheSubset(t *testing.T) {
	f := newSharingProxy(t)
	f.router.SetSubset([]MemberID{3})
	f.router.members[3].pingTime = 100 * ms // beyond the ping window
	if to := f.sessionReads(20); to[3] > 0 {
		t.Errorf("reads went to %v, 3 is slower than the window allows", to)
	}
	f.router.members[3].pingTime = ms
	f.router.updateMember(f.now, Member{ID: 3, State: Draining})
	if to := f.sessionReads(20); to[3] > 0 || len(to) < 2 {
		t.Errorf("reads went to %v, 3 is draining", to)
	}
}

// Where checks are not shared there is no subset, whatever was told before.
func TestNoSubsetWithoutSharedChecks(t *testing.T) {
	f := newSharingProxy(t)
	f.router.SetSubset([]MemberID{3})
	f.router.SetSharedChecks(f.now, 0)
	if to := f.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v", to)
	}
}
