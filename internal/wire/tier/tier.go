// Package tier is what the processes of one tier say to one another: proxies, planners and the operator's commands. A frame is
//
//	0..3  the length of what follows, big-endian; 1 MiB at most
//	4     the version, 1
//	then  CBOR (RFC 8949), core deterministic, with numbers for names
//
// A length is looked at before anything is kept for it. A frame of another version, or that can't be read, is an error.
package tier

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"havenproxy/internal/rollout"
	"havenproxy/internal/takeover"
)

const (
	// MaxFrame bounds what follows the length, in bytes.
	MaxFrame = 1 << 20
	version  = 1
	head     = 4
)

// ErrFrame tells of a frame that can't be read.
var ErrFrame = errors.New("tier: a frame that can't be read")

// Frame is one message; one of its parts is set.
type Frame struct {
	Tier    *rollout.Message `cbor:"1,keyasint,omitempty"` // between a proxy and a planner
	Raft    []byte           `cbor:"2,keyasint,omitempty"` // between planners: a raftpb.Message
	Ask     *Ask             `cbor:"3,keyasint,omitempty"` // of the operator
	Answer  *Answer          `cbor:"4,keyasint,omitempty"`
	Start   *Start           `cbor:"5,keyasint,omitempty"` // of a planner to another, before all else on a link
	Strange string           `cbor:"6,keyasint,omitempty"` // a planner to another: why its messages are not taken
	Work    *Work            `cbor:"7,keyasint,omitempty"` // between proxies
	Health  []byte           `cbor:"8,keyasint,omitempty"` // between a proxy and a planner: a message of internal/wire/healthcheck
}

// Work is what one proxy of a tier says to another of work in hand, several messages at a time.
type Work struct {
	From     takeover.Member    `cbor:"1,keyasint"`
	To       takeover.Member    `cbor:"2,keyasint"`
	Messages []takeover.Message `cbor:"3,keyasint"`
}

// Start says what a planner's disk holds as a link of it to another begins.
type Start struct {
	Planner uint64 `cbor:"1,keyasint"`
	Disk    uint64 `cbor:"2,keyasint"` // drawn when its log was begun
	Term    uint64 `cbor:"3,keyasint"` // of its last vote or leader
	Last    uint64 `cbor:"4,keyasint"` // entry

	Process   uint64 `cbor:"5,keyasint,omitempty"` // drawn when its process began; 0 = an earlier version
	BeganTerm uint64 `cbor:"6,keyasint,omitempty"` // the disk's term and last entry then
	BeganLast uint64 `cbor:"7,keyasint,omitempty"`
}

// Ask is a command of the operator.
type Ask struct {
	Do     string         `cbor:"1,keyasint"` // one of the words below
	Policy []byte         `cbor:"2,keyasint,omitempty"`
	Why    string         `cbor:"3,keyasint,omitempty"`
	Nonce  uint64         `cbor:"4,keyasint,omitempty"`
	Number rollout.Number `cbor:"5,keyasint,omitempty"`
	Name   string         `cbor:"6,keyasint,omitempty"`
	Hash   string         `cbor:"7,keyasint,omitempty"` // of Policy
}

// The operator's words. The answer to each holds the state, with the text of policy Number and of no other. Who proposes, aborts and expels is the planner that leads; any one answers what it knows.
const (
	DoPropose = "propose"
	DoStatus  = "status"
	DoAbort   = "abort"
	DoExpel   = "expel"
	DoReplace = "replace" // planner Number by planner Nonce at the address Name
)

// Answer is a planner's.
type Answer struct {
	Error    string               `cbor:"1,keyasint,omitempty"`
	Planner  uint64               `cbor:"2,keyasint,omitempty"` // who answers
	Leader   uint64               `cbor:"3,keyasint,omitempty"` // who leads; 0 = nobody known
	State    *rollout.State       `cbor:"4,keyasint,omitempty"`
	Progress *rollout.Progress    `cbor:"5,keyasint,omitempty"`
	Members  []rollout.MemberInfo `cbor:"6,keyasint,omitempty"`
	Planners []uint64             `cbor:"7,keyasint,omitempty"` // that vote now, by number
}

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
)

// Append writes a frame.
func Append(dst []byte, f *Frame) ([]byte, error) {
	body, err := encoder.Marshal(f)
	if err != nil {
		return dst, err
	}
	if len(body)+1 > MaxFrame {
		return dst, fmt.Errorf("tier: a frame of %d bytes, %d at most may be sent", len(body)+1, MaxFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+1))
	return append(append(dst, version), body...), nil
}

// Next reads the first frame of buf and tells its length; 0 = it isn't there as a whole yet.
func Next(buf []byte) (f Frame, n int, err error) {
	if len(buf) < head {
		return f, 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 2 || size > MaxFrame {
		return f, 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	if len(buf) > head && buf[head] != version {
		return f, 0, fmt.Errorf("%w: of version %d", ErrFrame, buf[head])
	}
	if len(buf) < head+int(size) {
		return f, 0, nil
	}
	if err := decoder.Unmarshal(buf[head+1:head+int(size)], &f); err != nil {
		return f, 0, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return f, head + int(size), nil
}

// Whole tells how many bytes a frame takes whose head begins buf; 0 = that isn't known yet. Who reads a stream asks before it keeps more.
func Whole(buf []byte) (int, error) {
	if len(buf) < head {
		return 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 2 || size > MaxFrame {
		return 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	return head + int(size), nil
}

// Read reads one frame from a stream; its length is bounded before anything is kept for it.
func Read(r *bufio.Reader) (f Frame, err error) {
	first, err := r.Peek(head)
	if err != nil {
		return f, err
	}
	n, err := Whole(first)
	if err != nil {
		return f, err
	}
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return f, err
	}
	f, _, err = Next(buf)
	return f, err
}

// EncodeState and DecodeState give the planners' state the form in which snapshots and the log hold it.
func EncodeState(s *rollout.State) ([]byte, error) { return encoder.Marshal(s) }

// DecodeState reads what EncodeState wrote.
func DecodeState(text []byte) (*rollout.State, error) {
	s := &rollout.State{}
	return s, decoder.Unmarshal(text, s)
}

// EncodeCommand gives a command the form in which the log holds it.
func EncodeCommand(c *rollout.Command) ([]byte, error) { return encoder.Marshal(c) }

// DecodeCommand reads what EncodeCommand wrote.
func DecodeCommand(text []byte) (c rollout.Command, err error) {
	return c, decoder.Unmarshal(text, &c)
}
