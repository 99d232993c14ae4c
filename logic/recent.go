package logic

import "time"

// recent is a map of at most cap entries that drops the oldest key first.
type recent[K comparable, V any] struct {
	m    map[K]V
	keys []K
	next int
}

func (t *recent[K, V]) init(size int) { t.m, t.keys = map[K]V{}, make([]K, 0, size) }

func (t *recent[K, V]) get(k K) (V, bool) {
	v, ok := t.m[k]
	return v, ok
}

// put stores a value and gives the one that had to make room, if any.
func (t *recent[K, V]) put(k K, v V) (dropped V, did bool) {
	if _, ok := t.m[k]; ok {
		t.m[k] = v
		return dropped, false
	}
	if len(t.keys) < cap(t.keys) {
		t.keys = append(t.keys, k)
	} else {
		dropped, did = t.m[t.keys[t.next]], true
		delete(t.m, t.keys[t.next])
		t.keys[t.next] = k
		t.next = (t.next + 1) % len(t.keys)
	}
	t.m[k] = v
	return dropped, did
}

// commits remembers each session's last commit, and of those it had to drop the newest: a floor for sessions that aren't
// known any more.
type commits struct {
	recent[SessionID, time.Duration]
	forgotten time.Duration
}

func (c *commits) of(s SessionID) time.Duration {
	if at, ok := c.get(s); ok {
		return at
	}
	return c.forgotten
}

func (c *commits) add(s SessionID, commit time.Duration) {
	old, _ := c.get(s)
	dropped, _ := c.put(s, max(old, commit))
	c.forgotten = max(c.forgotten, dropped)
}
