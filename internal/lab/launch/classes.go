// Package launch starts the real program against a lab's stand-ins: it writes the configuration that the platform
// would give it, runs it as a process of its own, and stops it in good order.
package launch

import (
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/logic"
)

const ms = time.Millisecond

// Zones are the buildings of the lab's fleet where a scenario names none.
func Zones() []string { return []string{"merkez-ofis", "testere-hane", "depo-bina"} }

// Classes are the classes of a timber yard's records, with the work of each; shares of traffic are Shares.
func Classes() []fleet.Class {
	of := func(name string, read logic.Freshness, aim, limit time.Duration, worth float64, from, to time.Duration) fleet.Class {
		return fleet.Class{Class: logic.Class{Name: name, Read: read, Aim: aim, Limit: limit, Worth: worth}, Work: fleet.Span{From: from, To: to}}
	}
	out := []fleet.Class{
		of("stok-bakis", logic.Bounded, 300*ms, 1200*ms, 3, 42*ms, 72*ms),
		of("kendi-siparis", logic.Session, 300*ms, 750*ms, 1, 42*ms, 72*ms),
		of("katalog", logic.Any, 200*ms, 800*ms, 1, 25*ms, 43*ms),
		of("yukleme-kontrol", logic.Fresh, 300*ms, 1200*ms, 3, 42*ms, 72*ms),
		of("kayit-yaz", logic.Write, 600*ms, 3000*ms, 3, 62*ms, 110*ms),
	}
	out[0].MaxAge = 300 * ms
	out[3].Late, out[4].Late = 0.2, 0.3
	w := &out[4]
	w.Effect, w.Scope, w.DedupWindow = logic.Guarded, logic.ScopeCell, 3*time.Second
	return out
}

// Shares are the classes' parts of the requests.
func Shares() []float64 { return []float64{0.35, 0.33, 0.18, 0.03, 0.11} }
