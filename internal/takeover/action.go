package takeover

import "time"

// Durability is what a class of requests demands for its writes.
type Durability uint8

// The durabilities.
const (
	Off       Durability = iota // no record is made
	Preferred                   // without a quorum the write is sent unreplicated, and counted
	Required                    // without a quorum the write is rejected, with a hint to retry
)

// ActionKind is the type of an Action.
type ActionKind uint8

// The actions.
const (
	Send             ActionKind = iota + 1 // send the write: a quorum stores its record
	SendUnreplicated                       // send the write without a record
	Reject                                 // the write was not sent, and its key is in progress nowhere: the client may retry
	Answer                                 // answer the client with Result
	Conflict                               // the key was used with another statement: answer with an error
	FailUnknown                            // the outcome can't be known: answer with a failure
	Stop                                   // this proxy does not own the write any more: send nothing further for it
)

// Action is what the proxy is to do with a request.
type Action struct {
	Kind      ActionKind
	ID        uint64 // as given to Begin; 0 for a write that was taken over
	Key       string
	Result    *Result
	TakenOver *TakenOverWork // with Send, for a write that was taken over
}

// TakenOverWork is a write that was taken over from another proxy.
type TakenOverWork struct {
	Work
	// MayHaveBeenSent tells that an earlier owner may have sent the write, SinceFirstSend ago at the earliest. It may then be sent only as a
	// repeat within the group's deduplication window.
	MayHaveBeenSent bool
	SinceFirstSend  time.Duration
}
