package healthcheck

// guard names a rule that a test may disable, to show that the simulation notices its absence.
type guard uint32

const (
	guardQuorum      guard = 1 << iota // a single checker ejects nothing
	guardZones                         // the quorum spans zones
	guardMassLoss                      // checkers that lose most databases at once don't count
	guardSettle                        // a death counts once the checker had time to lose others as well
	guardConsecutive                   // one lost check is no death
	guardEpoch                         // a replaced process is not believed
	guardOrder                         // an older report doesn't replace a newer one
	guardAge                           // an old report is not accepted
	guardSkew                          // a report from the future is not accepted
	guardSilence                       // reports of a silent checker don't count
	guardOwnEvidence                   // an own answer outranks older reports
	guardPace                          // checks keep to the rate
	guardBytes                         // messages keep to the bytes
	guardFallback                      // who hears nobody checks alone
	guardSnapshot                      // a new link is sent what is known
	guardLast
)

func (c *Config) has(g guard) bool { return c.disabled&g == 0 }
