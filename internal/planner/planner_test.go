package planner

import (
	"bufio"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// The start record of another planner is checked against what that planner has promised. Entries that it may have lost without breaking a
// promise don't lead to a rejection.
func TestStartIsCheckedAgainstPromises(t *testing.T) {
	store, _, err := openStore(filepath.Join(t.TempDir(), "log"), "planner 1")
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	planner := &Planner{store: store, peers: map[uint64]*peer{}}
	receive := func(kind pb.MessageType, term, index uint64, reject bool) {
		from := uint64(2)
		planner.recordPromise(&pb.Message{Type: &kind, From: &from, Term: &term, Index: &index, Reject: &reject})
	}
	for _, test := range []struct {
		setup      func()
		term, last uint64
		disk       uint64
		want       string
	}{
		{func() {}, 1, 1, 77, ""},
		{func() { receive(pb.MessageType_MsgAppResp, 3, 20, false) }, 3, 20, 77, ""},
		{func() {}, 3, 19, 77, "older copy"},                                                   // it has acknowledged entry 20 to the leader of term 3
		{func() {}, 2, 30, 77, "older copy"},                                                   // it has been in term 3
		{func() {}, 4, 12, 77, ""},                                                             // a later leader may have truncated uncommitted entries
		{func() { receive(pb.MessageType_MsgVoteResp, 6, 0, false) }, 5, 20, 77, "older copy"}, // it may have voted in term 6
		{func() { receive(pb.MessageType_MsgPreVoteResp, 9, 0, false) }, 6, 20, 77, ""},        // a pre-vote is no promise
		{func() { receive(pb.MessageType_MsgAppResp, 6, 40, true) }, 6, 20, 77, ""},            // neither is a rejected append
		{func() {}, 6, 20, 78, "has begun its log anew"},
	} {
		test.setup()
		if reason, err := planner.verifyStart(&tier.StartRecord{Planner: 2, DiskID: test.disk, Term: test.term, LastIndex: test.last}); err != nil || (reason == "") != (test.want == "") || !strings.Contains(reason, test.want) {
			t.Errorf("term %d, entry %d, disk %d: %q, %v", test.term, test.last, test.disk, reason, err)
		}
	}
}

// A planner starts with an older copy of its log, and the start record on its first link is lost. Before it opens another link, the leader
// has brought its log up to date. The older copy must still be detected.
func TestOlderCopyIsDetectedAfterLostLink(t *testing.T) {
	p := openPlanner(t)
	verify := func(process, initialLast, last uint64) (reason string) {
		reason, err := p.verifyStart(&tier.StartRecord{Planner: 2, DiskID: 77, Term: 3, LastIndex: last, ProcessID: process, InitialTerm: 3, InitialIndex: initialLast})
		if err != nil {
			t.Fatal(err)
		}
		return reason
	}
	if reason := verify(1, 1, 1); reason != "" {
		t.Fatal(reason)
	}
	kind, term, index, from := pb.MessageType_MsgAppResp, uint64(3), uint64(20), uint64(2)
	p.recordPromise(&pb.Message{Type: &kind, From: &from, Term: &term, Index: &index})
	if reason := verify(1, 1, 20); reason != "" {
		t.Errorf("another link of a verified process is rejected: %s", reason)
	}
	if reason := verify(2, 12, 20); !strings.Contains(reason, "older copy") {
		t.Errorf("a process that started with 12 of 20 entries: %q", reason)
	}
	if reason := verify(2, 12, 20); reason == "" {
		t.Error("it is accepted on the second link")
	}
	if reason := verify(3, 20, 25); reason != "" {
		t.Errorf("a process that started with all entries is rejected: %s", reason)
	}
}

// A planner counts as alive by the time of its last message, of any kind, and not by raft's mark of active followers, which is cleared
// regularly.
func TestLivePlannersAreCountedByLastMessage(t *testing.T) {
	p := openPlanner(t)
	voters := []uint64{1, 2, 3}
	if count := p.countLive(voters, 3); count != 1 {
		t.Errorf("%d alive before any message of the others", count)
	}
	p.peer(2).lastMessage, p.peer(3).lastMessage = p.now(), p.now()
	if count := p.countLive(voters, 3); count != 2 {
		t.Errorf("%d alive after a message of one other", count)
	}
	p.peer(2).lastMessage = p.now() - 2*aliveTimeout
	if count := p.countLive(voters, 3); count != 1 {
		t.Errorf("%d alive while the other is silent", count)
	}
}

// openPlanner opens one planner of three. The test takes the part of the others.
func openPlanner(t *testing.T) *Planner {
	p, err := Open(Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0", 2: "127.0.0.1:1", 3: "127.0.0.1:1"},
		LogFile: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.server.close(); p.store.close() })
	return p
}

// Raft messages are accepted only on a link with a verified start record, and only from the planner of that record.
func TestRaftMessagesNeedVerifiedSender(t *testing.T) {
	p := openPlanner(t)
	receiveHeartbeat := func(verified *link, from, term uint64) uint64 {
		to, kind := uint64(1), pb.MessageType_MsgHeartbeat
		text, err := proto.Marshal(&pb.Message{Type: &kind, From: &from, To: &to, Term: &term})
		if err != nil {
			t.Fatal(err)
		}
		p.server.receiveRaft(1, verified, text)
		return p.node.BasicStatus().HardState.GetTerm()
	}
	verified := &link{}
	if term := receiveHeartbeat(verified, 2, 7); term != 1 {
		t.Fatalf("term %d from a planner without a start record", term)
	}
	p.server.receiveStart(1, verified, &tier.StartRecord{Planner: 2, DiskID: 5, Term: 1, LastIndex: 1})
	if term := receiveHeartbeat(verified, 3, 8); term != 1 {
		t.Fatalf("term %d from a planner in another's name", term)
	}
	if term := receiveHeartbeat(verified, 2, 9); term != 9 {
		t.Fatalf("term %d: the message of a verified planner is ignored", term)
	}
	otherDisk := &link{}
	p.server.receiveStart(2, otherDisk, &tier.StartRecord{Planner: 2, DiskID: 6, Term: 1, LastIndex: 1})
	if term := receiveHeartbeat(otherDisk, 2, 20); term != 9 {
		t.Errorf("term %d from a planner with another disk", term)
	}
}

