package routing

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestHintsFromTextParametersAndAttributes(t *testing.T) {
	hints, err := Parse("INSERT INTO state (uid, val) VALUES (?, ?) /* c=order,cluster=2,session=?1,k=?3,d=250 */ ;")
	if err != nil || hints.Class != "order" || hints.Group != 2 || !hints.HasGroup || hints.Timeout != 250*time.Millisecond || hints.Session != 0 || len(hints.ParamRefs) != 2 {
		t.Fatalf("%+v, %v", hints, err)
	}
	values := []string{"7f3a9c21e0b4d655", "v", "5c"}
	if err := hints.Resolve(func(i int) (string, bool) { return values[i], true }); err != nil || hints.Session != 0x7f3a9c21e0b4d655 || hints.Key != "5c" {
		t.Errorf("%+v, %v", hints, err)
	}
	if err := hints.Set("d", "80"); err != nil || hints.Timeout != 80*time.Millisecond {
		t.Errorf("%+v, %v", hints, err)
	}
	if err := hints.Resolve(func(int) (string, bool) { return "", false }); !errors.Is(err, ErrStatement) {
		t.Errorf("a parameter that is NULL: %v", err)
	}
}

func TestInvalidCommentsAreRejected(t *testing.T) {
	for _, text := range []string{"", "SELECT 1", "/* c=x */ SELECT 1", "SELECT 1 /* c=x", "SELECT 1 /* d=-1 */", "SELECT 1 /* d=x */",
		"SELECT 1 /* d=99999999999999 */", "SELECT 1 /* cluster=x */", "SELECT 1 /* after=x */"} {
		if hints, err := Parse(text); err == nil {
			t.Errorf("%q: %+v", text, hints)
		}
	}
	if hints, err := Parse("SELECT 1 /* k=?0,c=?,d=?99999 */"); err == nil {
		t.Errorf("%+v", hints)
	}
}

func TestParseArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z'?=,/* 0-9]{0,80}`).Draw(t, "text") + rapid.SampledFrom([]string{"", "*/", " /* d=1,c=?2 */"}).Draw(t, "end")
		if hints, err := Parse(text); err == nil && hints.TimeoutEnd > len(text) {
			t.Fatalf("%+v", hints)
		}
	})
}
