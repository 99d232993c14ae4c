package prepared

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MetadataCache caches what databases reported about prepared statements, that is their parameters and columns, so
// that the next client that prepares the same text is answered at once. The same text from 500 clients causes one
// query to a group instead of 500, and no client waits for a busy database. Entries expire, because a table's columns
// may change. Errors are not cached. It is not safe for concurrent use.
type MetadataCache struct {
	maxBytes, used int // bytes of texts and answers
	ttl            time.Duration
	lru            *simplelru.LRU[metadataKey, metadataEntry]
}

type metadataKey struct {
	group int
	text  string
}

type metadataEntry struct {
	text     string // the copy in the cache
	answer   []byte
	storedAt time.Duration
}

func (e *metadataEntry) size() int { return len(e.text) + len(e.answer) }

// NewMetadataCache returns a cache limited to a number of answers, at least one, to a number of bytes, and to an age.
func NewMetadataCache(maxEntries, maxBytes int, ttl time.Duration) *MetadataCache {
	c := &MetadataCache{maxBytes: maxBytes, ttl: ttl}
	c.lru, _ = simplelru.NewLRU(max(maxEntries, 1), func(_ metadataKey, entry metadataEntry) { c.used -= entry.size() })
	return c
}

// Len returns the number of entries and their size in bytes.
func (c *MetadataCache) Len() (entries, bytes int) { return c.lru.Len(), c.used }

// Put stores a copy of a group's answer to the preparation of a text. An entry larger than a quarter of the cache is
// not stored, as it would evict the entries that others use.
func (c *MetadataCache) Put(now time.Duration, group int, text string, answer []byte) {
	c.Remove(group, text)
	entry := metadataEntry{text, append([]byte(nil), answer...), now}
	if entry.size() > c.maxBytes/4 {
		return
	}
	for c.used+entry.size() > c.maxBytes {
		c.lru.RemoveOldest()
	}
	c.used += entry.size()
	c.lru.Add(metadataKey{group, text}, entry)
}

// Get returns the answer for a text in a group, valid until the next call, and the cached copy of the text.
func (c *MetadataCache) Get(now time.Duration, group int, text string) (answer []byte, cachedText string, ok bool) {
	entry, ok := c.lru.Get(metadataKey{group, text})
	if ok && now-entry.storedAt >= c.ttl {
		c.Remove(group, text)
		return nil, "", false
	}
	return entry.answer, entry.text, ok
}

// Remove removes the entry of a text that a database has just rejected.
func (c *MetadataCache) Remove(group int, text string) { c.lru.Remove(metadataKey{group, text}) }
