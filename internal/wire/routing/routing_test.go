package routing

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWordsFromTextParametersAndAttributes(t *testing.T) {
	h, err := Parse("INSERT INTO state (uid, val) VALUES (?, ?) /* c=order,cluster=2,session=?1,k=?3,d=250 */ ;")
	if err != nil || h.Class != "order" || h.Group != 2 || !h.Grouped || h.Wait != 250*time.Millisecond || h.Session != 0 || len(h.Refs) != 2 {
		t.Fatalf("%+v, %v", h, err)
	}
	values := []string{"7f3a9c21e0b4d655", "v", "5c"}
	if err := h.Resolve(func(i int) (string, bool) { return values[i], true }); err != nil || h.Session != 0x7f3a9c21e0b4d655 || h.Key != "5c" {
		t.Errorf("%+v, %v", h, err)
	}
	if err := h.Set("d", "80"); err != nil || h.Wait != 80*time.Millisecond {
		t.Errorf("%+v, %v", h, err)
	}
	if err := h.Resolve(func(int) (string, bool) { return "", false }); !errors.Is(err, ErrStatement) {
		t.Errorf("a parameter that is NULL: %v", err)
	}
}

func TestWhatIsNoComment(t *testing.T) {
	for _, text := range []string{"", "SELECT 1", "/* c=x */ SELECT 1", "SELECT 1 /* c=x", "SELECT 1 /* d=-1 */", "SELECT 1 /* d=x */",
		"SELECT 1 /* d=99999999999999 */", "SELECT 1 /* cluster=x */", "SELECT 1 /* after=x */"} {
		if h, err := Parse(text); err == nil {
			t.Errorf("%q: %+v", text, h)
		}
	}
	if h, err := Parse("SELECT 1 /* k=?0,c=?,d=?99999 */"); err == nil {
		t.Errorf("%+v", h)
	}
}

func TestGarbageIsAnErrorAndNoPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z'?=,/* 0-9]{0,80}`).Draw(t, "text") + rapid.SampledFrom([]string{"", "*/", " /* d=1,c=?2 */"}).Draw(t, "end")
		if h, err := Parse(text); err == nil && h.WaitEnd > len(text) {
			t.Fatalf("%+v", h)
		}
	})
}
