package takeover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testTier is a tier with a simulated clock. Messages are delivered at once, except for those that holdBack selects.
type testTier struct {
	t          *testing.T
	now        time.Duration
	registries map[Member]*Registry
	holdBack   func(from Member, envelope Envelope) bool // true = the message is kept in heldBack
	heldBack   []func()
	actions    map[Member][]Action
}

func newTestTier(t *testing.T, cfg Config, members int) *testTier {
	tier := &testTier{t: t, now: time.Hour, registries: map[Member]*Registry{}, actions: map[Member][]Action{}}
	for i := range members {
		tier.registries[Member(i+1)] = New(cfg)
	}
	tier.setMembers()
	return tier
}

// setMembers announces the present proxies to all of them.
func (tier *testTier) setMembers() {
	var list []Member
	for m := range tier.registries {
		list = append(list, m)
	}
	for _, m := range list {
		tier.registries[m].SetMembers(tier.now, m, list, tier.now+12*time.Second)
	}
	tier.settle()
}

func (tier *testTier) settle() {
	for again := true; again; {
		again = false
		for m := Member(1); m < 100; m++ {
			registry := tier.registries[m]
			if registry == nil {
				continue
			}
			ready := registry.TakeReady()
			tier.actions[m] = append(tier.actions[m], ready.Actions...)
			for _, envelope := range ready.Messages {
				again = true
				deliver := func() {
					if to := tier.registries[envelope.To]; to != nil {
						to.Receive(tier.now, m, envelope.Message)
					}
				}
				if tier.holdBack != nil && tier.holdBack(m, envelope) {
					tier.heldBack = append(tier.heldBack, deliver)
				} else {
					deliver()
				}
			}
		}
	}
}

// advance moves the clock on and ticks all proxies that are not paused.
func (tier *testTier) advance(d time.Duration, paused ...Member) {
	for end := tier.now + d; tier.now < end; {
		tier.now += 20 * ms
		for m := Member(1); m < 100; m++ {
			if registry := tier.registries[m]; registry != nil && !slices.Contains(paused, m) {
				registry.ExtendMembership(tier.now + 2*time.Second)
				registry.Tick(tier.now)
			}
		}
		tier.settle()
	}
}

// deliver delivers the messages that were held back.
func (tier *testTier) deliver() {
	heldBack := tier.heldBack
	tier.heldBack = nil
	for _, deliver := range heldBack {
		deliver()
	}
	tier.settle()
}

func (tier *testTier) begin(m Member, id uint64, work Work, durability Durability) {
	tier.registries[m].Begin(tier.now, id, work, durability)
	tier.settle()
}

// takeActions returns the kinds of the actions that a proxy was given since the last call.
func (tier *testTier) takeActions(m Member) (out []ActionKind) {
	for _, action := range tier.actions[m] {
		out = append(out, action.Kind)
	}
	tier.actions[m] = nil
	return out
}

func newWork(key string) Work { return Work{Key: key, Digest: 1, TimeLeft: 3 * time.Second} }

func (tier *testTier) checkActions(m Member, when string, want ...ActionKind) {
	tier.t.Helper()
	if got := tier.takeActions(m); !slices.Equal(got, want) {
		tier.t.Errorf("%s: proxy %d has actions %v, want %v", when, m, got, want)
	}
}

// nonReplicas returns the proxies that are not replicas of a key.
func (tier *testTier) nonReplicas(key string) (out []Member) {
	replicas := selectReplicas(key, tier.registries[1].members, 3)
	for m := Member(1); int(m) <= len(tier.registries); m++ {
		if !slices.Contains(replicas, m) {
			out = append(out, m)
		}
	}
	return out
}

func TestRetryGetsFirstOutcome(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	nonReplicas := tier.nonReplicas("k")
	tier.begin(nonReplicas[0], 1, newWork("k"), Required)
	tier.checkActions(nonReplicas[0], "first request", Send)
	tier.begin(nonReplicas[1], 2, newWork("k"), Required)
	tier.begin(nonReplicas[1], 3, Work{Key: "k", Digest: 2, TimeLeft: time.Second}, Required)
	tier.checkActions(nonReplicas[1], "another statement while the write is in progress", Conflict)
	tier.registries[nonReplicas[0]].Complete(tier.now, "k", Result{Outcome: Served, Value: []byte("v")})
	tier.settle()
	tier.checkActions(nonReplicas[0], "first request, answered", Answer)
	tier.advance(300 * ms)
	tier.checkActions(nonReplicas[1], "retry while the write was in progress", Answer)
	tier.advance(9 * time.Second)
	tier.begin(nonReplicas[2], 4, newWork("k"), Required) // long after the group's deduplication window
	tier.checkActions(nonReplicas[2], "retry after the window", Answer)
	tier.begin(nonReplicas[0], 5, Work{Key: "k", Digest: 2, TimeLeft: time.Second}, Required)
	tier.checkActions(nonReplicas[0], "another statement after the end", Conflict)
}

