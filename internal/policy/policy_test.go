package policy

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"havenproxy/internal/levels"
	"havenproxy/logic"
)

func sample() *Policy {
	return &Policy{Classes: []logic.Class{{Name: "read", Aim: 300 * time.Millisecond, Limit: time.Second, Worth: 1},
		{Name: "write", Read: logic.Write, Aim: 500 * time.Millisecond, Limit: 2 * time.Second, Worth: 3}}, MaxAttempts: 4, MayComeBack: true,
		MaxComeBack: 500 * time.Millisecond, Levels: &levels.Config{Ladder: []levels.Level{{Name: "normal"}, {Name: "lean"}}, Dwell: 5 * time.Second,
			Pin: map[logic.GroupID]string{3: "lean", 1: "normal", 2: "lean"}}}
}

func TestAPolicyHasOneForm(t *testing.T) {
	text, err := sample().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for range 50 { // maps have no order of their own
		if again, _ := sample().Encode(); !bytes.Equal(again, text) {
			t.Fatal("equal policies have unlike forms")
		}
	}
	p, err := Decode(text)
	if err != nil || !cmp.Equal(p, sample()) {
		t.Fatalf("%v\n%s", err, cmp.Diff(p, sample()))
	}
	if _, err := Decode(append([]byte{0xa9, 0x63, 'N', 'e', 'w', 1}, text[1:]...)); err == nil {
		t.Error("a field of a later version is passed over")
	}
	if _, err := Decode(text[:len(text)-1]); err == nil {
		t.Error("half a policy is read")
	}
}

func TestWhatAProxyCanServeUnder(t *testing.T) {
	here := LocalState{Classes: []string{"read", "write", "old"}, InUse: func(c string) bool { return c == "old" }, Groups: func() map[int]bool { return map[int]bool{1: true, 2: true, 3: true} }}
	for want, change := range map[string]func(*Policy){
		"old is in use":      func(*Policy) {},
		"":                   func(p *Policy) { p.Classes = append(p.Classes, logic.Class{Name: "old", Aim: 1, Limit: 1}) },
		"which has no data":  func(p *Policy) { p.Levels.Cap = map[logic.GroupID]string{7: "lean"}; p.Classes[0].Name = "old" },
		"attempts a request": func(p *Policy) { p.MaxAttempts = 0 },
		"there twice":        func(p *Policy) { p.Classes[1].Name = "read" },
		"without classes":    func(p *Policy) { p.Classes = nil },
		"an aim of":          func(p *Policy) { p.Classes[1].Aim = time.Hour },
	} {
		p := sample()
		change(p)
		if err := p.Check(here); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func TestADiffTellsWhatChanges(t *testing.T) {
	to := sample()
	to.Classes[0].Limit = 2 * time.Second
	to.Levels.Pin = nil
	to.Tuning.FirstLimit = 12
	got := strings.Join(Diff(sample(), to), "\n")
	want := "- Classes[read].Limit = 1s\n+ Classes[read].Limit = 2s\n- Levels.Pin[1] = normal\n- Levels.Pin[2] = lean\n- Levels.Pin[3] = lean\n+ Tuning.FirstLimit = 12"
	if got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
}
