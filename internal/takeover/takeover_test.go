package takeover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// play is a tier on a clock of the test's own: what is said comes at once, but for what is kept back.
type testTier struct {
	t          *testing.T
	now        time.Duration
	registries map[Member]*Registry
	holdBack   func(from Member, s Envelope) bool // true = it is kept in back
	heldBack   []func()
	actions    map[Member][]Action
}

func newTestTier(t *testing.T, cfg Config, members int) *testTier {
	p := &testTier{t: t, now: time.Hour, registries: map[Member]*Registry{}, actions: map[Member][]Action{}}
	for i := range members {
		p.registries[Member(i+1)] = New(cfg)
	}
	p.setMembers()
	return p
}

// view tells all who lives.
func (p *testTier) setMembers() {
	var list []Member
	for m := range p.registries {
		list = append(list, m)
	}
	for _, m := range list {
		p.registries[m].SetMembers(p.now, m, list, p.now+12*time.Second)
	}
	p.settle()
}

func (p *testTier) settle() {
	for again := true; again; {
		again = false
		for m := Member(1); m < 100; m++ {
			b := p.registries[m]
			if b == nil {
				continue
			}
			ready := b.TakeReady()
			p.actions[m] = append(p.actions[m], ready.Actions...)
			for _, s := range ready.Messages {
				again = true
				arrive := func() {
					if to := p.registries[s.To]; to != nil {
						to.Receive(p.now, m, s.Message)
					}
				}
				if p.holdBack != nil && p.holdBack(m, s) {
					p.heldBack = append(p.heldBack, arrive)
				} else {
					arrive()
				}
			}
		}
	}
}

// pass lets time go by, and those who don't stand still look at their clocks.
func (p *testTier) pass(d time.Duration, still ...Member) {
	for end := p.now + d; p.now < end; {
		p.now += 20 * ms
		for m := Member(1); m < 100; m++ {
			if b := p.registries[m]; b != nil && !slices.Contains(still, m) {
				b.ExtendMembership(p.now + 2*time.Second)
				b.Tick(p.now)
			}
		}
		p.settle()
	}
}

// deliver lets what was kept back arrive.
func (p *testTier) deliver() {
	back := p.heldBack
	p.heldBack = nil
	for _, f := range back {
		f()
	}
	p.settle()
}

func (p *testTier) begin(m Member, id uint64, w Work, s Durability) {
	p.registries[m].Begin(p.now, id, w, s)
	p.settle()
}

// did gives what a proxy was last told to do, of all that it was told since it was last asked.
func (p *testTier) takeActions(m Member) (out []ActionKind) {
	for _, o := range p.actions[m] {
		out = append(out, o.Kind)
	}
	p.actions[m] = nil
	return out
}

func work(key string) Work { return Work{Key: key, Digest: 1, TimeLeft: 3 * time.Second} }

func (p *testTier) want(m Member, what string, do ...ActionKind) {
	p.t.Helper()
	if got := p.takeActions(m); !slices.Equal(got, do) {
		p.t.Errorf("%s: %d is told to do %v, %v was expected", what, m, got, do)
	}
}

// far gives two proxies that don't keep a key.
func (p *testTier) nonReplicas(key string) (out []Member) {
	keep := selectReplicas(key, p.registries[1].members, 3)
	for m := Member(1); int(m) <= len(p.registries); m++ {
		if !slices.Contains(keep, m) {
			out = append(out, m)
		}
	}
	return out
}

func TestWhoAsksAgainGetsTheFirstOutcome(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	far := p.nonReplicas("k")
	p.begin(far[0], 1, work("k"), Required)
	p.want(far[0], "the first", Send)
	p.begin(far[1], 2, work("k"), Required)
	p.begin(far[1], 3, Work{Key: "k", Digest: 2, TimeLeft: time.Second}, Required)
	p.want(far[1], "another statement while it is under way", Conflict)
	p.registries[far[0]].Complete(p.now, "k", Result{Outcome: Served, Value: []byte("v")})
	p.settle()
	p.want(far[0], "its answer", Answer)
	p.pass(300 * ms)
	p.want(far[1], "who joined", Answer)
	p.pass(9 * time.Second)
	p.begin(far[2], 4, work("k"), Required) // long behind the set's own memory
	p.want(far[2], "who asks again behind it", Answer)
	p.begin(far[0], 5, Work{Key: "k", Digest: 2, TimeLeft: time.Second}, Required)
	p.want(far[0], "another statement behind it", Conflict)
}

// Who is lost behind its send: a keeper takes over, once, as a repeat, and who asks again hears how that ended.
func TestALostOwnersWorkIsTakenOverOnce(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	far := p.nonReplicas("k")
	p.begin(far[0], 1, work("k"), Required)
	p.want(far[0], "the first", Send)
	if !p.registries[far[0]].MaySend(p.now, "k") {
		t.Fatal("it may not be sent")
	}
	p.pass(1100*ms, far[0]) // it stands still
	var by Member
	n := 0
	for m := range p.registries {
		for _, o := range p.actions[m] {
			if o.TakenOver != nil {
				by = m
				if n++; !o.TakenOver.MayHaveBeenSent || o.TakenOver.SinceFirstSend < 700*ms {
					t.Errorf("%+v", o.TakenOver)
				}
			}
		}
	}
	if n != 1 {
		t.Fatalf("taken over %d times", n)
	}
	if p.registries[far[0]].MaySend(p.now, "k") {
		t.Error("who stood still may send")
	}
	p.registries[by].Complete(p.now, "k", Result{Outcome: Served})
	p.settle()
	p.pass(300 * ms) // it is awake again
	p.want(far[0], "who woke", Answer)
}

// A write whose keepers can't be reached: what nobody has heard of is refused, a client's repeat is not, as the earlier one may have run.
func TestWithoutKeepersTheClassSaysWhatHappens(t *testing.T) {
	p := newTestTier(t, Config{}, 5)
	p.pass(20 * ms)
	far := p.nonReplicas("k")[0]
	for _, m := range selectReplicas("k", p.registries[1].members, 3)[:2] {
		p.registries[far].SetReachable(m, false)
	}
	p.begin(far, 1, work("k"), Required)
	p.want(far, "required", Reject)
	again := work("k")
	again.IsRetry = true
	p.begin(far, 2, again, Required)
	p.want(far, "a repeat", FailUnknown)
	p.begin(far, 3, work("k"), Preferred)
	p.want(far, "preferred", SendUnreplicated)
	p.registries[far].Complete(p.now, "k", Result{Outcome: Served})
	p.settle()
	p.want(far, "its answer", Answer)
	// Links are up and nobody answers: a keeper may hold the record, so that it isn't refused.
	p.holdBack = func(Member, Envelope) bool { return true }
	for _, m := range p.registries[1].members {
		p.registries[far].SetReachable(m, true)
	}
	p.begin(far, 4, work("k2"), Required)
	p.pass(200 * ms)
	if far2 := p.nonReplicas("k2"); slices.Contains(far2, far) {
		p.want(far, "asked and not heard", FailUnknown)
	}
}

// A write that its class lets go without a record may have been sent at any time: who takes it over can't tell.
func TestWhatMayHaveGoneWithoutARecordIsUnknown(t *testing.T) {
	p := newTestTier(t, Config{}, 5)
	p.pass(20 * ms)
	far := p.nonReplicas("k")[0]
	first := selectReplicas("k", p.registries[1].members, 3)[0]
	p.holdBack = func(from Member, s Envelope) bool { return from == far && s.To != first } // one keeper alone hears of it
	p.begin(far, 1, work("k"), Preferred)
	p.pass(120 * ms)
	p.want(far, "preferred", SendUnreplicated)
	delete(p.registries, far)
	p.pass(2 * time.Second)
	for m, b := range p.registries {
		if b.Counters.Resent > 0 || slices.ContainsFunc(p.actions[m], func(o Action) bool { return o.Kind == Send }) {
			t.Errorf("%d sends it", m)
		}
	}
	if p.registries[first].Counters.TakenOver == 0 {
		t.Error("nobody took it over")
	}
}

// Two keepers lost one after the other, with time for repair between them: the record is known all the same.
func TestKeepersHandRecordsOn(t *testing.T) {
	p := newTestTier(t, Config{}, 8)
	p.pass(20 * ms)
	keep := selectReplicas("k", p.registries[1].members, 3)
	far := p.nonReplicas("k")
	p.begin(far[0], 1, work("k"), Required)
	p.registries[far[0]].Complete(p.now, "k", Result{Outcome: Served})
	p.settle()
	for _, m := range keep {
		delete(p.registries, m)
		p.setMembers()
		p.pass(500 * ms)
	}
	p.takeActions(far[1])
	p.begin(far[1], 2, work("k"), Required)
	p.want(far[1], "who asks again once all three first keepers are lost", Answer)
}

// late lets a record come to a keeper once all others have forgotten it, and tells how often it is sent then.
func late(t *testing.T, how string, without Guards) (sent int) {
	p := newTestTier(t, Config{DisabledGuards: without}, 6)
	p.pass(20 * ms)
	keep := selectReplicas("k", p.registries[1].members, 3)
	far := p.nonReplicas("k")
	last := keep[2]
	p.holdBack = func(_ Member, s Envelope) bool {
		return s.To == last && s.Kind != Query && (how != "a keeper has missed the end" || s.Kind == Complete)
	}
	long := Work{Key: "k", Digest: 1, TimeLeft: 20 * time.Second}
	p.begin(far[0], 1, long, Required)
	p.registries[far[0]].Complete(p.now, "k", Result{Outcome: Served})
	p.settle()
	var still []Member
	switch how {
	case "a keeper stands still":
		still = append(still, last)
	case "a keeper has missed the end": // and stands still, with the record open
		still = append(still, last)
		p.heldBack = nil
	case "a Take comes late": // and nothing of what came behind it
		p.heldBack = p.heldBack[:1]
		delete(p.registries, far[0])
	case "a copy comes late":
		p.heldBack = []func(){func() {
			p.registries[last].Receive(p.now, keep[0], Message{Kind: Transfer, Work: &long, Epoch: 1, Owner: far[0], OwnerCount: 1})
		}}
	}
	p.pass(12*time.Second, still...)
	if p.holdBack = nil; how == "a keeper has missed the end" {
		p.heldBack = nil
	}
	for m := range p.registries {
		p.takeActions(m)
	}
	p.deliver()
	p.pass(2 * time.Second)
	for m := range p.registries {
		for _, o := range p.takeActions(m) {
			if o == Send {
				sent++
			}
		}
	}
	return sent
}

// What lay in a socket while a keeper stood still, a Take that was long on its way, a late copy: none starts a second run of what has ended and
// been forgotten. Each guard, taken out, is missed.
func TestALateRecordStartsNoSecondRun(t *testing.T) {
	for _, how := range []string{"a keeper stands still", "a Take comes late", "a copy comes late", "a keeper has missed the end"} {
		if n := late(t, how, 0); n > 0 {
			t.Errorf("%s: it is sent %d times more", how, n)
		}
	}
	if late(t, "a Take comes late", NoAgeCheck) == 0 {
		t.Error("the age of messages is not missed")
	}
	if late(t, "a copy comes late", NoAgeCheck|NoFirstOwnerCheck) == 0 {
		t.Error("who had it first hand is not missed")
	}
}

// An owner after the next: what the first may have sent counts from when it could, not from when it was first claimed.
func TestTheWindowCountsFromTheFirstOwner(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	keep := selectReplicas("k", p.registries[1].members, 3)
	far := p.nonReplicas("k")[0]
	p.holdBack = func(_ Member, s Envelope) bool { return s.To == keep[2] && (s.Kind == Store || s.Kind == Renew) } // the third never heard of it
	p.begin(far, 1, Work{Key: "k", Digest: 1, TimeLeft: 20 * time.Second}, Required)
	p.want(far, "the first", Send)
	delete(p.registries, far)
	p.pass(1200 * ms) // claimed once
	for _, m := range keep[:2] {
		if b := p.registries[m]; b.Counters.TakenOver > 0 {
			delete(p.registries, m)
		}
	}
	if len(p.registries) != 4 {
		t.Fatalf("%d live", len(p.registries))
	}
	p.pass(2500 * ms)
	for m := range p.registries {
		for _, o := range p.actions[m] {
			if o.TakenOver != nil && (!o.TakenOver.MayHaveBeenSent || o.TakenOver.SinceFirstSend < 1900*ms) {
				t.Errorf("%d: %+v", m, o.TakenOver)
			}
		}
	}
}

func TestRoomAndValuesAreBounded(t *testing.T) {
	p := newTestTier(t, Config{MaxRecords: 10_000, MaxAnswerBytes: 8}, 6)
	p.pass(20 * ms)
	for i := range 10_000 {
		p.registries[1].Begin(p.now, uint64(i+1), work(fmt.Sprint("k", i)), Required)
		p.settle()
	}
	if f := p.registries[1].Status(p.now); f.Owned != 10_000 {
		t.Fatalf("%+v", f)
	}
	p.takeActions(1)
	p.registries[1].Complete(p.now, "k0", Result{Outcome: Served, Value: make([]byte, 9)})
	p.settle()
	if o := p.actions[1]; len(o) != 1 || o[0].Result.Value != nil || !o[0].Result.TooLong {
		t.Errorf("%+v", o)
	}
	small := newTestTier(t, Config{MaxRecords: 1}, 3)
	small.pass(20 * ms)
	small.begin(1, 1, work("a"), Required)
	small.begin(2, 2, work("b"), Required)
	small.pass(200 * ms)
	if small.registries[2].Counters.Replicated != 0 || small.registries[1].Counters.Full == 0 {
		t.Error("more is kept than there is room for")
	}
}

// Behind its membership's end a proxy sends, keeps and claims nothing; under a new one it has nothing of what it kept before, which others may have
// ended and forgotten.
func TestNothingIsDoneBehindTheEndOfAMembership(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	keep := selectReplicas("k", p.registries[1].members, 3)
	far := p.nonReplicas("k")
	p.begin(far[0], 1, work("k"), Required)
	p.want(far[0], "the first", Send)
	k := p.registries[keep[0]]
	owner := p.registries[far[0]]
	was := owner.memberUntil
	if owner.memberUntil = p.now; owner.MaySend(p.now, "k") { // its promises last on
		t.Error("it may be sent by who is no member")
	}
	owner.memberUntil = was
	p.now += 3 * time.Second // nobody's membership was prolonged
	if p.registries[far[0]].MaySend(p.now, "k") {
		t.Error("it may be sent")
	}
	k.Tick(p.now)
	w := work("k2")
	k.Receive(p.now, far[0], Message{Kind: Store, Work: &w, Seq: 900, Echo: p.now, Clock: p.now})
	if ready := k.TakeReady(); !ready.Empty() || len(k.records) != 1 {
		t.Errorf("a keeper says %+v, does %+v, keeps %d", ready.Messages, ready.Actions, len(k.records))
	}
	p.begin(far[0], 2, w, Required)
	p.want(far[0], "a new one", Reject)
	k.SetMembers(p.now, 77, p.registries[1].members, p.now)
	k.ExtendMembership(p.now + time.Second)
	k.Tick(p.now)
	if ready := k.TakeReady(); len(ready.Messages) > 0 || len(k.records) > 0 {
		t.Errorf("under a new membership it says %+v", ready.Messages)
	}
}

// The first owner went by a list without a member that has become a keeper since: that most keepers of the new list never held the record doesn't
// say that it was never sent. Found by a seed of lab/worksim, which sent it a second time.
func TestWhoJoinedSinceSaysNothingOfWhatWasSent(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	key := ""
	for i := 0; key == ""; i++ { // one that the next member becomes a keeper of
		k := fmt.Sprint("k", i)
		if slices.Contains(selectReplicas(k, []Member{1, 2, 3, 4, 5, 6, 7}, 3), 7) && !slices.Contains(selectReplicas(k, p.registries[1].members, 3), 1) {
			key = k
		}
	}
	keep := selectReplicas(key, p.registries[1].members, 3)
	p.holdBack = func(_ Member, s Envelope) bool {
		return s.To == keep[0] && s.Kind != Query && s.Kind != TakeOver && s.Kind != ClockUnknown || s.Kind == Transfer
	}
	p.begin(1, 1, work(key), Required)
	p.want(1, "the first", Send)
	p.registries[7] = New(Config{})
	p.setMembers()
	delete(p.registries, 1)
	gone := keep[2] // which the new one has taken the place of; it can't be heard
	lost := 0
	p.holdBack = func(from Member, s Envelope) bool {
		if from == keep[0] && s.Kind == Stored { // the new one's word comes first
			lost++
		}
		return from == gone || s.To == gone || s.Kind == Transfer || from == keep[0] && s.Kind == Stored && lost == 1
	}
	p.pass(1500*ms, gone)
	runs := 0
	for m := range p.registries {
		for _, o := range p.actions[m] {
			if o.TakenOver != nil {
				if runs++; !o.TakenOver.MayHaveBeenSent {
					t.Errorf("%d sends it as if it had never been: %+v", m, o.TakenOver)
				}
			}
		}
	}
	if runs == 0 {
		t.Error("nobody takes it over")
	}
}

// Who joins is told which lists of members there were: it asks their keepers too, or would find none of what they keep.
func TestWhoJoinsAsksTheKeepersOfBefore(t *testing.T) {
	p := newTestTier(t, Config{}, 6)
	p.pass(20 * ms)
	before := slices.Clone(p.registries[1].members)
	far := p.nonReplicas("k")[0]
	p.begin(far, 1, work("k"), Required)
	p.registries[far].Complete(p.now, "k", Result{Outcome: Served})
	p.settle()
	p.holdBack = func(_ Member, s Envelope) bool { return s.Kind == Transfer } // repairs are lost
	for _, m := range selectReplicas("k", before, 3)[:1] {
		delete(p.registries, m)
	}
	for i := Member(10); i < 30; i++ { // many join, so that the keepers are others
		p.registries[i] = New(Config{})
	}
	p.setMembers()
	for i := Member(10); i < 30; i++ {
		p.registries[i].AddPastMembers(before, p.now+12*time.Second)
	}
	p.pass(20 * ms)
	if slices.ContainsFunc(selectReplicas("k", p.registries[10].members, 3), func(m Member) bool { return m < 10 }) {
		t.Fatal("another key is needed")
	}
	p.begin(10, 1, work("k"), Required)
	p.pass(40 * ms)
	p.want(10, "who asks again", Answer)
}

// Whoever has joined asks the keepers by each list that another may go by, for as long as one may, and as long as what it owned then is kept.
func TestKeepersByEarlierListsAreAsked(t *testing.T) {
	b := New(Config{})
	now, keep := time.Hour, Config{}.WithDefaults().Retention
	known := Membership{Self: 9, Version: 4, Members: []Member{7, 8, 9}, Until: now + time.Second, Retention: 2 * time.Second,
		Past: []PastMembers{{[]Member{1, 2, 3}, 500 * time.Millisecond}, {[]Member{4, 5, 6}, time.Second}}}
	b.SetMembership(now, known)
	asked := func(now time.Duration) (out []Member) {
		for _, s := range b.replicaSets(now, "k") {
			out = append(out, s.members...)
		}
		slices.Sort(out)
		return out
	}
	for _, x := range []struct {
		after time.Duration
		from  Member
	}{{0, 1}, {keep + 400*time.Millisecond, 1}, {keep + 600*time.Millisecond, 4}, {keep + 1100*time.Millisecond, 7}} {
		if got := asked(now + x.after); len(got) != int(10-x.from) || got[0] != x.from {
			t.Errorf("%v later: %v", x.after, got)
		}
	}
	now += keep + 2*time.Second
	known.Version, known.Members, known.Past = 5, []Member{9, 10, 11}, nil
	b.SetMembership(now, known)
	if got := asked(now + known.Retention + keep - 1); len(got) != 6 {
		t.Errorf("%v", got)
	}
	if got := asked(now + known.Retention + keep); len(got) != 3 {
		t.Errorf("%v", got)
	}
	if b.isMember(known.Until) || !b.isMember(known.Until-1) {
		t.Error("it is a member behind the end of its list, or not before")
	}
}
