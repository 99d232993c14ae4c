// Package tier encodes and decodes the frames that the processes of one tier exchange: proxies, planners and the
// operator's commands. A frame is
//
//	0..3  the length of what follows, big-endian; 1 MiB at most
//	4     the version, 1
//	then  CBOR (RFC 8949) in the core deterministic encoding, with integer map keys
//
// The length is checked before memory is allocated for it. A frame of another version, or one that can't be decoded,
// is an error.
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
	// MaxFrame is the maximum number of bytes that may follow the length.
	MaxFrame    = 1 << 20
	version     = 1
	lengthBytes = 4
)

// ErrFrame is returned for a frame that can't be decoded.
var ErrFrame = errors.New("tier: a frame that can't be read")

// Frame is one message. Exactly one of its fields is set.
type Frame struct {
	Rollout   *rollout.Message  `cbor:"1,keyasint,omitempty"` // messages between a proxy and a planner
	Raft      []byte            `cbor:"2,keyasint,omitempty"` // messages between planners: a raftpb.Message
	Request   *OperatorRequest  `cbor:"3,keyasint,omitempty"` // an operator's request
	Response  *OperatorResponse `cbor:"4,keyasint,omitempty"` // a planner's response to it
	Start     *StartRecord      `cbor:"5,keyasint,omitempty"` // the first frame that a planner sends to another on a link
	Rejection string            `cbor:"6,keyasint,omitempty"` // a planner's reason for rejecting the messages of another
	Takeover  *TakeoverMessages `cbor:"7,keyasint,omitempty"` // messages between proxies
	Health    []byte            `cbor:"8,keyasint,omitempty"` // a message of internal/wire/healthcheck, between a proxy and a planner
}

// TakeoverMessages holds messages about requests in progress from one proxy of a tier to another.
type TakeoverMessages struct {
	From     takeover.Member    `cbor:"1,keyasint"`
	To       takeover.Member    `cbor:"2,keyasint"`
	Messages []takeover.Message `cbor:"3,keyasint"`
}

// StartRecord describes what a planner's disk holds when a link to another planner opens.
type StartRecord struct {
	Planner   uint64 `cbor:"1,keyasint"`
	DiskID    uint64 `cbor:"2,keyasint"` // drawn at random when its log was created
	Term      uint64 `cbor:"3,keyasint"` // of the last vote or the last leader on the disk
	LastIndex uint64 `cbor:"4,keyasint"` // index of the last log entry

	ProcessID    uint64 `cbor:"5,keyasint,omitempty"` // drawn at random when the process started; 0 = sent by an earlier version
	InitialTerm  uint64 `cbor:"6,keyasint,omitempty"` // Term and LastIndex at the start of the process
	InitialIndex uint64 `cbor:"7,keyasint,omitempty"`
}

// OperatorRequest is a request of an operator to a planner.
type OperatorRequest struct {
	Action  string         `cbor:"1,keyasint"` // one of the Action constants
	Policy  []byte         `cbor:"2,keyasint,omitempty"`
	Comment string         `cbor:"3,keyasint,omitempty"` // the operator's comment on a proposed policy
	Nonce   uint64         `cbor:"4,keyasint,omitempty"` // identifies a proposal; with ActionReplace, the new planner's ID
	Number  rollout.Number `cbor:"5,keyasint,omitempty"` // a policy's number; with ActionReplace, the ID of the planner to replace
	Name    string         `cbor:"6,keyasint,omitempty"` // the member to expel; with ActionReplace, the new planner's address
	Hash    string         `cbor:"7,keyasint,omitempty"` // hash of Policy
}

// The actions of an operator's request. Any planner answers ActionStatus from its own state; only the leader carries out
// the others. Every response holds the planners' state, with the text of the policy Number and of no other.
const (
	ActionPropose = "propose"
	ActionStatus  = "status"
	ActionAbort   = "abort"
	ActionExpel   = "expel"
	ActionReplace = "replace" // replaces planner Number by planner Nonce at the address Name
)

// OperatorResponse is a planner's response to an operator's request.
type OperatorResponse struct {
	Error    string               `cbor:"1,keyasint,omitempty"`
	Planner  uint64               `cbor:"2,keyasint,omitempty"` // the planner that responds
	Leader   uint64               `cbor:"3,keyasint,omitempty"` // the leading planner; 0 = unknown
	State    *rollout.State       `cbor:"4,keyasint,omitempty"`
	Progress *rollout.Progress    `cbor:"5,keyasint,omitempty"`
	Members  []rollout.MemberInfo `cbor:"6,keyasint,omitempty"`
	Planners []uint64             `cbor:"7,keyasint,omitempty"` // IDs of the planners that vote now
}

var (
	encodeMode, _ = cbor.CoreDetEncOptions().EncMode()
	decodeMode, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
)

// Append appends an encoded frame to dst. It returns an error if the frame exceeds MaxFrame.
func Append(dst []byte, frame *Frame) ([]byte, error) {
	body, err := encodeMode.Marshal(frame)
	if err != nil {
		return dst, err
	}
	if len(body)+1 > MaxFrame {
		return dst, fmt.Errorf("tier: a frame of %d bytes, %d at most may be sent", len(body)+1, MaxFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+1))
	return append(append(dst, version), body...), nil
}

// Next decodes the first frame in buf and returns the number of bytes it takes; 0 means that the frame is incomplete.
// Errors wrap ErrFrame.
func Next(buf []byte) (frame Frame, n int, err error) {
	if len(buf) < lengthBytes {
		return frame, 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 2 || size > MaxFrame {
		return frame, 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	if len(buf) > lengthBytes && buf[lengthBytes] != version {
		return frame, 0, fmt.Errorf("%w: of version %d", ErrFrame, buf[lengthBytes])
	}
	if len(buf) < lengthBytes+int(size) {
		return frame, 0, nil
	}
	if err := decodeMode.Unmarshal(buf[lengthBytes+1:lengthBytes+int(size)], &frame); err != nil {
		return frame, 0, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return frame, lengthBytes + int(size), nil
}

// FrameSize returns the number of bytes of the frame that begins at the start of buf, or 0 if buf is too short to
// tell. A reader of a stream calls it before it buffers the frame. Errors wrap ErrFrame.
func FrameSize(buf []byte) (int, error) {
	if len(buf) < lengthBytes {
		return 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 2 || size > MaxFrame {
		return 0, fmt.Errorf("%w: of %d bytes", ErrFrame, size)
	}
	return lengthBytes + int(size), nil
}

// Read reads one frame from a stream. It checks the length before it allocates memory for the frame.
func Read(r *bufio.Reader) (frame Frame, err error) {
	prefix, err := r.Peek(lengthBytes)
	if err != nil {
		return frame, err
	}
	size, err := FrameSize(prefix)
	if err != nil {
		return frame, err
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return frame, err
	}
	frame, _, err = Next(buf)
	return frame, err
}

// EncodeState encodes the planners' state as snapshots and the log store it.
func EncodeState(state *rollout.State) ([]byte, error) { return encodeMode.Marshal(state) }

// DecodeState decodes a state that EncodeState encoded.
func DecodeState(encoded []byte) (*rollout.State, error) {
	state := &rollout.State{}
	return state, decodeMode.Unmarshal(encoded, state)
}

// EncodeCommand encodes a command as the log stores it.
func EncodeCommand(command *rollout.Command) ([]byte, error) { return encodeMode.Marshal(command) }

// DecodeCommand decodes a command that EncodeCommand encoded.
func DecodeCommand(encoded []byte) (command rollout.Command, err error) {
	return command, decodeMode.Unmarshal(encoded, &command)
}