// An owner is lost after it has sent the write: one replica takes the write over, once and as a repeat, and a retry gets the outcome.
func TestWriteOfLostOwnerIsTakenOverOnce(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	nonReplicas := tier.nonReplicas("k")
	tier.begin(nonReplicas[0], 1, newWork("k"), Required)
	tier.checkActions(nonReplicas[0], "first request", Send)
	if !tier.registries[nonReplicas[0]].MaySend(tier.now, "k") {
		t.Fatal("the owner may not send")
	}
	tier.advance(1100*ms, nonReplicas[0]) // the owner is paused
	var newOwner Member
	count := 0
	for m := range tier.registries {
		for _, action := range tier.actions[m] {
			if action.TakenOver != nil {
				newOwner = m
				if count++; !action.TakenOver.MayHaveBeenSent || action.TakenOver.SinceFirstSend < 700*ms {
					t.Errorf("%+v", action.TakenOver)
				}
			}
		}
	}
	if count != 1 {
		t.Fatalf("taken over %d times", count)
	}
	if tier.registries[nonReplicas[0]].MaySend(tier.now, "k") {
		t.Error("the paused owner may still send")
	}
	tier.registries[newOwner].Complete(tier.now, "k", Result{Outcome: Served})
	tier.settle()
	tier.advance(300 * ms) // the former owner runs again
	tier.checkActions(nonReplicas[0], "former owner", Answer)
}

// A write whose replicas are unreachable: one that no other proxy knows is rejected, a client's retry is not, as the earlier attempt may have
// been applied.
func TestDurabilityDecidesWithoutQuorum(t *testing.T) {
	tier := newTestTier(t, Config{}, 5)
	tier.advance(20 * ms)
	proxy := tier.nonReplicas("k")[0]
	for _, m := range selectReplicas("k", tier.registries[1].members, 3)[:2] {
		tier.registries[proxy].SetReachable(m, false)
	}
	tier.begin(proxy, 1, newWork("k"), Required)
	tier.checkActions(proxy, "required", Reject)
	retry := newWork("k")
	retry.IsRetry = true
	tier.begin(proxy, 2, retry, Required)
	tier.checkActions(proxy, "retry", FailUnknown)
	tier.begin(proxy, 3, newWork("k"), Preferred)
	tier.checkActions(proxy, "preferred", SendUnreplicated)
	tier.registries[proxy].Complete(tier.now, "k", Result{Outcome: Served})
	tier.settle()
	tier.checkActions(proxy, "first request, answered", Answer)
	// Connections are up, but nobody answers: a replica may have stored the record, so that the write isn't rejected.
	tier.holdBack = func(Member, Envelope) bool { return true }
	for _, m := range tier.registries[1].members {
		tier.registries[proxy].SetReachable(m, true)
	}
	tier.begin(proxy, 4, newWork("k2"), Required)
	tier.advance(200 * ms)
	if others := tier.nonReplicas("k2"); slices.Contains(others, proxy) {
		tier.checkActions(proxy, "replicas that don't answer", FailUnknown)
	}
}

// A write whose class allows it to be sent without a record may have been sent at any time: a proxy that takes it over can't know.
func TestUnreplicatedWriteHasUnknownOutcome(t *testing.T) {
	tier := newTestTier(t, Config{}, 5)
	tier.advance(20 * ms)
	proxy := tier.nonReplicas("k")[0]
	firstReplica := selectReplicas("k", tier.registries[1].members, 3)[0]
	tier.holdBack = func(from Member, envelope Envelope) bool { return from == proxy && envelope.To != firstReplica } // only one replica receives the record
	tier.begin(proxy, 1, newWork("k"), Preferred)
	tier.advance(120 * ms)
	tier.checkActions(proxy, "preferred", SendUnreplicated)
	delete(tier.registries, proxy)
	tier.advance(2 * time.Second)
	for m, registry := range tier.registries {
		if registry.Counters.Resent > 0 || slices.ContainsFunc(tier.actions[m], func(action Action) bool { return action.Kind == Send }) {
			t.Errorf("proxy %d sends the write", m)
		}
	}
	if tier.registries[firstReplica].Counters.TakenOver == 0 {
		t.Error("no proxy took the write over")
	}
}

