package rollout

import "time"

// Config holds the timing of a tier. All its processes must use the same values.
type Config struct {
	// Lease is how long a proxy may admit requests after it sent a renewal. A partitioned proxy stops then, and a change waits that
	// long for it. With 0 there are no leases: a partitioned proxy goes on serving, and a change that it does not agree to is aborted.
	Lease time.Duration
	// ClockMargin is how much longer the planners regard a lease as valid, for clocks that run at different rates. Default: Lease/4.
	ClockMargin time.Duration
	// ShortLease is granted once a change has been pending for Lease/2. In a tier of hundreds of proxies, at any time some member is
	// silent while its lease still runs, and with full leases a change would never complete. Default: Lease/8, at least 250 ms.
	ShortLease    time.Duration
	AnswerTimeout time.Duration // a member whose answer is outstanding for longer gets no further lease; default 300 ms
	RoundTimeout  time.Duration // a round is released if not all members hold within it; default 150 ms
	RoundPause    time.Duration // between the release of a round and the next one; default 250 ms
	ChangeTimeout time.Duration // a change is aborted if it is not committed within it; default 4 * (Lease + ClockMargin) + 2 s

	DisabledGuards Guards // for mutation tests only
}

// Guards is a set of the checks that the guarantees depend on.
type Guards uint16

// The guards. Each constant disables one check, so that a test can show that its absence is detected.
const (
	NoLeaseCheck    Guards = 1 << iota // a proxy checks its lease before it admits a request
	NoHold                             // a proxy admits nothing while it holds
	NoStartCheck                       // a proxy admits nothing before it has received the tier's policy
	NoTermCheck                        // commands of an earlier leader, or of a released round, have no effect
	NoMembersCheck                     // a commit has no effect if the membership has changed since the round began
	NoNewTermLeases                    // a new leader assumes that leases of its predecessor are still running
	NoLeaveCheck                       // no lease is granted to a member that is leaving
	NoLeaseMaximum                     // a short lease does not shorten a longer one that was granted before
)

// GuardNames holds the name of each guard, by its bit.
var GuardNames = []string{"lease check", "wait at the point", "check at start", "term check", "tier check", "new leader's wait", "no lease for who goes", "longest lease"}

// Has reports whether g contains the guard.
func (g Guards) Has(guard Guards) bool { return g&guard != 0 }

const (
	defaultAnswerTimeout = 300 * time.Millisecond
	defaultRoundTimeout  = 150 * time.Millisecond
	defaultRoundPause    = 250 * time.Millisecond
	minShortLease        = 250 * time.Millisecond
	shortLeaseFraction   = 8 // of Lease
	clockMarginFraction  = 4 // of Lease
	changeTimeoutLeases  = 4 // periods of Lease + ClockMargin
	changeTimeoutBase    = 2 * time.Second
)

// WithDefaults returns the configuration with a default for each duration that is 0, except Lease.
func (c Config) WithDefaults() Config {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.ClockMargin, c.Lease/clockMarginFraction)
	setDefault(&c.ShortLease, min(max(c.Lease/shortLeaseFraction, minShortLease), c.Lease))
	setDefault(&c.AnswerTimeout, defaultAnswerTimeout)
	setDefault(&c.RoundTimeout, defaultRoundTimeout)
	setDefault(&c.RoundPause, defaultRoundPause)
	setDefault(&c.ChangeTimeout, changeTimeoutLeases*(c.Lease+c.ClockMargin)+changeTimeoutBase)
	return c
}
