package healthcheck

import (
	"fmt"
	"testing"
	"time"

	"havenproxy/internal/subset"
)

// The plan, and whether checks are shared, depend on the settings alone.
func TestPlanIsCalculated(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		shared   bool
		interval time.Duration
	}{
		{"the planned size", Settings{Proxies: 820, Databases: 1300, MessagesAllowed: true, ChecksPerSecond: 10}, true, second},
		{"no messages allowed", Settings{Proxies: 820, Databases: 1300, ChecksPerSecond: 10}, false, 185714285714},
		{"no budget set", Settings{Proxies: 820, Databases: 1300, MessagesAllowed: true}, false, second},
		{"all within the budget", Settings{Proxies: 80, Databases: 7, MessagesAllowed: true, ChecksPerSecond: 10}, false, second},
		{"too few proxies to gain by it", Settings{Proxies: 5, Databases: 60, MessagesAllowed: true, ChecksPerSecond: 10}, false, 8571428571},
		{"few proxies, many databases", Settings{Proxies: 10, Databases: 1300, MessagesAllowed: true, ChecksPerSecond: 10}, true, 55714285714},
	} {
		if p := NewPlan(c.settings); p.Shared != c.shared || p.AssignedInterval != c.interval {
			t.Errorf("%s: shared %v, every %v", c.name, p.Shared, p.AssignedInterval)
		}
	}
	if got := NewPlan(Settings{Proxies: 820, Databases: 1300, MessagesAllowed: true, ChecksPerSecond: 10}).DetectionTime(5); got != 4*second {
		t.Errorf("a death is found out within %v", got)
	}
}

// A single checker changes neither role, position, cold start nor failing state of a database; a quorum does.
func TestOneCheckerIsOutvoted(t *testing.T) {
	assignment := subset.NewAssignment(subset.Config{Checkers: 3})
	var tier []subset.Proxy
	for i := range 4 {
		tier = append(tier, subset.Proxy{ID: subset.ProxyID(i + 1), Zone: fmt.Sprint("zone-", i)})
	}
	assignment.SetDatabases([]subset.DatabaseID{1})
	assignment.SetProxies(tier)
	v := NewView(Config{Self: tier[3]}, assignment)
	v.SetTier(tier)
	v.SetDatabases([]subset.DatabaseID{1})
	now := simStart
	checkers := assignment.Checkers(1)
	report := func(p subset.Proxy, status Status, role subset.Role, position time.Duration) {
		now += time.Millisecond
		v.Receive(now, Report{Origin: p.ID, Epoch: 1, Database: 1, ObservedAt: now, Status: status, Role: role, Position: position})
	}
	report(checkers[0], ColdStart, subset.Primary, 900*second)
	report(checkers[1], Alive, subset.Replica, 100*second)
	report(checkers[2], Alive, subset.Replica, 200*second)
	if got := v.Verdict(now, 1, ModePlanner); got.ColdStart || got.Role != subset.Replica || got.Position != 200*second {
		t.Errorf("by one of three: %+v", got)
	}
	report(checkers[1], ColdStart, subset.Primary, 900*second)
	if got := v.Verdict(now, 1, ModePlanner); !got.ColdStart || got.Role != subset.Primary || got.Position != 900*second {
		t.Errorf("by two of three: %+v", got)
	}
	report(checkers[1], Failing, subset.Primary, 900*second)
	report(checkers[2], Failing, subset.Primary, 900*second)
	if got := v.Verdict(now, 1, ModePlanner); !got.Failing || got.ColdStart || got.State != Serving {
		t.Errorf("by two of three: %+v", got)
	}
}
