package healthcheck

import "time"

// fallback determines the mode of a proxy from when it last received messages of a planner and of peers.
type fallback struct {
	config          Config
	jitter          time.Duration // this proxy's share of FallbackJitter
	lastDigest      time.Duration
	lastPeerMessage time.Duration
	mode            Mode
}

// newFallback returns a fallback that counts now as the time of the last messages, so that a starting proxy has the full timeouts to find
// a planner. phase, from 0 to 1, is its share of FallbackJitter.
func newFallback(now time.Duration, config Config, phase float64) *fallback {
	return &fallback{config: config, jitter: time.Duration(phase * float64(FallbackJitter)), lastDigest: now, lastPeerMessage: now}
}

// update returns the mode for the current time.
func (f *fallback) update(now time.Duration) Mode {
	plannerTimeout := f.lastDigest + PlannerTimeout + f.jitter
	peerTimeout := max(f.lastPeerMessage, plannerTimeout) + PeerTimeout + f.jitter // peers start to broadcast at plannerTimeout
	switch {
	case now <= plannerTimeout || !f.config.enabled(guardFallback):
		f.mode = ModePlanner
	case now <= peerTimeout:
		f.mode = ModePeers
	default:
		f.mode = ModeStandalone
	}
	return f.mode
}
