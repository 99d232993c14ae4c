package tier

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"havenproxy/internal/rollout"
)

func TestFramesInPieces(t *testing.T) {
	sent := []Frame{{Rollout: &rollout.Message{Kind: rollout.Offer, Member: 7, Number: 3, Policy: make([]byte, 5000)}}, {Raft: []byte{1, 2}},
		{Request: &OperatorRequest{Action: ActionPropose, Comment: "why", Nonce: 1 << 60}}, {Response: &OperatorResponse{State: &rollout.State{InForce: 2, Changes: []rollout.Change{{Number: 2, Outcome: rollout.InForce}}}}}}
	var stream []byte
	for i := range sent {
		var err error
		if stream, err = Append(stream, &sent[i]); err != nil {
			t.Fatal(err)
		}
	}
	for pieceSize := 1; pieceSize < 100; pieceSize += 7 {
		var buf []byte
		var got []Frame
		for rest := stream; len(rest) > 0; {
			n := min(pieceSize, len(rest))
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

func TestInvalidFramesAreRejected(t *testing.T) {
	for name, input := range map[string][]byte{"too long": {0x7f, 0, 0, 0}, "empty": {0, 0, 0, 1}, "another version": {0, 0, 0, 9, 2}, "no CBOR": {0, 0, 0, 3, 1, 0xff, 0xff}} {
		if _, n, err := Next(input); err == nil || n != 0 {
			t.Errorf("%s: %d, %v", name, n, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		input := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if _, n, err := Next(input); n > len(input) || n > 0 && err != nil {
			t.Fatalf("%d of %d, %v", n, len(input), err)
		}
	})
	if _, err := Append(nil, &Frame{Raft: make([]byte, MaxFrame)}); err == nil {
		t.Error("a frame over the limit was encoded")
	}
}
