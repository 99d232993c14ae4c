package logic

import "time"

// fifoMap is a map with a fixed capacity that evicts the oldest key first.
type fifoMap[K comparable, V any] struct {
	entries map[K]V
	keys    []K
	next    int
}

func (m *fifoMap[K, V]) init(size int) { m.entries, m.keys = map[K]V{}, make([]K, 0, size) }

func (m *fifoMap[K, V]) get(k K) (V, bool) {
	v, ok := m.entries[k]
	return v, ok
}

// put stores a value. If it evicts an entry for that, it returns the evicted value and true.
func (m *fifoMap[K, V]) put(k K, v V) (evicted V, wasEvicted bool) {
	if _, ok := m.entries[k]; ok {
		m.entries[k] = v
		return evicted, false
	}
	if len(m.keys) < cap(m.keys) {
		m.keys = append(m.keys, k)
	} else {
		evicted, wasEvicted = m.entries[m.keys[m.next]], true
		delete(m.entries, m.keys[m.next])
		m.keys[m.next] = k
		m.next = (m.next + 1) % len(m.keys)
	}
	m.entries[k] = v
	return evicted, wasEvicted
}

// commitLog stores each session's last commit, and the newest commit among the evicted ones as a lower bound for
// sessions that are no longer stored.
type commitLog struct {
	fifoMap[SessionID, time.Duration]
	newestEvicted time.Duration
}

func (c *commitLog) lastCommit(session SessionID) time.Duration {
	if commit, ok := c.get(session); ok {
		return commit
	}
	return c.newestEvicted
}

func (c *commitLog) add(session SessionID, commit time.Duration) {
	previous, _ := c.get(session)
	evicted, _ := c.put(session, max(previous, commit))
	c.newestEvicted = max(c.newestEvicted, evicted)
}
