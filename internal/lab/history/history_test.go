package history

import (
	"testing"
	"time"
)

func TestWhatAHistoryAllows(t *testing.T) {
	at := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	w := func(call, ret int, e End) Write { return Write{Key: "k", Call: at(call), Return: at(ret), End: e} }
	for name, c := range map[string]struct {
		tries   []Write
		applied int
		ok      bool
	}{
		"served":                         {[]Write{w(0, 9, Served)}, 1, true},
		"served without effect":          {[]Write{w(0, 9, Served)}, 0, false},
		"served, applied twice":          {[]Write{w(0, 9, Served)}, 2, false},
		"refused":                        {[]Write{w(0, 9, Refused)}, 0, true},
		"refused, and applied":           {[]Write{w(0, 9, Refused)}, 1, false},
		"failed, without effect":         {[]Write{w(0, 9, Failed)}, 0, true},
		"failed, with its effect":        {[]Write{w(0, 9, Failed)}, 1, true},
		"failed, applied twice":          {[]Write{w(0, 9, Failed)}, 2, false},
		"refused, then served":           {[]Write{w(0, 9, Refused), w(20, 30, Served)}, 1, true},
		"refused, then served, twice":    {[]Write{w(0, 9, Refused), w(20, 30, Served)}, 2, false},
		"no answer, then refused":        {[]Write{w(0, 9, Unanswered), w(20, 30, Refused)}, 1, true},
		"two at once, both served":       {[]Write{w(0, 9, Served), w(5, 30, Served)}, 1, true},
		"two at once, one was refused":   {[]Write{w(0, 9, Refused), w(5, 30, Served)}, 1, true},
		"all refused, yet it is applied": {[]Write{w(0, 9, Refused), w(20, 30, Refused)}, 1, false},
	} {
		bad := Check(c.tries, func(int, string) int { return c.applied })
		if (len(bad) == 0) != c.ok {
			t.Errorf("%s: %v", name, bad)
		}
	}
}
