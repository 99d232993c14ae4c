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
		want         [2]bool // a silent client, an idle one
	}{
		"room":                       {Connections{Open: 39, Silent: 10}, time.Hour, time.Hour, [2]bool{false, false}},
		"full":                       {Connections{Open: 40, Silent: 1}, MinSilentTime, MinIdleTime, [2]bool{true, true}},
		"full, but a moment ago":     {Connections{Open: 40, Silent: 1}, MinSilentTime - 1, MinIdleTime - 1, [2]bool{false, false}},
		"rejected ones do not count": {Connections{Open: 42, Rejected: 3, Silent: 1}, time.Hour, time.Hour, [2]bool{false, false}},
		"no room to reject":          {Connections{Open: 44, Rejected: 5, Silent: 1}, time.Hour, time.Hour, [2]bool{true, true}},
		"too many silent":            {Connections{Open: 11, Silent: 11}, 0, time.Hour, [2]bool{true, false}},
	} {
		c := test.connections
		c.Max, c.MaxExcess = limit, excess
		if got := [2]bool{c.SilentGivesWay(test.silent), c.IdleGivesWay(test.idle)}; got != test.want {
			t.Errorf("%s: a silent and an idle client give way: %v, want %v", name, got, test.want)
		}
	}
	if !AboutToAsk(MinSilentTime-1, 0) || AboutToAsk(MinSilentTime, 0) || AboutToAsk(0, 1) {
		t.Error("about to ask is a client that is half way through a message, or has been silent for long, or none")
	}
}
