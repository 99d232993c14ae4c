package prepared

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MetadataCache keeps what databases said of the statements that they prepared, their parameters and columns, so that the next
// client that prepares the same text has its answer at once: the same text from 500 clients is one question to a group, not
// 500, and none of them has to wait for a database that is busy. A shape is kept for a while only: a table's columns may
// change. Errors are not kept. It is not safe for concurrent use.
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
	text     string // the copy that is kept
	answer   []byte
	storedAt time.Duration
}

func (s *metadataEntry) size() int { return len(s.text) + len(s.answer) }

// NewMetadataCache keeps so many answers, one at least, so many bytes and so long, at most.
func NewMetadataCache(most, room int, keep time.Duration) *MetadataCache {
	s := &MetadataCache{maxBytes: room, ttl: keep}
	s.lru, _ = simplelru.NewLRU(max(most, 1), func(_ metadataKey, x metadataEntry) { s.used -= x.size() })
	return s
}

// Len tells how many are kept, and how many bytes they hold.
func (s *MetadataCache) Len() (entries, bytes int) { return s.lru.Len(), s.used }

// Put keeps a copy of the answer to a text's preparation in a group. One that would take more than a quarter of the room
// is not kept: it would drive out all that others use.
func (s *MetadataCache) Put(now time.Duration, group int, text string, answer []byte) {
	s.Remove(group, text)
	x := metadataEntry{text, append([]byte(nil), answer...), now}
	if x.size() > s.maxBytes/4 {
		return
	}
	for s.used+x.size() > s.maxBytes {
		s.lru.RemoveOldest()
	}
	s.used += x.size()
	s.lru.Add(metadataKey{group, text}, x)
}

// Get gives what is known of a text in a group, valid until the next call, and the copy of the text that is kept.
func (s *MetadataCache) Get(now time.Duration, group int, text string) (answer []byte, same string, ok bool) {
	x, ok := s.lru.Get(metadataKey{group, text})
	if ok && now-x.storedAt >= s.ttl {
		s.Remove(group, text)
		return nil, "", false
	}
	return x.answer, x.text, ok
}

// Remove drops what is known of a text: a database has just refused it.
func (s *MetadataCache) Remove(group int, text string) { s.lru.Remove(metadataKey{group, text}) }
