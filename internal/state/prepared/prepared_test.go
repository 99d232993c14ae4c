package prepared

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Compares the cache with a simple model: it never holds more than its capacity, and returns each ID to close once.
func TestCacheClosesEvictedStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		c := New(most)
		open, next := map[uint32]bool{}, uint32(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			text := strconv.Itoa(rapid.IntRange(0, 8).Draw(t, "text"))
			if st, ok := c.Get(text); ok {
				id := st.ID
				if !open[id] {
					t.Fatalf("%d was closed", id)
				}
				if rapid.IntRange(0, 5).Draw(t, "forget") == 0 {
					c.Remove(text)
					delete(open, id) // the server no longer knows it
				}
				continue
			}
			next++
			open[next] = true
			if id, must := c.Put(text, Statement{ID: next}); must {
				if !open[id] || id == next {
					t.Fatalf("%d is to be closed", id)
				}
				delete(open, id)
			}
			if c.Len() > most || c.Len() != len(open) {
				t.Fatalf("%d held, %d open, %d at most", c.Len(), len(open), most)
			}
		}
	})
}

func TestUnknownStatementPreparedOnceMore(t *testing.T) {
	c := New(4)
	r := Execution{Text: "a"}
	if s, _ := r.Next(c); s != Prepare || r.Sent {
		t.Fatal(s)
	}
	c.Put("a", Statement{ID: 7})
	if s, st := r.Next(c); s != Execute || st.ID != 7 || !r.Sent {
		t.Fatal(s, st)
	}
	r.StatementUnknown(c)
	if s, _ := r.Next(c); s != Prepare || r.Sent {
		t.Fatal(s)
	}
	c.Put("a", Statement{ID: 8})
	r.Next(c)
	r.StatementUnknown(c)
	if s, _ := r.Next(c); s != GiveUp || r.Sent {
		t.Fatal(s)
	}
}