func TestReplaceRefusals(t *testing.T) {
	p := openPlanner(t)
	p.store.recordPeerDisk(9, 77) // a former planner of the tier
	for _, test := range []struct {
		old, id uint64
		want    string
	}{{4, 5, "is none of the tier's"}, {2, 3, "needs a number of its own"}, {2, 9, "needs a number of its own"}, {2, 0, "needs a number of its own"},
		{1, 5, "planner 1 leads"}, {2, 5, "of 3 live, and 2 have to"}} {
		if err := p.Replace(test.old, test.id, "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("replacing %d by %d: %v, want %q", test.old, test.id, err, test.want)
		}
	}
}

// While a planner is being replaced, a majority of the old planners is needed too: the status lists the old one as a voter until it has left.
func TestReplacedPlannerIsReportedAsVoter(t *testing.T) {
	p := openPlanner(t)
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request, err := tier.Append(nil, &tier.Frame{Request: &tier.OperatorRequest{Action: tier.ActionStatus}})
	if err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(conn)
	for _, test := range []struct{ voters, leaving, want []uint64 }{
		{voters: []uint64{2, 3, 4}, leaving: []uint64{1, 2, 3}, want: []uint64{1, 2, 3, 4}},
		{voters: []uint64{2, 3, 4}, want: []uint64{2, 3, 4}},
	} {
		p.confState = &pb.ConfState{Voters: test.voters, VotersOutgoing: test.leaving}
		if _, err := conn.Write(request); err != nil {
			t.Fatal(err)
		}
		(<-p.events)()
		frame, err := tier.Read(answers)
		if err != nil || frame.Response == nil {
			t.Fatalf("%+v, %v", frame, err)
		}
		if !slices.Equal(frame.Response.Planners, test.want) {
			t.Errorf("voters %v, leaving %v: status has %v, want %v", test.voters, test.leaving, frame.Response.Planners, test.want)
		}
	}
}

// openPlannerWithPeer opens planner 1 of three, with the test in place of planner 2. nextLink returns the next link that it opens to planner 2.
func openPlannerWithPeer(t *testing.T) (p *Planner, nextLink func() net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err = Open(Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0", 2: ln.Addr().String(), 3: "127.0.0.1:1"},
		LogFile: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.server.close(); p.store.close(); ln.Close() })
	return p, func() net.Conn {
		t.Helper()
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal("no link is opened: ", err)
		}
		return conn
	}
}

// A planner opens a link with its start record even to planners to which it has nothing to send, since they may have received its promises.
// Each start record has what the disk held at the start of the process, even if the leader has brought it up to date since, and what it
// holds now.
func TestLinksBeginWithStartRecord(t *testing.T) {
	p, nextLink := openPlannerWithPeer(t)
	first := nextLink()
	frame, err := tier.Read(bufio.NewReader(first))
	if err != nil || frame.Start == nil || frame.Start.Planner != 1 || frame.Start.ProcessID != p.processID || p.processID == 0 {
		t.Errorf("%+v, %v, want the start record of process %d", frame.Start, err, p.processID)
	}
	index, term := uint64(2), uint64(1)
	if err := p.store.save(&raft.Ready{Entries: []*pb.Entry{{Index: &index, Term: &term}}}); err != nil {
		t.Fatal(err)
	}
	first.Close()
	second := nextLink()
	defer second.Close()
	frame, err = tier.Read(bufio.NewReader(second))
	if err != nil || frame.Start == nil || frame.Start.InitialIndex != 1 || frame.Start.LastIndex != 2 || frame.Start.ProcessID != p.processID {
		t.Errorf("%+v, %v, want entry 1 at the start of process %d and entry 2 now", frame.Start, err, p.processID)
	}
}

// A planner that starts, or receives a snapshot, may have missed lists of members, so its history is incomplete.
func TestMembershipHistoryIsIncompleteAfterStart(t *testing.T) {
	p, err := Open(Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0"}, LogFile: filepath.Join(t.TempDir(), "log"),
		Rollout: rollout.Config{Lease: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.store.close()
	defer p.server.close()
	if _, complete := p.history.Past(p.now()); complete {
		t.Error("the history is complete")
	}
}

// A client that sends more than the planner can handle is blocked in its own socket and keeps its link. Messages of other planners don't wait
// behind it.
func TestFullEventQueueBlocksLinks(t *testing.T) {
	p := openPlanner(t)
	send := func(frame *tier.Frame, times int) net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		data, err := tier.Append(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for range times {
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}()
		return conn
	}
	first := send(&tier.Frame{Rejection: "nothing that a planner answers"}, maxQueuedEvents+100)
	for len(p.events) < maxQueuedEvents {
		time.Sleep(time.Millisecond)
	}
	send(&tier.Frame{Raft: []byte("x")}, 1)
	(<-p.peerEvents)()
	done := make(chan bool)
	go func() {
		defer close(done)
		for n := 0; n < maxQueuedEvents+101; n++ { // the last event is the end of the link, which the test closes
			(<-p.events)()
			if n == maxQueuedEvents+99 {
				first.Close()
			}
		}
	}()
	<-done
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if n := len(p.server.links); n != 1 {
		t.Errorf("%d links", n)
	}
}
