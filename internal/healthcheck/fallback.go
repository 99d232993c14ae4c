package healthcheck

import "time"

// fallback says how far a proxy relies on others, by whom it has received something lately.
type fallback struct {
	config  Config
	spread  time.Duration // this proxy's share of FallbackJitter
	planner time.Duration // the last digest
	peer    time.Duration // the last report of a peer
	step    Mode
}

// newFallback makes one that was received everything up to now: a proxy that starts has its time-outs to find a planner.
func newFallback(now time.Duration, config Config, phase float64) *fallback {
	return &fallback{config: config, spread: time.Duration(phase * float64(FallbackJitter)), planner: now, peer: now}
}

// update gives the step for now.
func (f *fallback) update(now time.Duration) Mode {
	plannerLost := f.planner + PlannerTimeout + f.spread
	peersLost := max(f.peer, plannerLost) + PeerTimeout + f.spread // peers broadcast from plannerLost on
	switch {
	case now <= plannerLost || !f.config.has(guardFallback):
		f.step = ModePlanner
	case now <= peersLost:
		f.step = ModePeers
	default:
		f.step = ModeStandalone
	}
	return f.step
}
