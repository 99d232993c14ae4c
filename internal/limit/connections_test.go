package limit

import (
	"testing"
	"time"
)

// TestClientsGiveWay guards against clients that keep connections from others, and against clients that are closed without need.
func TestClientsGiveWay(t *testing.T) {
	const limit, excess = 40, 4
	for name, test := range map[string]struct {
		connections  Connections
		silent, idle time.Duration
		want         [3]bool // a silent client, one half way through a message, an idle one
	}{
		"room":                       {Connections{Open: 39, Silent: 10}, time.Hour, time.Hour, [3]bool{false, false, false}},
		"full":                       {Connections{Open: 40, Silent: 1}, MinSilentTime, MinIdleTime, [3]bool{true, true, true}},
		"full, but a moment ago":     {Connections{Open: 40, Silent: 1}, MinSilentTime - 1, MinIdleTime - 1, [3]bool{false, false, false}},
		"rejected ones do not count": {Connections{Open: 42, Rejected: 3, Silent: 1}, time.Hour, time.Hour, [3]bool{false, false, false}},
		"no room to reject":          {Connections{Open: 44, Rejected: 5, Silent: 1}, time.Hour, time.Hour, [3]bool{true, true, true}},
		"too many silent":            {Connections{Open: 11, Silent: 11}, MinSilentTime, time.Hour, [3]bool{true, false, false}},
		"and they have just written": {Connections{Open: 11, Silent: 11}, MinSilentTime - 1, time.Hour, [3]bool{false, false, false}},
		"full of silent ones":        {Connections{Open: 40, Silent: 11}, 0, 0, [3]bool{true, true, false}},
	} {
		c := test.connections
		c.Max, c.MaxExcess = limit, excess
		got := [3]bool{c.SilentGivesWay(test.silent, false), c.SilentGivesWay(test.silent, true), c.IdleGivesWay(test.idle)}
		if got != test.want {
			t.Errorf("%s: a silent client, one half way and an idle one give way: %v, want %v", name, got, test.want)
		}
		if (got[0] || got[1]) && !c.SilentMayGiveWay() {
			t.Errorf("%s: no silent client is looked at", name)
		}
	}
	if !AboutToAsk(MinSilentTime-1, 0) || AboutToAsk(MinSilentTime, 0) || AboutToAsk(0, 1) {
		t.Error("about to ask is a client that is half way through a message, or has been silent for long, or none")
	}
}