// All replicas are lost one after the other, with time to transfer the record between the losses: it is still known.
func TestReplicasTransferRecords(t *testing.T) {
	tier := newTestTier(t, Config{}, 8)
	tier.advance(20 * ms)
	replicas := selectReplicas("k", tier.registries[1].members, 3)
	nonReplicas := tier.nonReplicas("k")
	tier.begin(nonReplicas[0], 1, newWork("k"), Required)
	tier.registries[nonReplicas[0]].Complete(tier.now, "k", Result{Outcome: Served})
	tier.settle()
	for _, m := range replicas {
		delete(tier.registries, m)
		tier.setMembers()
		tier.advance(500 * ms)
	}
	tier.takeActions(nonReplicas[1])
	tier.begin(nonReplicas[1], 2, newWork("k"), Required)
	tier.checkActions(nonReplicas[1], "retry after all three original replicas are lost", Answer)
}

// sendsAfterLateMessage delivers a record to a replica after all others have dropped it, and returns how often the write is sent then.
func sendsAfterLateMessage(t *testing.T, scenario string, disabled Guards) (sent int) {
	tier := newTestTier(t, Config{DisabledGuards: disabled}, 6)
	tier.advance(20 * ms)
	replicas := selectReplicas("k", tier.registries[1].members, 3)
	nonReplicas := tier.nonReplicas("k")
	last := replicas[2]
	tier.holdBack = func(_ Member, envelope Envelope) bool {
		return envelope.To == last && envelope.Kind != Query && (scenario != "a replica missed the end" || envelope.Kind == Complete)
	}
	longWork := Work{Key: "k", Digest: 1, TimeLeft: 20 * time.Second}
	tier.begin(nonReplicas[0], 1, longWork, Required)
	tier.registries[nonReplicas[0]].Complete(tier.now, "k", Result{Outcome: Served})
	tier.settle()
	var paused []Member
	switch scenario {
	case "a replica is paused":
		paused = append(paused, last)
	case "a replica missed the end": // and is paused, with the record open
		paused = append(paused, last)
		tier.heldBack = nil
	case "a Store arrives late": // and none of the messages after it
		tier.heldBack = tier.heldBack[:1]
		delete(tier.registries, nonReplicas[0])
	case "a Transfer arrives late":
		tier.heldBack = []func(){func() {
			tier.registries[last].Receive(tier.now, replicas[0], Message{Kind: Transfer, Work: &longWork, Epoch: 1, Owner: nonReplicas[0], OwnerCount: 1})
		}}
	}
	tier.advance(12*time.Second, paused...)
	if tier.holdBack = nil; scenario == "a replica missed the end" {
		tier.heldBack = nil
	}
	for m := range tier.registries {
		tier.takeActions(m)
	}
	tier.deliver()
	tier.advance(2 * time.Second)
	for m := range tier.registries {
		for _, action := range tier.takeActions(m) {
			if action == Send {
				sent++
			}
		}
	}
	return sent
}

// A message that waited in the socket of a paused replica, a delayed Store or a delayed Transfer must not start a second run of a write that has
// ended and been dropped. Without each guard the write is sent again.
func TestLateMessageStartsNoSecondRun(t *testing.T) {
	for _, scenario := range []string{"a replica is paused", "a Store arrives late", "a Transfer arrives late", "a replica missed the end"} {
		if count := sendsAfterLateMessage(t, scenario, 0); count > 0 {
			t.Errorf("%s: the write is sent %d more times", scenario, count)
		}
	}
	if sendsAfterLateMessage(t, "a Store arrives late", NoAgeCheck) == 0 {
		t.Error("without the age check the write is not sent again")
	}
	if sendsAfterLateMessage(t, "a Transfer arrives late", NoAgeCheck|NoFirstOwnerCheck) == 0 {
		t.Error("without the age and first owner checks the write is not sent again")
	}
}

// With a third owner, the time of the first possible send counts from the first owner, not from the first takeover.
func TestWindowCountsFromFirstOwner(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	replicas := selectReplicas("k", tier.registries[1].members, 3)
	proxy := tier.nonReplicas("k")[0]
	tier.holdBack = func(_ Member, envelope Envelope) bool {
		return envelope.To == replicas[2] && (envelope.Kind == Store || envelope.Kind == Renew)
	} // the third replica never receives the record
	tier.begin(proxy, 1, Work{Key: "k", Digest: 1, TimeLeft: 20 * time.Second}, Required)
	tier.checkActions(proxy, "first request", Send)
	delete(tier.registries, proxy)
	tier.advance(1200 * ms) // time for one takeover
	for _, m := range replicas[:2] {
		if registry := tier.registries[m]; registry.Counters.TakenOver > 0 {
			delete(tier.registries, m)
		}
	}
	if len(tier.registries) != 4 {
		t.Fatalf("%d proxies left", len(tier.registries))
	}
	tier.advance(2500 * ms)
	for m := range tier.registries {
		for _, action := range tier.actions[m] {
			if action.TakenOver != nil && (!action.TakenOver.MayHaveBeenSent || action.TakenOver.SinceFirstSend < 1900*ms) {
				t.Errorf("proxy %d: %+v", m, action.TakenOver)
			}
		}
	}
}

