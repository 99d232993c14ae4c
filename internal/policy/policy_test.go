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

func samplePolicy() *Policy {
	return &Policy{Classes: []logic.Class{{Name: "read", Aim: 300 * time.Millisecond, Limit: time.Second, Worth: 1},
		{Name: "write", Read: logic.Write, Aim: 500 * time.Millisecond, Limit: 2 * time.Second, Worth: 3}}, MaxAttempts: 4, MayComeBack: true,
		MaxComeBack: 500 * time.Millisecond, Levels: &levels.Config{Ladder: []levels.Level{{Name: "normal"}, {Name: "lean"}}, Dwell: 5 * time.Second,
			Pin: map[logic.GroupID]string{3: "lean", 1: "normal", 2: "lean"}}}
}

func TestEncodingIsCanonical(t *testing.T) {
	text, err := samplePolicy().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for range 50 { // the iteration order of maps is random
		if again, _ := samplePolicy().Encode(); !bytes.Equal(again, text) {
			t.Fatal("equal policies have different encodings")
		}
	}
	p, err := Decode(text)
	if err != nil || !cmp.Equal(p, samplePolicy()) {
		t.Fatalf("%v\n%s", err, cmp.Diff(p, samplePolicy()))
	}
	if _, err := Decode(append([]byte{0xa9, 0x63, 'N', 'e', 'w', 1}, text[1:]...)); err == nil {
		t.Error("an unknown field is ignored")
	}
	if _, err := Decode(text[:len(text)-1]); err == nil {
		t.Error("a truncated policy is decoded")
	}
}

func TestCheck(t *testing.T) {
	local := LocalState{Classes: []string{"read", "write", "old"}, InUse: func(class string) bool { return class == "old" }, Groups: func() map[int]bool { return map[int]bool{1: true, 2: true, 3: true} }}
	for want, change := range map[string]func(*Policy){
		"old is in use":      func(*Policy) {},
		"":                   func(p *Policy) { p.Classes = append(p.Classes, logic.Class{Name: "old", Aim: 1, Limit: 1}) },
		"which has no data":  func(p *Policy) { p.Levels.Cap = map[logic.GroupID]string{7: "lean"}; p.Classes[0].Name = "old" },
		"attempts a request": func(p *Policy) { p.MaxAttempts = 0 },
		"there twice":        func(p *Policy) { p.Classes[1].Name = "read" },
		"without classes":    func(p *Policy) { p.Classes = nil },
		"an aim of":          func(p *Policy) { p.Classes[1].Aim = time.Hour },
	} {
		p := samplePolicy()
		change(p)
		if err := p.Check(local); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func TestDiff(t *testing.T) {
	to := samplePolicy()
	to.Classes[0].Limit = 2 * time.Second
	to.Levels.Pin = nil
	to.Tuning.FirstLimit = 12
	got := strings.Join(Diff(samplePolicy(), to), "\n")
	want := "- Classes[read].Limit = 1s\n+ Classes[read].Limit = 2s\n- Levels.Pin[1] = normal\n- Levels.Pin[2] = lean\n- Levels.Pin[3] = lean\n+ Tuning.FirstLimit = 12"
	if got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
}
