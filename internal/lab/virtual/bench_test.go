package virtual

import (
	"testing"
	"time"
)

// BenchmarkLarge plays 100 proxies before 1,000 databases at 100,000 requests a second, for a second of model time a turn.
func BenchmarkLarge(b *testing.B) {
	for range b.N {
		cfg := Yard(1)
		cfg.Fleet.Groups, cfg.Fleet.Members, cfg.Proxies, cfg.For = 250, 4, 100, 2*time.Second
		cfg.Fleet.Classes = append(cfg.Fleet.Classes[:0:0], cfg.Fleet.Classes...)
		for i := range cfg.Fleet.Classes {
			w := &cfg.Fleet.Classes[i].Work
			w.From, w.To = w.From/3, w.To/3
		}
		cfg.Rate = func(time.Duration) float64 { return 100_000 }
		r := Play(cfg)
		b.ReportMetric(float64(r.Steps)/b.Elapsed().Seconds(), "steps/s")
	}
}
