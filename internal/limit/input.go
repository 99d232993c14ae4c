package limit

import "time"

const (
	// SmallMessage is the length in bytes up to which a message is read, and one of a client is taken on, although the budget
	// is used up, so that clients with large messages do not stop the others.
	SmallMessage = 4 << 10
	// RequestOverhead is the number of bytes that a request under way takes beside its text.
	RequestOverhead = 1 << 10
	// BufferGrace is how long a client may hold a buffer for an incomplete message while others wait for memory.
	BufferGrace = 200 * time.Millisecond
)

// InputBudget bounds the memory for clients' input: buffers of messages that are incomplete or wait, and requests under
// way. Each of the two may take Total, beside the first SmallMessage bytes of each client. At the limit further messages
// wait in the kernel, whose receive windows then stop their senders.
type InputBudget struct {
	Total int // bytes

	buffered  int // bytes of buffers
	requested int // bytes of requests under way
	requests  int // under way
}

// HoldBuffers adds to the bytes of buffers; a negative number releases some.
func (b *InputBudget) HoldBuffers(bytes int) { b.buffered += bytes }

// BeginRequest includes a request whose command has that many bytes.
func (b *InputBudget) BeginRequest(size int) {
	b.requests++
	b.requested += size + RequestOverhead
}

// EndRequest takes out a request that BeginRequest has included.
func (b *InputBudget) EndRequest(size int) {
	b.requests--
	b.requested -= size + RequestOverhead
}

// Held returns the number of bytes that are held.
func (b *InputBudget) Held() int { return b.buffered + b.requested }

// Buffered returns the bytes of buffers.
func (b *InputBudget) Buffered() int { return b.buffered }

// Requested returns the bytes of requests under way.
func (b *InputBudget) Requested() int { return b.requested }

// AdmitsBuffer reports whether a buffer may take that many bytes more.
func (b *InputBudget) AdmitsBuffer(bytes int) bool { return b.buffered+bytes <= b.Total }

// Admits reports whether a request of that many bytes may be taken on, for a client with that many requests under way.
func (b *InputBudget) Admits(size, pending int) bool {
	return b.requests == 0 || b.requested+size+RequestOverhead <= b.Total || pending == 0 && size <= SmallMessage
}

const (
	// What one client may use of the event loop before others get their turn. A client that sends as many queries as may
	// be pending needs one turn for them.
	turnMessages = 16
	turnBytes    = 64 << 10
	turnTime     = 500 * time.Microsecond
	// RoundTime is how long the event loop handles events of sockets, or deadlines, before it looks at anything else again.
	RoundTime = 2 * time.Millisecond
	// InputTime is how long it handles clients' input before it asks the kernel who else has sent something.
	InputTime = 500 * time.Microsecond
	// AcceptTime is how long it accepts connections before it looks at anything else.
	AcceptTime = 250 * time.Microsecond
)

// Turn is one client's part of a round: what it may still use of the event loop.
type Turn struct {
	messages, bytes int
	until           time.Duration
}

// NewTurn returns a turn that begins now.
func NewTurn(now time.Duration) Turn {
	return Turn{messages: turnMessages, bytes: turnBytes, until: now + turnTime}
}

// Handled notes a message that has been handled, and returns whether the turn goes on.
func (t *Turn) Handled(now time.Duration) bool {
	t.messages--
	return t.messages > 0 && now < t.until
}

// Read notes bytes that have been read, and returns whether the turn goes on.
func (t *Turn) Read(bytes int, now time.Duration) bool {
	t.bytes -= bytes
	return t.bytes > 0 && now < t.until
}
