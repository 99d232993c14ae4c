package explore

import (
	"strings"
	"testing"
)

// Every state that a tier of three with one key can come to, in small: nothing is applied twice, no client hears what isn't so.
func TestEveryStateOfSmallTakeOversKeepsThePromises(t *testing.T) {
	for name, x := range map[string]TakeoverModel{
		"time passes":          {Proxies: 3, MaxTicks: 1, Window: 8, LateTicks: 1, DeliverOnce: true},
		"messages come twice":  {Proxies: 3, Window: 8, LateTicks: 1},
		"a proxy ends":         {Proxies: 2, Crashes: 1, MaxTicks: 4, Window: 8, LateTicks: 1, DeliverOnce: true},
		"one of three ends":    {Proxies: 3, Crashes: 1, MaxTicks: 4, Window: 8, LateTicks: 1, DeliverOnce: true},
		"two of three end":     {Proxies: 3, Crashes: 2, MaxTicks: 3, Window: 8, LateTicks: 1, DeliverOnce: true},
		"the client repeats":   {Proxies: 3, Repeats: 1, MaxTicks: 2, Window: 8, LateTicks: 1, DeliverOnce: true},
		"it repeats, one ends": {Proxies: 3, Repeats: 1, Crashes: 1, MaxTicks: 4, Window: 8, LateTicks: 1, DeliverOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := All(x.Start(), 15_000)
			t.Logf("%d states, %d steps, depth %d, all: %v", r.States, r.Steps, r.Depth, r.Complete)
			if r.Broken != "" {
				t.Errorf("%s\n  %s", r.Broken, strings.Join(r.Trace, "\n  "))
			}
		})
	}
}
