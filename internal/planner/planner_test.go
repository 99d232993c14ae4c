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

// A planner starts with an older copy of its log, and the first link that it opens to this one is lost with what it began with. Until the
// next, who leads has filled its log up.
func TestAFirstLinkThatIsLostHidesNoOlderCopy(t *testing.T) {
	p := alone(t)
	start := func(process, beganLast, last uint64) (why string) {
		why, err := p.met(&tier.Start{Planner: 2, Disk: 77, Term: 3, Last: last, Process: process, BeganTerm: 3, BeganLast: beganLast})
		if err != nil {
			t.Fatal(err)
		}
		return why
	}
	if why := start(1, 1, 1); why != "" {
		t.Fatal(why)
	}
	kind, term, index, from := pb.MessageType_MsgAppResp, uint64(3), uint64(20), uint64(2)
	p.said(&pb.Message{Type: &kind, From: &from, Term: &term, Index: &index})
	if why := start(1, 1, 20); why != "" {
		t.Errorf("another link of a process that has been judged: %s", why)
	}
	if why := start(2, 12, 20); !strings.Contains(why, "older copy") {
		t.Errorf("a process that began with 12 entries of 20: %q", why)
	}
	if why := start(2, 12, 20); why == "" {
		t.Error("it is believed when it comes again")
	}
	if why := start(3, 20, 25); why != "" {
		t.Errorf("a process that began with all: %s", why)
	}
}

// A planner counts as alive by its last message, whatever it was, and not by a mark that is taken off now and then.
func TestALivePlannerIsOneThatWasHeardLately(t *testing.T) {
	p := alone(t)
	voters := []uint64{1, 2, 3}
	if n := p.live(voters, 3); n != 1 {
		t.Errorf("%d live, and none but this one has ever been heard", n)
	}
	p.peer(2).heardAt, p.peer(3).heardAt = p.now(), p.now()
	if n := p.live(voters, 3); n != 2 {
		t.Errorf("%d live, one was heard just now", n)
	}
	p.peer(2).heardAt = p.now() - 2*aliveFor
	if n := p.live(voters, 3); n != 1 {
		t.Errorf("%d live, the other has been silent for long", n)
	}
}

// alone opens one planner of three, of which the test plays the others.
func alone(t *testing.T) *Planner {
	p, err := Open(Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0", 2: "127.0.0.1:1", 3: "127.0.0.1:1"},
		LogFile: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.server.close(); p.store.close() })
	return p
}

// A message counts once its sender has said what its disk holds, and only from who it says it is.
func TestOnlyPlannersThatAreKnownAreHeard(t *testing.T) {
	p := alone(t)
	says := func(l *link, from, term uint64) uint64 {
		to, kind := uint64(1), pb.MessageType_MsgHeartbeat
		text, err := proto.Marshal(&pb.Message{Type: &kind, From: &from, To: &to, Term: &term})
		if err != nil {
			t.Fatal(err)
		}
		p.server.fromPlanner(1, l, text)
		return p.node.BasicStatus().HardState.GetTerm()
	}
	l := &link{}
	if term := says(l, 2, 7); term != 1 {
		t.Fatalf("term %d by one that has not said what it holds", term)
	}
	p.server.started(1, l, &tier.Start{Planner: 2, Disk: 5, Term: 1, Last: 1})
	if term := says(l, 3, 8); term != 1 {
		t.Fatalf("term %d by one in another's name", term)
	}
	if term := says(l, 2, 9); term != 9 {
		t.Fatalf("term %d: it isn't heard", term)
	}
	anew := &link{}
	p.server.started(2, anew, &tier.Start{Planner: 2, Disk: 6, Term: 1, Last: 1})
	if term := says(anew, 2, 20); term != 9 {
		t.Errorf("term %d by one whose disk is another", term)
	}
}

func TestReplacingIsRefusedWithItsReason(t *testing.T) {
	p := alone(t)
	p.store.knows(9, 77) // it was one of the tier's, long ago
	for _, x := range []struct {
		old, id uint64
		why     string
	}{{4, 5, "is none of the tier's"}, {2, 3, "needs a number of its own"}, {2, 9, "needs a number of its own"}, {2, 0, "needs a number of its own"},
		{1, 5, "planner 1 leads"}, {2, 5, "of 3 live, and 2 have to"}} {
		if err := p.Replace(x.old, x.id, "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), x.why) {
			t.Errorf("%d by %d: %v, %q was expected", x.old, x.id, err, x.why)
		}
	}
}

