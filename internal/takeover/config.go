package takeover

import "time"

// Config holds the parameters of a tier. All its proxies must use the same values.
type Config struct {
	Quorum         int           // replicas that must store a record before its write may be sent; default 2, of 2*Quorum - 1
	Lease          time.Duration // of an owner; default 600 ms
	ClockMargin    time.Duration // how much longer a replica regards a lease as valid; default Lease/4
	RetryInterval  time.Duration // after which an unanswered request is repeated; default Lease/8
	RenewInterval  time.Duration // at which an owner renews its lease; default Lease/3
	Retention      time.Duration // how long the record of an ended write is kept; default 10 s
	QuorumTimeout  time.Duration // how long a new record may wait for its quorum; default 100 ms
	MaxRecords     int           // records stored for others; further ones are rejected; default 20,000
	MaxAnswerBytes int           // of an answer that a record keeps; default 1,024

	DisabledGuards Guards // for mutation tests only
}

// Guards is a set of the checks that the guarantees depend on.
type Guards uint16

// The guards. Each constant disables one check, so that a test can show that its absence is detected.
const (
	NoLeaseCheck      Guards = 1 << iota // an owner checks its lease before it sends
	NoEpochCheck                         // a replica rejects owners of an earlier epoch
	NoPromiseCheck                       // a replica grants no lease to another before the present one has expired
	NoWindowCheck                        // what may have been sent is sent again only while the group remembers its key
	NoRetention                          // the record of an ended write is kept
	NoDeduplication                      // a retry of a key in progress does not start another run
	NoMajority                           // a quorum is a majority of the replicas, not one of them
	NoAgeCheck                           // a replica creates no record from a message that may be older than a record it has dropped
	NoFirstOwnerCheck                    // only a record received from its first owner tells when that could have sent it
)

// GuardNames holds the name of each guard, by its bit.
var GuardNames = []string{"lease check", "epoch check", "promise", "window", "memory", "join by key", "majority", "age", "first hand"}

// Has reports whether g contains the guard.
func (g Guards) Has(guard Guards) bool { return g&guard != 0 }

const (
	defaultQuorum         = 2
	defaultLease          = 600 * time.Millisecond
	defaultRetention      = 10 * time.Second
	defaultQuorumTimeout  = 100 * time.Millisecond
	defaultMaxRecords     = 20_000
	defaultMaxAnswerBytes = 1024
	clockMarginFraction   = 4 // of Lease
	retryFraction         = 8 // of Lease
	renewFraction         = 3 // of Lease
)

// WithDefaults returns the configuration with a default for each value that is 0.
func (c Config) WithDefaults() Config {
	setDefault(&c.Quorum, defaultQuorum)
	setDefault(&c.Lease, defaultLease)
	setDefault(&c.ClockMargin, c.Lease/clockMarginFraction)
	setDefault(&c.RetryInterval, c.Lease/retryFraction)
	setDefault(&c.RenewInterval, c.Lease/renewFraction)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.QuorumTimeout, defaultQuorumTimeout)
	setDefault(&c.MaxRecords, defaultMaxRecords)
	setDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// replicas returns how many replicas a record has.
func (c Config) replicas() int { return 2*c.Quorum - 1 }

// replicaLease returns how long a replica regards a lease as valid.
func (c Config) replicaLease() time.Duration { return c.Lease + c.ClockMargin }
