package routing

import (
	"errors"
	"runtime"
	"strings"
	"testing"
)

// TestFieldsAreBounded guards against statements with thousands of fields in their comment: the rest of the text was copied for each of them.
func TestFieldsAreBounded(t *testing.T) {
	for _, field := range []string{"x=", "", "x=1", " "} {
		for fields, want := range map[int]error{MaxFields: nil, MaxFields + 1: ErrStatement, 12000: ErrStatement, 50000: ErrStatement} {
			text := "SELECT 1 /* " + strings.Repeat(field+",", fields-1) + "c=any */"
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			hints, err := Parse(text)
			runtime.ReadMemStats(&after)
			if !errors.Is(err, want) || err == nil && hints.Class != "any" {
				t.Errorf("%d fields %q: class %q, error %v", fields, field, hints.Class, err)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > 64<<10 {
				t.Errorf("%d fields %q: %d bytes were allocated for a text of %d", fields, field, used, len(text))
			}
		}
	}
}

// TestManyFieldsCostTheirLengthOnly guards against the same within the limit, in a long text.
func TestManyFieldsCostTheirLengthOnly(t *testing.T) {
	text := "SELECT 1 /* " + strings.Repeat(strings.Repeat("x", 2000)+",", MaxFields-1) + "c=any */"
	if n := testing.AllocsPerRun(10, func() {
		if _, err := Parse(text); err != nil {
			t.Error(err)
		}
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
