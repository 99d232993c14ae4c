package tier

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// The way without a tier, as the baseline: a file beside each proxy, and SIGHUP to each. What the auditor finds there is what a tier is for.

// naiveFile is the operator's file of revision n.
func naiveFile(n uint64) string {
	return fmt.Sprintf("revision(number = %d, tell_clients = True)\nrouting(first_limit = %d)\n", n, 20+n%50)
}

// Spread lets all proxies read revision n. One that can't be reached, since its link to the planners would be cut, is tried again until the
// next revision is spread or ctx ends, as a careful script does; who is down reads its file when it starts.
func (b *Bench) Spread(n uint64, over <-chan struct{}) {
	for i, p := range b.Proxies {
		go func() {
			for !b.reach(i, p, n) {
				select {
				case <-over:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		}()
	}
}

// reach writes a proxy's file and lets it read it, if its machine can be reached now.
func (b *Bench) reach(i int, p *Process, n uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away[i] || b.revision > n {
		return b.revision > n
	}
	if os.WriteFile(p.file+".new", []byte(naiveFile(n)), 0o600) != nil || os.Rename(p.file+".new", p.file) != nil {
		return false
	}
	p.Signal(syscall.SIGHUP)
	return true
}
