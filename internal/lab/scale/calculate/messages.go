package calculate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	gossip "havenproxy/internal/peers"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/peers"
	"havenproxy/internal/wire/pg"
	"havenproxy/internal/wire/tier"
)

// Messages are the lengths of real messages in bytes, as the codecs write them, without TCP, UDP and IP headers. Numbers and names in
// them are as long as they would be at the target.
type Messages struct {
	ProbeQuery, ProbeReply int // a health check in PostgreSQL's protocol

	ListCall  int // a watch of discovery that waits for news
	ListEmpty int // its answer where there is none
	ListEntry int // one database in an answer
	ListWhole int // an answer with all databases

	PeerHead, PeerFact, PeerFull int // a datagram between proxies: before the facts, each fact, with as many as it holds

	Renew, Granted                    int // a lease asked for, and granted
	Offer, Agree, Hold, Held, InForce int // a change of policy, for one proxy
	Hello, Welcome                    int // a proxy that joins; Welcome holds the policy
	MembersWhole, MembersChange       int // the tier's members, for who shares health checks: all; one proxy that has restarted

	Heartbeat, HeartbeatReply int // of the planners' consensus, to one follower
	JoinCommand               int // the log's entry for a proxy that joins
	State                     int // the planners' state with all members, without policies' texts
	Status                    int // the answer to the operator's `policy status`
}

// Numbers as long as they become within months at the target.
const (
	exampleMember  = 60_000    // 184 proxies leave a day
	exampleSeq     = 1_000_000 // asks for a lease by one proxy, in five days
	exampleNumber  = 200_000   // changes of policy
	exampleVersion = 120_000   // of the members
	exampleTerm    = 300
	exampleIndex   = 5_000_000 // of the planners' log
	exampleNonce   = 1<<63 + 12345
	exampleStart   = 1_767_225_600_123 // Unix milliseconds
)

// exampleName is a proxy's.
func exampleName(i int) string { return fmt.Sprintf("proxy-r1-z2-%04d", i) }

// exampleEntries are the tier's members, with their zones.
func exampleEntries(proxies int) (entries []rollout.MemberEntry) {
	for i := range proxies {
		entries = append(entries, rollout.MemberEntry{Member: rollout.Member(exampleMember + i), Name: exampleName(i), Nonce: exampleNonce, Zone: "r1-z2"})
	}
	return entries
}

// Encode writes each message once and measures it.
func Encode(in Inputs) (m Messages, err error) {
	m.ProbeQuery = len(pg.AppendQuery(nil, "SHOW load"))
	const report = "x0=1767225600.123456,x1=0,inflight=12" // as docs/design.md describes an answer to SHOW load
	m.ProbeReply = len(pg.AppendResultSet(nil, []string{"val"}, [][]string{{report}}, "SELECT 1", 1<<16))
	if err := m.encodeLists(in); err != nil {
		return m, err
	}
	m.encodePeers()
	if err := m.encodeTier(in); err != nil {
		return m, err
	}
	return m, m.encodeConsensus(in)
}

func (m *Messages) encodeLists(in Inputs) error {
	wait := in.ListBound / 2 // as in limit.CallSchedule.WatchTimeouts
	m.ListCall = len(discovery.AppendRequest(nil, "10.101.202.33:8500", exampleNumber, wait))
	list := discovery.List{Generation: exampleNumber}
	empty, err := json.Marshal(&list)
	if err != nil {
		return err
	}
	for i := range in.Size.Databases {
		list.Instances = append(list.Instances, discovery.Instance{ID: fmt.Sprintf("s-%08x", 0x5be20000+i), Address: fmt.Sprintf("10.101.%d.%d:6432", 100+i/250, 100+i%150),
			Zone: "r1-z2", Group: 100 + i/in.GroupSize, Lifecycle: discovery.InService, Weight: 1, StartedMs: exampleStart})
	}
	whole, err := json.Marshal(&list)
	if err != nil {
		return err
	}
	m.ListEmpty = httpHead(len(empty)) + len(empty)
	m.ListWhole = httpHead(len(whole)) + len(whole)
	m.ListEntry = (len(whole) - len(empty)) / max(in.Size.Databases, 1)
	return nil
}

