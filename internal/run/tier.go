package run

import (
	"cmp"
	"log/slog"
	"math/rand/v2"

	"havenproxy/internal/net"
	"havenproxy/internal/operator"
	"havenproxy/internal/policy"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/settings"
)

// join lets the proxy go by its tier's policy. It is called before the loop runs, so that no request is taken before. What the files say of
// levels, handover, routing and classes holds until the tier has a policy of its own.
func (p *proxy) join(own *operator.File, cfg settings.Config) {
	p.front.ConfigureLevels(own.Levels)
	p.front.SetHandover(own.Handover)
	p.front.SetTuning(own.Tuning)
	p.server.ReportPolicy(own.Tier.TellClients)
	p.log = slog.Default()
	p.tier = net.JoinTier(p.loop, p.clock, p.front, net.TierConfig{Name: cmp.Or(own.Tier.Name, cfg.Name), Planners: own.Tier.Planners,
		Rollout: own.Tier.Rollout, Seed: cfg.Settings.Config.Seed, Nonce: rand.Uint64(), Check: p.agrees, Apply: p.enforce,
		Health: net.HealthConfig{Zone: zoneName(cfg), ChecksPerSecond: own.Tier.ChecksPerSecond, BytesPerSecond: own.Tier.ReportBytesPerSecond}})
	p.server.SetTier(p.tier)
}

// zoneName gives the name of the zone that this proxy runs in; empty = the configuration names none.
func zoneName(cfg settings.Config) string {
	if zone := cfg.Settings.Config.Zone; zone < len(cfg.Settings.Zones) {
		return cfg.Settings.Zones[zone]
	}
	return ""
}

// agrees tells why this proxy can't serve under a policy; empty = it can.
func (p *proxy) agrees(_ rollout.Number, text []byte) string {
	next, err := policy.Decode(text)
	if err == nil {
		here := policy.LocalState{InUse: func(name string) bool {
			for _, c := range p.front.Classes() {
				if c.Name == name {
					return c.Received > 0
				}
			}
			return false
		}, Groups: func() map[int]bool {
			groups := map[int]bool{}
			for _, d := range p.front.Databases() {
				groups[d.Group] = true
			}
			return groups
		}}
		for _, c := range p.front.Classes() {
			here.Classes = append(here.Classes, c.Name)
		}
		err = next.Check(here)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// enforce puts a policy into effect, by the ways that a reload takes. Number 0 is what the files say.
func (p *proxy) enforce(n rollout.Number, text []byte) {
	if n == 0 || n == p.enforced { // who joins again under the policy that it has keeps what its levels have learned
		return
	}
	p.enforced = n
	slog.SetDefault(p.log.With("policy", uint64(n))) // what is refused and counted from now on hangs on it, and so each line says so
	next, err := policy.Decode(text)
	if err != nil { // it was agreed to here, or comes from planners of a later version: serving on under another one would break the promise
		slog.Error("the tier's policy can't be put into effect, so this proxy ends", "number", uint64(n), "error", err)
		p.failed = err
		p.loop.Stop()
		return
	}
	c := p.front.Config()
	c.Classes, c.MaxAttempts, c.EnableRetryAfter, c.MaxRetryAfter = next.Classes, next.MaxAttempts, next.MayComeBack, next.MaxComeBack
	p.front.Reload(c)
	for _, k := range next.Classes {
		p.patience = min(max(p.patience, k.Limit), longestPatience)
	}
	p.front.ConfigureLevels(next.Levels)
	p.front.SetHandover(next.Handover)
	p.front.SetTuning(next.Tuning)
}

// LoadPolicy makes a tier's policy of an operator's file and the classes of a configuration.
func LoadPolicy(config, file string) (*policy.Policy, error) {
	_, document, err := readDocument(config, func() {})
	if err != nil {
		return nil, err
	}
	cfg, own, err := readAll(document, file)
	if err != nil {
		return nil, err
	}
	c := cfg.Settings.Config
	p := &policy.Policy{Classes: c.Classes, MaxAttempts: c.MaxAttempts, MayComeBack: c.EnableRetryAfter, MaxComeBack: c.MaxRetryAfter, Levels: own.Levels,
		Handover: own.Handover, Tuning: own.Tuning}
	return p, p.Check(policy.LocalState{})
}
