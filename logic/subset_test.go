package logic

import "testing"

// sessionReads sends n reads without a token, which any replica may take, answers each at once, and returns the
// number of reads per member.
func (p *testProxy) sessionReads(n int) map[MemberID]int {
	to := map[MemberID]int{}
	for range n {
		to[p.serve(p.request(classSession, 0), ms).to]++
	}
	return to
}

func TestReadsKeepToTheSubset(t *testing.T) {
	p := newSharingProxy(t)
	p.router.SetSubset([]MemberID{1, 3})
	if to := p.sessionReads(40); to[3] != 40 {
		t.Errorf("reads went to %v; 3 is the only replica of the subset", to)
	}
	p.router.SetSubset([]MemberID{1, 2, 4, 99})
	if to := p.sessionReads(40); to[3] > 0 || to[2] == 0 || to[4] == 0 {
		t.Errorf("reads went to %v; 2 and 4 are the replicas of the subset", to)
	}
	p.router.SetSubset(nil)
	if to := p.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v without a subset", to)
	}
}

// The subset only narrows the choice; a read that no member of it can take goes elsewhere.
func TestReadsFallBackOutsideTheSubset(t *testing.T) {
	p := newSharingProxy(t)
	p.router.SetSubset([]MemberID{3})
	p.router.members[3].pingTime = 100 * ms // outside the ping window
	if to := p.sessionReads(20); to[3] > 0 {
		t.Errorf("reads went to %v; 3 is outside the ping window", to)
	}
	p.router.members[3].pingTime = ms
	p.router.updateMember(p.now, Member{ID: 3, State: Draining})
	if to := p.sessionReads(20); to[3] > 0 || len(to) < 2 {
		t.Errorf("reads went to %v; 3 is draining", to)
	}
}

// If checks are not shared, an earlier subset has no effect.
func TestNoSubsetWithoutSharedChecks(t *testing.T) {
	p := newSharingProxy(t)
	p.router.SetSubset([]MemberID{3})
	p.router.SetSharedChecks(p.now, 0)
	if to := p.sessionReads(60); len(to) != 3 {
		t.Errorf("reads went to %v", to)
	}
}
