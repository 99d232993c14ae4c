package scenario

import (
	"time"

	"go.starlark.net/starlark"

	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/operator/star"
	wire "havenproxy/internal/wire/peers"
)

// The words about a tier of proxies. The model alone plays them.

// tier says what lies between the proxies.
func (s *Scenario) tier(c *star.Call) starlark.Value {
	t := &s.Tier
	SetPeers(t, c.Bool("peers", t.Peers > 0))
	t.PeerWay = c.Duration("peer_way", t.PeerWay, 0, minute)
	t.PeerLoss = c.Float("peer_loss", t.PeerLoss, 0, 1)
	t.Uneven = c.Float("uneven", max(t.Uneven, 1), 1, 10)
	t.ListCalls = c.Float("list_calls", t.ListCalls, 0, 1e9)
	t.ListPatience = c.Duration("list_patience", t.ListPatience, 0, minute)
	return nil
}

// SetPeers lets proxies talk, or not.
func SetPeers(t *virtual.Tier, on bool) {
	t.Peers = 0
	if on {
		t.Peers = wire.MaxReports
	}
}

// window reads when something begins and how long it lasts.
func window(c *star.Call) (at, lasts time.Duration) {
	return c.Duration("at", 0, 0, day), c.Duration("lasts", 6*time.Second, time.Millisecond, day)
}

func (s *Scenario) mute(c *star.Call) starlark.Value {
	at, lasts := window(c)
	s.Tier.Mutes = append(s.Tier.Mutes, virtual.Mute{At: at, For: lasts})
	return nil
}

func (s *Scenario) split(c *star.Call) starlark.Value {
	at, lasts := window(c)
	s.Tier.Splits = append(s.Tier.Splits, virtual.Split{At: at, For: lasts, Zone: c.Int("zone", 0, 0, len(s.Fleet.Zones)-1)})
	return nil
}

func (s *Scenario) stop(c *star.Call) starlark.Value {
	x := virtual.Stop{At: c.Duration("at", 0, 0, day), For: c.Duration("lasts", time.Second, time.Millisecond, day),
		First: c.Float("first", 0, 0, 1), Share: c.Float("share", 0.1, 0, 1), Orderly: c.Bool("orderly", false)}
	s.Tier.Stops = append(s.Tier.Stops, x)
	return nil
}

func (s *Scenario) prices(c *star.Call) starlark.Value {
	p := &s.Prices
	for name, to := range map[string]*float64{"probe": &p.Probe, "connection": &p.Connection, "list": &p.List, "message": &p.Message} {
		*to = c.Float(name, *to, 0, 1000)
	}
	return nil
}