func TestRecordsAndAnswersAreBounded(t *testing.T) {
	tier := newTestTier(t, Config{MaxRecords: 10_000, MaxAnswerBytes: 8}, 6)
	tier.advance(20 * ms)
	for i := range 10_000 {
		tier.registries[1].Begin(tier.now, uint64(i+1), newWork(fmt.Sprint("k", i)), Required)
		tier.settle()
	}
	if status := tier.registries[1].Status(tier.now); status.Owned != 10_000 {
		t.Fatalf("%+v", status)
	}
	tier.takeActions(1)
	tier.registries[1].Complete(tier.now, "k0", Result{Outcome: Served, Value: make([]byte, 9)})
	tier.settle()
	if action := tier.actions[1]; len(action) != 1 || action[0].Result.Value != nil || !action[0].Result.TooLong {
		t.Errorf("%+v", action)
	}
	limited := newTestTier(t, Config{MaxRecords: 1}, 3)
	limited.advance(20 * ms)
	limited.begin(1, 1, newWork("a"), Required)
	limited.begin(2, 2, newWork("b"), Required)
	limited.advance(200 * ms)
	if limited.registries[2].Counters.Replicated != 0 || limited.registries[1].Counters.Full == 0 {
		t.Error("more records are stored than MaxRecords")
	}
}

// After its membership has expired, a proxy sends, stores and takes over nothing. Under a new membership it has none of its earlier records,
// which others may have completed and dropped.
func TestExpiredMembershipDoesNothing(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	replicas := selectReplicas("k", tier.registries[1].members, 3)
	nonReplicas := tier.nonReplicas("k")
	tier.begin(nonReplicas[0], 1, newWork("k"), Required)
	tier.checkActions(nonReplicas[0], "first request", Send)
	replica := tier.registries[replicas[0]]
	owner := tier.registries[nonReplicas[0]]
	memberUntil := owner.memberUntil
	if owner.memberUntil = tier.now; owner.MaySend(tier.now, "k") { // while its leases are still valid
		t.Error("a proxy that is no member may send")
	}
	owner.memberUntil = memberUntil
	tier.now += 3 * time.Second // no membership was extended
	if tier.registries[nonReplicas[0]].MaySend(tier.now, "k") {
		t.Error("the owner may send after its membership has expired")
	}
	replica.Tick(tier.now)
	work := newWork("k2")
	replica.Receive(tier.now, nonReplicas[0], Message{Kind: Store, Work: &work, Seq: 900, Echo: tier.now, Clock: tier.now})
	if ready := replica.TakeReady(); !ready.Empty() || len(replica.records) != 1 {
		t.Errorf("replica: messages %+v, actions %+v, %d records", ready.Messages, ready.Actions, len(replica.records))
	}
	tier.begin(nonReplicas[0], 2, work, Required)
	tier.checkActions(nonReplicas[0], "new write", Reject)
	replica.SetMembers(tier.now, 77, tier.registries[1].members, tier.now)
	replica.ExtendMembership(tier.now + time.Second)
	replica.Tick(tier.now)
	if ready := replica.TakeReady(); len(ready.Messages) > 0 || len(replica.records) > 0 {
		t.Errorf("messages under the new membership: %+v", ready.Messages)
	}
}