// While a planner is being replaced, most of the old planners are needed as well: the old one is told as one that votes until it has left.
func TestAPlannerThatIsBeingReplacedStillVotes(t *testing.T) {
	p := alone(t)
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ask, err := tier.Append(nil, &tier.Frame{Ask: &tier.Ask{Do: tier.DoStatus}})
	if err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(conn)
	for _, x := range []struct{ voters, leaving, want []uint64 }{
		{voters: []uint64{2, 3, 4}, leaving: []uint64{1, 2, 3}, want: []uint64{1, 2, 3, 4}},
		{voters: []uint64{2, 3, 4}, want: []uint64{2, 3, 4}},
	} {
		p.conf = &pb.ConfState{Voters: x.voters, VotersOutgoing: x.leaving}
		if _, err := conn.Write(ask); err != nil {
			t.Fatal(err)
		}
		(<-p.events)()
		f, err := tier.Read(answers)
		if err != nil || f.Answer == nil {
			t.Fatalf("%+v, %v", f, err)
		}
		if !slices.Equal(f.Answer.Planners, x.want) {
			t.Errorf("voters %v, leaving %v: told %v, want %v", x.voters, x.leaving, f.Answer.Planners, x.want)
		}
	}
}

// besideListener opens planner 1 of three, with the test in place of planner 2. nextLink gives the next link that it opens to that one.
func besideListener(t *testing.T) (p *Planner, nextLink func() net.Conn) {
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
			t.Fatal("nobody comes: ", err)
		}
		return conn
	}
}

// Who has heard what a planner promised may be one to which that one has nothing to send: it is told of the start all the same, so that it
// can judge it. Each link begins with what the disk held as the process began, though who leads has filled it up meanwhile, and with what it
// holds now.
func TestEachLinkTellsWhatTheDiskHeldAtTheStart(t *testing.T) {
	p, nextLink := besideListener(t)
	first := nextLink()
	f, err := tier.Read(bufio.NewReader(first))
	if err != nil || f.Start == nil || f.Start.Planner != 1 || f.Start.Process != p.process || p.process == 0 {
		t.Errorf("%+v, %v: the start of process %d was expected", f.Start, err, p.process)
	}
	index, term := uint64(2), uint64(1)
	if err := p.store.save(&raft.Ready{Entries: []*pb.Entry{{Index: &index, Term: &term}}}); err != nil {
		t.Fatal(err)
	}
	first.Close()
	second := nextLink()
	defer second.Close()
	f, err = tier.Read(bufio.NewReader(second))
	if err != nil || f.Start == nil || f.Start.BeganLast != 1 || f.Start.Last != 2 || f.Start.Process != p.process {
		t.Errorf("%+v, %v: entry 1 as process %d began and 2 now were expected", f.Start, err, p.process)
	}
}

// A planner that begins, or is sent the state as a whole, may have missed lists of members: it says of none that all are known.
func TestAPlannerThatBeginsKnowsNotAllLists(t *testing.T) {
	p, err := Open(Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0"}, LogFile: filepath.Join(t.TempDir(), "log"),
		Rollout: rollout.Config{Lease: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.store.close()
	defer p.server.close()
	if _, whole := p.views.Past(p.now()); whole {
		t.Error("it knows all lists")
	}
}

// Who says more than the planner can work off waits in its own socket, and keeps its link; what planners say to one another doesn't wait behind it.
func TestLinksWaitWhereTooMuchIsSaid(t *testing.T) {
	p := alone(t)
	say := func(f *tier.Frame, times int) net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		b, err := tier.Append(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for range times {
				if _, err := conn.Write(b); err != nil {
					return
				}
			}
		}()
		return conn
	}
	first := say(&tier.Frame{Strange: "nothing that a planner answers"}, mostEvents+100)
	for len(p.events) < mostEvents {
		time.Sleep(time.Millisecond)
	}
	say(&tier.Frame{Raft: []byte("x")}, 1)
	(<-p.urgent)()
	done := make(chan bool)
	go func() {
		defer close(done)
		for n := 0; n < mostEvents+101; n++ { // the last is the end of the link, as the test lets it end
			(<-p.events)()
			if n == mostEvents+99 {
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
