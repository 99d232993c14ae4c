// Package takeover decides how a keyed write survives the loss of the proxy that took it: who keeps its record, who may send it, who takes it
// over, and what is told to a client that asks again with its key. It is pure: events and a clock are handed in, messages and orders come out.
//
// A record is a register kept by three proxies of the tier (Copies + Copies - 1), chosen by rendezvous hashing of its key over the tier's
// members (Thaler and Ravishankar, 1998), so that whoever holds the same list of members asks the same keepers. A proxy owns a record while
// most of its keepers have promised to let no other have it; a promise is a lease (Gray and Cheriton, 1989), counted by the owner from when
// it asked and by the keeper from when it answered, on clocks of their own of which only the rates have to agree, to within Margin. As any two
// majorities share a keeper, there is one owner at most (as in Lamport's Paxos, with the lease in the place of a competing ballot). Owners of
// one record are told apart by Epoch, which only grows.
//
// Who keeps a record whose promise has run out claims it: behind it its owner sends nothing. What the owner may have sent before can't be
// seen: it may be sent again only while its group is sure to remember the key (handover.ResendUntil, the same judgement as in one proxy), or
// if it provably was never sent, since too few keepers could have let it go. Else what became of it is unknown, and that is said.
//
// What the check before a send can't see: a process that stands still BETWEEN its check and the write. It wakes and writes, though the record
// has been claimed. The group's memory of keys drops that write if it comes within the window of the first; Judge tells the owner to look
// once more behind the write, so that such a send is counted. Behind the window it may run twice: that is what remains.
package takeover

import "time"

// Member is one start of one proxy, as the tier's planners number them.
type Member uint64

// Epoch tells the owners of one record apart; a later owner's is greater.
type Epoch uint64

// Config is a tier's, the same at all its proxies.
type Config struct {
	Quorum         int           // how many keepers have to hold a record before its write may be sent; 2
	Lease          time.Duration // how long a keeper's promise lasts for the owner; 600 ms
	ClockMargin    time.Duration // by which the keeper waits longer, for clocks of unlike rates; Lease/4
	RetryInterval  time.Duration // what has no answer is asked anew; Lease/8
	RenewInterval  time.Duration // an owner asks for its promises anew; Lease/3
	Retention      time.Duration // how long an ended record is remembered; 10 s
	QuorumTimeout  time.Duration // how long the keepers may take to agree to a record before its class's say counts; 100 ms
	MaxRecords     int           // records kept for others; beyond, new ones are not taken; 20,000
	MaxAnswerBytes int           // bytes of an answer that are kept; 1,024

	DisabledGuards Guards // guards that are left out, to see them missed; none outside the lab
}

// Guards are the checks that the promises hang on, by a bit for each.
type Guards uint16

// The guards.
const (
	NoLeaseCheck      Guards = 1 << iota // an owner looks at its promises before it sends
	NoEpochCheck                         // a keeper hears no owner of an earlier epoch
	NoPromiseCheck                       // a keeper lets nobody else have a record before its promise has run out
	NoWindowCheck                        // what may have been sent goes out again only while the group remembers its key
	NoRetention                          // an ended record is remembered
	NoDeduplication                      // who asks again for a key that is under way starts no run of its own
	NoMajority                           // a record is complete when most keepers hold it, not one
	NoAgeCheck                           // a keeper begins no record by a message that may be older than what it has forgotten
	NoFirstOwnerCheck                    // only who had a record of its first owner knows when that could send
)

// GuardNames names them.
var GuardNames = []string{"lease check", "epoch check", "promise", "window", "memory", "join by key", "majority", "age", "first hand"}

// Has tells whether a guard is left out.
func (g Guards) Has(x Guards) bool { return g&x != 0 }

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	or := func(d *time.Duration, otherwise time.Duration) {
		if *d == 0 {
			*d = otherwise
		}
	}
	if c.Quorum == 0 {
		c.Quorum = 2
	}
	or(&c.Lease, 600*time.Millisecond)
	or(&c.ClockMargin, c.Lease/4)
	or(&c.RetryInterval, c.Lease/8)
	or(&c.RenewInterval, c.Lease/3)
	or(&c.Retention, 10*time.Second)
	or(&c.QuorumTimeout, 100*time.Millisecond)
	if c.MaxRecords == 0 {
		c.MaxRecords = 20_000
	}
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = 1024
	}
	return c
}

// Survive is what a class wants of its writes.
type Durability uint8

// The ways.
const (
	Off       Durability = iota // no record is made
	Preferred                   // where keepers can't be had, the write goes without, and is counted
	Required                    // there it is refused, with a hint
)

// Outcome is how a piece of work ended.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota
	Served           // it was applied, and this is the first answer
	NeverRan         // it never ran, nor will it
	Failed           // it was answered with an error: it did not run, or left nothing
	Unknown          // it may have run
)

// String returns the outcome in lower-case words.
func (o Outcome) String() string {
	return [...]string{"open", "served", "never ran", "failed", "unknown"}[o]
}

