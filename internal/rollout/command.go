package rollout

import "time"

// CommandKind is the type of a Command.
type CommandKind uint8

// The kinds of commands, each with the fields that it uses.
const (
	Join    CommandKind = iota + 1 // Name, Nonce, Address
	Leave                          // Member, and the leader's term in Round
	Propose                        // Policy, Comment, Hash; Nonce makes a repeated proposal harmless
	Abort                          // Number, Reason, and in Round the latest round that was started
	Commit                         // Number, Round, and MembersVersion as it was when all members held
	Release                        // Round: it and all earlier ones have ended
)

// Command is an entry of the planners' replicated log.
type Command struct {
	Kind           CommandKind   `cbor:"1,keyasint"`
	Name           string        `cbor:"2,keyasint,omitempty"`
	Nonce          uint64        `cbor:"3,keyasint,omitempty"`
	Member         Member        `cbor:"4,keyasint,omitempty"`
	Number         Number        `cbor:"5,keyasint,omitempty"`
	Round          Round         `cbor:"6,keyasint,omitempty"`
	MembersVersion uint64        `cbor:"7,keyasint,omitempty"`
	Policy         []byte        `cbor:"8,keyasint,omitempty"`
	Comment        string        `cbor:"9,keyasint,omitempty"`  // the operator's comment on the change
	Reason         string        `cbor:"10,keyasint,omitempty"` // why the change is aborted
	Time           int64         `cbor:"11,keyasint,omitempty"` // Unix milliseconds, for the history only
	Lease          time.Duration `cbor:"12,keyasint,omitempty"` // with Release: the leader's configured lease, which must equal the tier's
	Hash           string        `cbor:"13,keyasint,omitempty"` // of Policy
	Address        string        `cbor:"14,keyasint,omitempty"` // of the proxy that joins
	Zone           string        `cbor:"15,keyasint,omitempty"` // of the proxy that joins, if it shares health checks
}
