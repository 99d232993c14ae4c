package takeover

import "time"

// Member identifies one start of one proxy, by the number that the planners gave it.
type Member uint64

// Epoch numbers the owners of one record; a later owner's is greater.
type Epoch uint64

// firstEpoch is that of the proxy that received the write from its client.
const firstEpoch Epoch = 1

// Outcome is how a write ended.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota
	Served           // it was applied
	NeverRan         // it was not applied, and won't be
	Failed           // it was answered with an error and had no effect
	Unknown          // it may have been applied
)

// String returns the outcome in lower-case words.
func (o Outcome) String() string {
	return [...]string{"open", "served", "never ran", "failed", "unknown"}[o]
}

// Work is what is needed to carry out a write.
type Work struct {
	Key       string        `cbor:"1,keyasint"` // the client's idempotency key, qualified with group and class
	Digest    uint64        `cbor:"2,keyasint"` // of the statement: the same key with another statement is a conflict
	Group     int           `cbor:"3,keyasint"`
	Class     string        `cbor:"4,keyasint"`
	Session   uint64        `cbor:"5,keyasint,omitempty"`
	Statement []byte        `cbor:"6,keyasint,omitempty"`
	TimeLeft  time.Duration `cbor:"7,keyasint,omitempty"` // until the client's deadline, from when the message was sent
	IsRetry   bool          `cbor:"8,keyasint,omitempty"` // the client says so: an earlier attempt may have been applied
}

// Result is the outcome of a write with its answer.
type Result struct {
	Outcome  Outcome       `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint,omitempty"` // the answer; nil if TooLong
	TooLong  bool          `cbor:"3,keyasint,omitempty"` // the answer had more than MaxAnswerBytes
	Position time.Duration `cbor:"4,keyasint,omitempty"` // of the commit, on the replication clock, for read-your-writes
}

// Kind is the type of a Message.
type Kind uint8

// The messages. Each may be duplicated, delayed or lost.
const (
	Store        Kind = iota + 1 // request to store a record for its first owner
	TakeOver                     // request to make the sender the owner from Epoch on
	Renew                        // request of the owner to renew its lease
	Stored                       // answer: the record is stored, and the lease granted
	NotOwner                     // answer: another proxy owns the record, or the write has ended
	NotFound                     // answer: there is no such record
	Full                         // answer: no further records are stored
	Complete                     // the owner tells how the write ended
	Query                        // request for the state of a record, on behalf of a client that retried
	MarkSent                     // the owner has its quorum and may have sent the write
	Discard                      // the owner never had its quorum and never will: the record is void
	Transfer                     // a replica hands a record on to a proxy that has become a replica
	ClockUnknown                 // answer: the age of the request can't be told; repeat it, with Echo as of this answer
)

// Message is a message between two proxies. Which fields are set depends on Kind.
type Message struct {
	Kind         Kind          `cbor:"1,keyasint"`
	Work         *Work         `cbor:"2,keyasint,omitempty"` // with Store, TakeOver, Transfer and Stored
	Key          string        `cbor:"3,keyasint,omitempty"`
	Epoch        Epoch         `cbor:"4,keyasint,omitempty"`
	Owner        Member        `cbor:"5,keyasint,omitempty"`
	Seq          uint64        `cbor:"6,keyasint,omitempty"`  // of a request, and of the request that is answered
	Age          time.Duration `cbor:"7,keyasint,omitempty"`  // since the replica first stored the record
	Expired      bool          `cbor:"8,keyasint,omitempty"`  // with NotOwner: the owner's lease has expired
	Result       *Result       `cbor:"9,keyasint,omitempty"`  // not nil = the write has ended
	OwnerCount   int           `cbor:"10,keyasint,omitempty"` // owners that the replica has stored the record for
	Digest       uint64        `cbor:"11,keyasint,omitempty"`
	Unreplicated bool          `cbor:"12,keyasint,omitempty"` // the first owner may send the write without its quorum
	Sent         bool          `cbor:"13,keyasint,omitempty"` // MarkSent was received
	SinceEnd     time.Duration `cbor:"14,keyasint,omitempty"` // with Transfer: since the write ended
	SecondHand   bool          `cbor:"15,keyasint,omitempty"` // with Stored: the record was not received from its first owner
	// Clock is the sender's time when it sent the message. Echo is the receiver's latest Clock that the sender has received: the message
	// was sent after that. So a receiver can bound the age of a message without a common clock.
	Clock time.Duration `cbor:"16,keyasint,omitempty"`
	Echo  time.Duration `cbor:"17,keyasint,omitempty"`
}

// Envelope is a message with the member that it is to be sent to.
type Envelope struct {
	To Member
	Message
}
