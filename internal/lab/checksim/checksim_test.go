package checksim

import (
	"testing"
	"time"

	"havenproxy/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m) }

// At a tenth of the planned size the budgets hold in every second of every proxy, and every death is known.
func TestBudgetsHold(t *testing.T) {
	config := Config{Proxies: 82, Databases: 130, Zones: 5, ChecksPerSecond: 10, BytesPerSecond: 1600, Seed: 1}
	for _, p := range Run(config) {
		t.Logf("%+v", p)
		if p.MostChecks > 10 || p.MostSent > 2400 || p.MostIn > 2400 {
			t.Errorf("%s: over the budget", p.Name)
		}
		if p.Known < 0 || p.Known > 10*time.Second {
			t.Errorf("%s: known after %v", p.Name, p.Known)
		}
	}
}
