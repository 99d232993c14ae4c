package scale

import (
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"havenproxy/internal/lab/scale/analysis"
)

func TestMain(m *testing.M) {
	slog.SetLogLoggerLevel(slog.LevelError)
	os.Exit(m.Run())
}

func small() Config {
	return Config{For: 3 * time.Second, Settle: 2 * time.Second, Rate: 50, Seed: 7, Variant: "all", CountsOnly: true}
}

func measure(t *testing.T, c Config, size analysis.Size) analysis.Measurement {
	t.Helper()
	m, err := c.Measure(size)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestCountsAreTheSameEveryRun(t *testing.T) {
	size := analysis.Size{Proxies: 4, Databases: 8}
	if diff := cmp.Diff(measure(t, small(), size), measure(t, small(), size)); diff != "" {
		t.Error(diff)
	}
}

func TestEveryHealthCheckIsAnswered(t *testing.T) {
	m := measure(t, small(), analysis.Size{Proxies: 4, Databases: 8})
	counted := map[analysis.Direction]float64{}
	for _, x := range m.Traffic {
		if x.Kind == analysis.KindProbe {
			counted[x.Direction] = x.Messages.Mean
		}
	}
	if sent, received := counted[analysis.Sent], counted[analysis.Received]; sent == 0 || sent-received > 1 || received-sent > 1 {
		t.Errorf("%.2f messages of health checks sent a second and proxy, %.2f received", sent, received)
	}
	if perDatabase := m.ProbesPerProxy.Mean * 4 / 8; !near(perDatabase, m.ProbesPerDatabase.Mean) {
		t.Errorf("%.3f checks a second at a database, %.3f counted there", perDatabase, m.ProbesPerDatabase.Mean)
	}
}

func TestControlBytesAreThoseOfItsKinds(t *testing.T) {
	c := small()
	c.PeerFacts = 31
	m := measure(t, c, analysis.Size{Proxies: 20, Databases: 8}) // few proxies don't talk: it would not pay
	sum := 0.0
	for _, x := range m.Traffic {
		if x.Kind.Control() {
			sum += x.Bytes.Mean
		}
		if x.Kind == analysis.KindPeers && x.Bytes.Mean == 0 {
			t.Errorf("no datagram between proxies was %s", x.Direction)
		}
	}
	if !near(sum, m.ControlBytes.Mean) {
		t.Errorf("%.3f bytes a second by kind, %.3f in all", sum, m.ControlBytes.Mean)
	}
}

func TestASizeThatMakesNoSenseIsRefused(t *testing.T) {
	for _, size := range []analysis.Size{{Proxies: 0, Databases: 8}, {Proxies: 4, Databases: 6}} {
		c := small()
		if _, err := c.Measure(size); err == nil {
			t.Errorf("%v passed", size)
		}
	}
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }
