package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A proxy that is sent what has changed has the entries that one has which is sent all of them, whatever versions it has missed, and
// whichever planner it asks: one of them begins with a snapshot now and then, and keeps few changes.
func TestChangesLeadToTheSameMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Lease: 2 * time.Second}.WithDefaults()
		state := &State{}
		histories := []*MembershipHistory{NewMembershipHistory(config), NewMembershipHistory(config)}
		var known Membership
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Hour + time.Duration(step)*time.Millisecond
			if len(state.Members) > 0 && rapid.Bool().Draw(t, "leaves") {
				i := rapid.IntRange(0, len(state.Members)-1).Draw(t, "who")
				if err := state.applyLeave(Command{Kind: Leave, Member: state.Members[i].Member}); err != nil {
					t.Fatal(err)
				}
			} else if err := state.applyJoin(Command{Kind: Join, Name: fmt.Sprint("proxy-", step), Nonce: uint64(step + 1), Zone: "a"}); err != nil {
				t.Fatal(err)
			}
			histories[0].Applied(now, state)
			if rapid.IntRange(0, 3).Draw(t, "seen") > 0 { // otherwise the change comes with a later snapshot
				histories[1].Applied(now, state)
			}
			if rapid.IntRange(0, 3).Draw(t, "forgotten") == 0 {
				histories[1].changes = nil
			}
			which := rapid.IntRange(0, 1).Draw(t, "planner")
			if histories[which].version != state.MembersVersion || rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				continue
			}
			leader := Leader{state: state, history: histories[which]}
			message := leader.membersFor(renewal{member: 1, membersVersion: known.Version, takesChanges: known.Version > 0}, nil)
			after, ok := known.apply(&message)
			if !ok {
				t.Fatalf("changes since %d can't be applied to %d", message.BaseVersion, known.Version)
			}
			if known = after; known.Version != state.MembersVersion {
				t.Fatalf("version %d, and it is %d", known.Version, state.MembersVersion)
			}
			if diff := cmp.Diff(state.Members, known.Members); diff != "" && len(state.Members)+len(known.Members) > 0 {
				t.Fatal(diff)
			}
		}
	})
}

// Changes since another version than the one that is known are not applied: the next renewal brings the right ones.
func TestChangesOfAnotherVersionAreNotApplied(t *testing.T) {
	p := NewProxy(Config{Lease: 2 * time.Second}.WithDefaults(), "a", 1, yes)
	p.member = 7
	entry := func(member Member) MemberEntry { return MemberEntry{Member: member, Zone: "z"} }
	p.Receive(0, Message{Kind: Members, Member: 7, MembersVersion: 3, Members: []MemberEntry{entry(5), entry(7)}})
	p.Receive(0, Message{Kind: Members, Member: 7, MembersVersion: 6, BaseVersion: 4, RemovedMembers: []Member{5}})
	if m := p.Membership(); m.Version != 3 || len(m.Members) != 2 {
		t.Errorf("%+v", m)
	}
	p.Receive(0, Message{Kind: Members, Member: 7, MembersVersion: 6, BaseVersion: 3, RemovedMembers: []Member{5}, Members: []MemberEntry{entry(9)}})
	if m := p.Membership(); m.Version != 6 || len(m.Members) != 2 || m.Members[0].Member != 7 || m.Members[1].Member != 9 {
		t.Errorf("%+v", m)
	}
}

// Proxies of an earlier version, which don't say that they take changes, are sent all entries.
func TestAnEarlierVersionIsSentAllMembers(t *testing.T) {
	config := Config{Lease: 2 * time.Second}.WithDefaults()
	state, history := &State{}, NewMembershipHistory(config)
	for i := range 3 {
		if err := state.applyJoin(Command{Kind: Join, Name: fmt.Sprint("proxy-", i), Nonce: uint64(i + 1), Zone: "a"}); err != nil {
			t.Fatal(err)
		}
		history.Applied(time.Hour, state)
	}
	leader := Leader{state: state, history: history}
	if m := leader.membersFor(renewal{membersVersion: 2}, nil); m.BaseVersion != 0 || len(m.Members) != 3 {
		t.Errorf("%+v", m)
	}
	if m := leader.membersFor(renewal{membersVersion: 2, takesChanges: true}, nil); m.BaseVersion != 2 || len(m.Members) != 1 {
		t.Errorf("%+v", m)
	}
}