// The first owner used a list of members without one that has become a replica since. That a majority of the new list's replicas never
// stored the record does not show that the write was never sent. Found by a seed of lab/worksim, which sent it a second time.
func TestNewReplicaIsNoEvidenceOfUnsentWrite(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	key := ""
	for i := 0; key == ""; i++ { // a key that the next member becomes a replica of
		k := fmt.Sprint("k", i)
		if slices.Contains(selectReplicas(k, []Member{1, 2, 3, 4, 5, 6, 7}, 3), 7) && !slices.Contains(selectReplicas(k, tier.registries[1].members, 3), 1) {
			key = k
		}
	}
	replicas := selectReplicas(key, tier.registries[1].members, 3)
	tier.holdBack = func(_ Member, envelope Envelope) bool {
		return envelope.To == replicas[0] && envelope.Kind != Query && envelope.Kind != TakeOver && envelope.Kind != ClockUnknown || envelope.Kind == Transfer
	}
	tier.begin(1, 1, newWork(key), Required)
	tier.checkActions(1, "first request", Send)
	tier.registries[7] = New(Config{})
	tier.setMembers()
	delete(tier.registries, 1)
	unreachable := replicas[2] // replaced by the new member
	droppedAnswers := 0
	tier.holdBack = func(from Member, envelope Envelope) bool {
		if from == replicas[0] && envelope.Kind == Stored { // let the new replica's answer arrive first
			droppedAnswers++
		}
		return from == unreachable || envelope.To == unreachable || envelope.Kind == Transfer || from == replicas[0] && envelope.Kind == Stored && droppedAnswers == 1
	}
	tier.advance(1500*ms, unreachable)
	takeovers := 0
	for m := range tier.registries {
		for _, action := range tier.actions[m] {
			if action.TakenOver != nil {
				if takeovers++; !action.TakenOver.MayHaveBeenSent {
					t.Errorf("proxy %d sends the write as if it had not been sent before: %+v", m, action.TakenOver)
				}
			}
		}
	}
	if takeovers == 0 {
		t.Error("no proxy takes the write over")
	}
}

// A proxy that joins receives the earlier lists of members and asks their replicas too; otherwise it would miss their records.
func TestNewMemberAsksEarlierReplicas(t *testing.T) {
	tier := newTestTier(t, Config{}, 6)
	tier.advance(20 * ms)
	before := slices.Clone(tier.registries[1].members)
	proxy := tier.nonReplicas("k")[0]
	tier.begin(proxy, 1, newWork("k"), Required)
	tier.registries[proxy].Complete(tier.now, "k", Result{Outcome: Served})
	tier.settle()
	tier.holdBack = func(_ Member, envelope Envelope) bool { return envelope.Kind == Transfer } // transfers are lost
	for _, m := range selectReplicas("k", before, 3)[:1] {
		delete(tier.registries, m)
	}
	for i := Member(10); i < 30; i++ { // many join, so that the replicas change
		tier.registries[i] = New(Config{})
	}
	tier.setMembers()
	for i := Member(10); i < 30; i++ {
		tier.registries[i].AddPastMembers(before, tier.now+12*time.Second)
	}
	tier.advance(20 * ms)
	if slices.ContainsFunc(selectReplicas("k", tier.registries[10].members, 3), func(m Member) bool { return m < 10 }) {
		t.Fatal("another key is needed")
	}
	tier.begin(10, 1, newWork("k"), Required)
	tier.advance(40 * ms)
	tier.checkActions(10, "retry", Answer)
}

// A proxy that joins asks the replicas of each list that others may still use, until the records that they own by it have been dropped.
func TestReplicasOfEarlierListsAreAsked(t *testing.T) {
	registry := New(Config{})
	now, retention := time.Hour, Config{}.WithDefaults().Retention
	membership := Membership{Self: 9, Version: 4, Members: []Member{7, 8, 9}, Until: now + time.Second, Retention: 2 * time.Second,
		Past: []PastMembers{{[]Member{1, 2, 3}, 500 * time.Millisecond}, {[]Member{4, 5, 6}, time.Second}}}
	registry.SetMembership(now, membership)
	askedReplicas := func(now time.Duration) (out []Member) {
		for _, set := range registry.replicaSets(now, "k") {
			out = append(out, set.members...)
		}
		slices.Sort(out)
		return out
	}
	for _, c := range []struct {
		after time.Duration
		from  Member
	}{{0, 1}, {retention + 400*time.Millisecond, 1}, {retention + 600*time.Millisecond, 4}, {retention + 1100*time.Millisecond, 7}} {
		if got := askedReplicas(now + c.after); len(got) != int(10-c.from) || got[0] != c.from {
			t.Errorf("%v later: %v", c.after, got)
		}
	}
	now += retention + 2*time.Second
	membership.Version, membership.Members, membership.Past = 5, []Member{9, 10, 11}, nil
	registry.SetMembership(now, membership)
	if got := askedReplicas(now + membership.Retention + retention - 1); len(got) != 6 {
		t.Errorf("%v", got)
	}
	if got := askedReplicas(now + membership.Retention + retention); len(got) != 3 {
		t.Errorf("%v", got)
	}
	if registry.isMember(membership.Until) || !registry.isMember(membership.Until-1) {
		t.Error("the membership does not end at Until")
	}
}
