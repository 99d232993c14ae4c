package prepared

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the cache with a map: it returns the latest answer, none older than the limit, and keeps its size limit.
func TestMetadataCacheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, room := rapid.IntRange(1, 5).Draw(t, "most"), rapid.IntRange(40, 120).Draw(t, "room")
		s := NewMetadataCache(most, room, time.Second)
		type known struct {
			answer string
			at     time.Duration
		}
		model, now := map[string]known{}, time.Duration(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			text := strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "text"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				a := rapid.StringN(0, 30, 30).Draw(t, "answer")
				s.Put(now, 1, text, []byte(a))
				model[text] = known{a, now}
			case 1:
				s.Remove(1, text)
				delete(model, text)
			default:
				got, _, ok := s.Get(now, 1, text)
				if m, was := model[text]; ok && (!was || string(got) != m.answer || now-m.at >= time.Second) {
					t.Fatalf("got %q for %q, stored %q", got, text, m.answer)
				}
				if _, _, other := s.Get(now, 2, text); other {
					t.Fatal("got another group's entry")
				}
			}
			if n, bytes := s.Len(); n > most || bytes > room || bytes < 0 {
				t.Fatalf("%d entries, %d bytes", n, bytes)
			}
		}
	})
}

func TestLargeMetadataNotCached(t *testing.T) {
	s := NewMetadataCache(10, 400, time.Second)
	s.Put(1, 1, "a", make([]byte, 50))
	s.Put(1, 1, "b", make([]byte, 200))
	if _, _, ok := s.Get(1, 1, "b"); ok {
		t.Error("an entry of half the cache is stored")
	}
	if _, _, ok := s.Get(1, 1, "a"); !ok {
		t.Error("it evicted another entry")
	}
}
