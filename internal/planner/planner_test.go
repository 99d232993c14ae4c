package planner

import (
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"havenproxy/internal/wire/tier"
)

// What another planner promised is held against what its disk holds when it comes again; what it may lawfully have lost is not.
func TestAPlannersWordIsHeldAgainstItsDisk(t *testing.T) {
	st, _, err := openStore(filepath.Join(t.TempDir(), "log"), "planner 1")
	if err != nil {
		t.Fatal(err)
	}
	defer st.close()
	p := &Planner{store: st, peers: map[uint64]*peer{}}
	says := func(kind pb.MessageType, term, index uint64, reject bool) {
		from := uint64(2)
		p.said(&pb.Message{Type: &kind, From: &from, Term: &term, Index: &index, Reject: &reject})
	}
	for _, x := range []struct {
		do        func()
		term, end uint64
		disk      uint64
		why       string
	}{
		{func() {}, 1, 1, 77, ""},
		{func() { says(pb.MessageType_MsgAppResp, 3, 20, false) }, 3, 20, 77, ""},
		{func() {}, 3, 19, 77, "older copy"},                                                // it had acknowledged 20 to the leader of term 3
		{func() {}, 2, 30, 77, "older copy"},                                                // it had been in term 3
		{func() {}, 4, 12, 77, ""},                                                          // a later leader has had it cut what nobody needed
		{func() { says(pb.MessageType_MsgVoteResp, 6, 0, false) }, 5, 20, 77, "older copy"}, // it may have voted in 6
		{func() { says(pb.MessageType_MsgPreVoteResp, 9, 0, false) }, 6, 20, 77, ""},        // that promises nothing
		{func() { says(pb.MessageType_MsgAppResp, 6, 40, true) }, 6, 20, 77, ""},            // nor does a word that it lacks an entry
		{func() {}, 6, 20, 78, "has begun its log anew"},
	} {
		x.do()
		if why, err := p.met(&tier.Start{Planner: 2, Disk: x.disk, Term: x.term, Last: x.end}); err != nil || (why == "") != (x.why == "") || !strings.Contains(why, x.why) {
			t.Errorf("term %d, entry %d, disk %d: %q, %v", x.term, x.end, x.disk, why, err)
		}
	}
}
