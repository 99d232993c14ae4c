package limit

import "time"

// StallTimeout is how long a peer may take none of the bytes that wait for it before it is given up.
const StallTimeout = 10 * time.Second

// Progress tells a peer that takes bytes slowly from one that takes none, by how many bytes the kernel holds for it.
// The zero value knows nothing yet.
type Progress struct {
	held int // at the last progress; 0 = not known
	at   time.Duration
}

// Written notes that the kernel has taken bytes, which makes room for a peer's progress, and now holds that many.
func (p *Progress) Written(now time.Duration, held int) { p.held, p.at = held, now }

// Forget makes the next call of Stalled the first.
func (p *Progress) Forget() { p.held = 0 }

// Stalled notes that the kernel holds that many bytes, and reports whether the peer has taken none for StallTimeout.
func (p *Progress) Stalled(now time.Duration, held int) bool {
	if held == 0 || p.held == 0 || held < p.held {
		p.held, p.at = held, now
		return false
	}
	return now-p.at >= StallTimeout
}