// httpHead is the length of an answer's head, with the fields that Go's server sends.
func httpHead(body int) int {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: " + time.Unix(0, 0).UTC().Format(http.TimeFormat)
	return len(fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n", head, body))
}

func (m *Messages) encodePeers() {
	fact := gossip.Report{Database: 0x5be2a07c, Role: gossip.Replica, At: time.Second, Position: time.Second}
	facts := make([]gossip.Report, peers.MaxReports)
	for i := range facts {
		facts[i] = fact
	}
	one := len(peers.Append(nil, time.Hour, time.Second, facts[:1]))
	two := len(peers.Append(nil, time.Hour, time.Second, facts[:2]))
	m.PeerFact, m.PeerHead = two-one, 2*one-two
	m.PeerFull = len(peers.Append(nil, time.Hour, time.Second, facts))
}

func (m *Messages) encodeTier(in Inputs) error {
	policy := []byte(strings.Repeat("p", in.PolicyBytes))
	round := rollout.Round{Term: exampleTerm, Count: 3}
	entries := exampleEntries(in.Size.Proxies)
	for _, x := range []struct {
		to      *int
		message rollout.Message
	}{
		{&m.Renew, rollout.Message{Kind: rollout.Renew, Member: exampleMember, Seq: exampleSeq, Number: exampleNumber}},
		{&m.Granted, rollout.Message{Kind: rollout.Granted, Member: exampleMember, Seq: exampleSeq, Lease: in.Lease}},
		{&m.Offer, rollout.Message{Kind: rollout.Offer, Member: exampleMember, Number: exampleNumber, Policy: policy}},
		{&m.Agree, rollout.Message{Kind: rollout.Agree, Member: exampleMember, Number: exampleNumber}},
		{&m.Hold, rollout.Message{Kind: rollout.Hold, Member: exampleMember, Number: exampleNumber, Round: round}},
		{&m.Held, rollout.Message{Kind: rollout.Held, Member: exampleMember, Number: exampleNumber, Round: round}},
		{&m.InForce, rollout.Message{Kind: rollout.Status, Member: exampleMember, Number: exampleNumber, Round: round}},
		{&m.Hello, rollout.Message{Kind: rollout.Hello, Name: exampleName(0), Nonce: exampleNonce, Lease: in.Lease}},
		{&m.Welcome, rollout.Message{Kind: rollout.Welcome, Member: exampleMember, Nonce: exampleNonce, Number: exampleNumber, Policy: policy}},
		{&m.MembersWhole, rollout.Message{Kind: rollout.Members, Member: exampleMember, MembersVersion: exampleVersion, Members: entries}},
		{&m.MembersChange, rollout.Message{Kind: rollout.Members, Member: exampleMember, MembersVersion: exampleVersion, BaseVersion: exampleVersion - 2,
			Members: entries[:1], RemovedMembers: []rollout.Member{exampleMember - 1}}},
	} {
		frame, err := tier.Append(nil, &tier.Frame{Rollout: &x.message})
		if err != nil {
			return err
		}
		*x.to = len(frame)
	}
	return nil
}

func (m *Messages) encodeConsensus(in Inputs) (err error) {
	if m.Heartbeat, err = consensusFrame(pb.MessageType_MsgHeartbeat); err != nil {
		return err
	}
	if m.HeartbeatReply, err = consensusFrame(pb.MessageType_MsgHeartbeatResp); err != nil {
		return err
	}
	command, err := tier.EncodeCommand(&rollout.Command{Kind: rollout.Join, Name: exampleName(0), Nonce: exampleNonce, Time: exampleStart})
	if err != nil {
		return err
	}
	m.JoinCommand = len(command)
	state := rollout.State{InForce: exampleNumber, LastNumber: exampleNumber, LastMember: exampleMember, MembersVersion: exampleVersion, LeaseSet: true, Lease: in.Lease}
	for _, entry := range exampleEntries(in.Size.Proxies) {
		entry.Zone = "" // health checks are not shared
		state.Members = append(state.Members, entry)
	}
	text, err := tier.EncodeState(&state)
	if err != nil {
		return err
	}
	m.State = len(text)
	answer := tier.OperatorResponse{Planner: 1, Leader: 1, State: &state, Planners: []uint64{1, 2, 3}}
	for _, seat := range state.Members {
		answer.Members = append(answer.Members, rollout.MemberInfo{Name: seat.Name, Member: seat.Member, Number: exampleNumber, Linked: true, SinceLastMessage: in.Lease / asksInLease, LeaseRemaining: in.Lease})
	}
	frame, err := tier.Append(nil, &tier.Frame{Response: &answer})
	m.Status = len(frame)
	return err
}

// consensusFrame is the length of a message between planners that carries no entry, with the context of a read index.
func consensusFrame(kind pb.MessageType) (int, error) {
	from, to, term, commit := uint64(1), uint64(2), uint64(exampleTerm), uint64(exampleIndex)
	text, err := proto.Marshal(&pb.Message{Type: &kind, From: &from, To: &to, Term: &term, Commit: &commit, Context: make([]byte, 8)})
	if err != nil {
		return 0, err
	}
	frame, err := tier.Append(nil, &tier.Frame{Raft: text})
	return len(frame), err
}
