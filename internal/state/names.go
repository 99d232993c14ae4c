package state

import (
	"hash/maphash"
	"time"
)

const (
	// maxNameRetention is how long the name of a request that may still run is known at most.
	maxNameRetention = 10 * time.Second
	// maxRetainedNames is the number of such names; beyond it the oldest are forgotten.
	maxRetainedNames = 8192
)

// requestNames knows the names of requests that are open or may still run at a database. Databases would deduplicate two
// requests of one name, or run both. The zero value is not usable.
type requestNames struct {
	seed     maphash.Seed
	open     map[string]struct{}
	retained map[uint64]time.Duration // until when, by the hash of the name
	oldest   []uint64                 // keys of retained, in the order in which they were added
}

func newRequestNames() requestNames {
	return requestNames{seed: maphash.MakeSeed(), open: map[string]struct{}{}, retained: map[uint64]time.Duration{}}
}

// add makes a name known; false means that it is already.
func (n *requestNames) add(now time.Duration, name string) bool {
	if _, isOpen := n.open[name]; isOpen || n.retained[n.hash(name)] > now {
		return false
	}
	n.open[name] = struct{}{}
	return true
}

// remove forgets the name of a request that has ended, at the given time or now if that is over.
func (n *requestNames) remove(now time.Duration, name string, until time.Duration) {
	delete(n.open, name)
	n.expire(now)
	if until <= now {
		return
	}
	key := n.hash(name)
	if _, isRetained := n.retained[key]; !isRetained {
		n.oldest = append(n.oldest, key)
	}
	n.retained[key] = min(until, now+maxNameRetention)
}

// expire forgets the oldest retained names whose time is over, and those beyond maxRetainedNames.
func (n *requestNames) expire(now time.Duration) {
	expired := 0
	for ; expired < len(n.oldest); expired++ {
		key := n.oldest[expired]
		if n.retained[key] > now && len(n.oldest)-expired < maxRetainedNames {
			break
		}
		delete(n.retained, key)
	}
	if expired > 0 {
		n.oldest = append(n.oldest[:0], n.oldest[expired:]...)
	}
}

func (n *requestNames) hash(name string) uint64 { return maphash.String(n.seed, name) }
