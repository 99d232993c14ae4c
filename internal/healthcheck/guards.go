package healthcheck

// guard identifies a rule that tests can disable, to show that the simulation detects its absence.
type guard uint32

const (
	guardQuorum        guard = 1 << iota // a single checker cannot eject a database
	guardZones                           // the quorum must span zones
	guardMassLoss                        // checkers that lose most of their databases at once do not count
	guardSettle                          // a report of a death counts only after SettleTime, in which a partitioned checker notices its other losses
	guardConsecutive                     // a single unanswered check does not make a database dead
	guardEpoch                           // reports of a replaced process are rejected
	guardOrder                           // an older report does not replace a newer one
	guardAge                             // expired reports are rejected
	guardSkew                            // reports from the future are rejected
	guardSilence                         // reports of a silent checker do not count
	guardLocalEvidence                   // an answer to this proxy outranks older reports
	guardRate                            // checks stay within the rate limit
	guardBytes                           // messages stay within the byte budget
	guardFallback                        // a proxy that receives no messages checks on its own
	guardSnapshot                        // a new connection is sent the known state
	guardEnd
)

func (c *Config) enabled(g guard) bool { return c.disabled&g == 0 }