// Work is what is needed to carry a piece of work to its end.
type Work struct {
	Key       string        `cbor:"1,keyasint"` // the client's, with its group and class: see Name
	Digest    uint64        `cbor:"2,keyasint"` // of the statement: the same key with another one is an error
	Group     int           `cbor:"3,keyasint"`
	Class     string        `cbor:"4,keyasint"`
	Session   uint64        `cbor:"5,keyasint,omitempty"`
	Statement []byte        `cbor:"6,keyasint,omitempty"`
	TimeLeft  time.Duration `cbor:"7,keyasint,omitempty"` // until its client gives up, from the moment of the message
	IsRetry   bool          `cbor:"8,keyasint,omitempty"` // its client says that it asks again: an earlier ask may have run
}

// Result is what became of it.
type Result struct {
	Outcome  Outcome       `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint,omitempty"` // the answer; empty and Long where it was too long to be kept
	TooLong  bool          `cbor:"3,keyasint,omitempty"`
	Position time.Duration `cbor:"4,keyasint,omitempty"` // the commit, on the clock that all read: so that the session sees its own write
}

// Kind says what a message is.
type Kind uint8

// The messages. All may come twice, late or never.
const (
	Store        Kind = iota + 1 // a proxy asks a keeper to hold a record for it, as its first owner
	TakeOver                     // a proxy asks to be its owner from Epoch on
	Renew                        // the owner asks for the promise anew
	Stored                       // a keeper holds the record for the one who asked, and has promised
	NotOwner                     // it doesn't: somebody else owns it, or it has ended; Stage tells
	NotFound                     // it holds no such record
	Full                         // it takes no more
	Complete                     // the owner tells how it ended
	Query                        // a proxy asks how it goes, on behalf of a client that asked again
	MarkSent                     // the owner has what it needs to send, and may have
	Discard                      // the owner never had it, and never will: the record is void
	Transfer                     // a keeper hands a record on to one that has become a keeper of it
	ClockUnknown                 // a keeper can't tell how old an ask is: ask again, with its clock as it stands here
)

// Message is one between two proxies.
type Message struct {
	Kind         Kind          `cbor:"1,keyasint"`
	Work         *Work         `cbor:"2,keyasint,omitempty"` // with Take, and with what answers Claim
	Key          string        `cbor:"3,keyasint,omitempty"`
	Epoch        Epoch         `cbor:"4,keyasint,omitempty"`
	Owner        Member        `cbor:"5,keyasint,omitempty"`
	Seq          uint64        `cbor:"6,keyasint,omitempty"` // of the ask that is answered
	Age          time.Duration `cbor:"7,keyasint,omitempty"` // since the keeper first held it
	Expired      bool          `cbor:"8,keyasint,omitempty"` // with Other: its promise has run out
	Result       *Result       `cbor:"9,keyasint,omitempty"`
	OwnerCount   int           `cbor:"10,keyasint,omitempty"` // that this keeper has held it for
	Digest       uint64        `cbor:"11,keyasint,omitempty"`
	Unreplicated bool          `cbor:"12,keyasint,omitempty"` // with Take: its class prefers to go without a record to a refusal
	Sent         bool          `cbor:"13,keyasint,omitempty"` // with Held: its owner has said Sure
	SinceEnd     time.Duration `cbor:"14,keyasint,omitempty"` // with Copy: since it ended
	SecondHand   bool          `cbor:"15,keyasint,omitempty"` // with Held: the keeper has it of another keeper or a claimant, not of its first owner
	// Clock is the sender's at the message, Echo the receiver's as the sender last heard it: the message was written no earlier. So each knows
	// how old a message may be, with no clock that all read.
	Clock time.Duration `cbor:"16,keyasint,omitempty"`
	Echo  time.Duration `cbor:"17,keyasint,omitempty"`
}

// Say is a message for another proxy of the tier.
type Envelope struct {
	To Member
	Message
}

// Do is what the proxy is to do with a request.
type ActionKind uint8

// The orders.
const (
	Send             ActionKind = iota + 1 // send it: the record is complete. For work that was taken over, Run tells more
	SendUnreplicated                       // send it with no record: keepers can't be had, and the class prefers that to a refusal
	Reject                                 // it never ran here, and its key is not under way anywhere: come again
	Answer                                 // Result is what its client gets
	Conflict                               // the same key with another statement: an error, nothing runs
	FailUnknown                            // what became of it can't be known: failed, at once
	Stop                                   // it isn't this proxy's any more: nothing more is to be sent for it
)

// Order is one for the proxy's own requests. ID is the one given to Begin; 0 = work that was taken over, which Key names.
type Action struct {
	Kind      ActionKind
	ID        uint64
	Key       string
	Result    *Result
	TakenOver *TakenOverWork
}

// Run is work that was taken over.
type TakenOverWork struct {
	Work
	// May says that an earlier owner may have sent it First ago or later: it may only go out as a repeat. false = it was never sent.
	MayHaveBeenSent bool
	SinceFirstSend  time.Duration
}
