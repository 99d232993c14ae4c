package tier

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"havenproxy/internal/rollout"
)

func TestFramesComeOverInAnyCuts(t *testing.T) {
	sent := []Frame{{Tier: &rollout.Message{Kind: rollout.Offer, Member: 7, Number: 3, Policy: make([]byte, 5000)}}, {Raft: []byte{1, 2}},
		{Ask: &Ask{Do: DoPropose, Why: "why", Nonce: 1 << 60}}, {Answer: &Answer{State: &rollout.State{InForce: 2, Changes: []rollout.Change{{Number: 2, Outcome: rollout.InForce}}}}}}
	var wire []byte
	for i := range sent {
		var err error
		if wire, err = Append(wire, &sent[i]); err != nil {
			t.Fatal(err)
		}
	}
	for cut := 1; cut < 100; cut += 7 {
		var buf []byte
		var got []Frame
		for rest := wire; len(rest) > 0; {
			n := min(cut, len(rest))
			buf, rest = append(buf, rest[:n]...), rest[n:]
			for {
				f, n, err := Next(buf)
				if err != nil {
					t.Fatal(err)
				}
				if n == 0 {
					break
				}
				buf, got = buf[n:], append(got, f)
			}
		}
		if !cmp.Equal(got, sent) {
			t.Fatal(cmp.Diff(got, sent))
		}
	}
}

func TestOddFramesAreRefusedBeforeAnythingIsKept(t *testing.T) {
	for what, b := range map[string][]byte{"too long": {0x7f, 0, 0, 0}, "empty": {0, 0, 0, 1}, "another version": {0, 0, 0, 9, 2}, "no CBOR": {0, 0, 0, 3, 1, 0xff, 0xff}} {
		if _, n, err := Next(b); err == nil || n != 0 {
			t.Errorf("%s: %d, %v", what, n, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if _, n, err := Next(b); n > len(b) || n > 0 && err != nil {
			t.Fatalf("%d of %d, %v", n, len(b), err)
		}
	})
	if _, err := Append(nil, &Frame{Raft: make([]byte, MaxFrame)}); err == nil {
		t.Error("a frame that nobody would read is sent")
	}
}
