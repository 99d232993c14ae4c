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

// joinTier makes the proxy follow its tier's policy. It is called before the loop runs, so that no request is accepted earlier. The levels,
// handover, routing and classes of the files apply until the tier has a policy of its own.
func (p *proxy) joinTier(file *operator.File, cfg settings.Config) {
	p.engine.ConfigureLevels(file.Levels)
	p.engine.SetHandover(file.Handover)
	p.engine.SetTuning(file.Tuning)
	p.server.ReportPolicy(file.Tier.TellClients)
	p.baseLog = slog.Default()
	p.tier = net.JoinTier(p.loop, p.clock, p.engine, net.TierConfig{Name: cmp.Or(file.Tier.Name, cfg.Name), Planners: file.Tier.Planners,
		Rollout: file.Tier.Rollout, Seed: cfg.Settings.Config.Seed, Nonce: rand.Uint64(), Check: p.checkPolicy, Apply: p.applyPolicy,
		Health: net.HealthConfig{Zone: zoneName(cfg), ChecksPerSecond: file.Tier.ChecksPerSecond, BytesPerSecond: file.Tier.ReportBytesPerSecond}})
	p.server.SetTier(p.tier)
}

// zoneName returns the name of the zone that this proxy runs in; empty = the configuration names none.
func zoneName(cfg settings.Config) string {
	if zone := cfg.Settings.Config.Zone; zone < len(cfg.Settings.Zones) {
		return cfg.Settings.Zones[zone]
	}
	return ""
}

// checkPolicy returns why this proxy cannot serve under a policy; empty = it can.
func (p *proxy) checkPolicy(_ rollout.Number, text []byte) string {
	next, err := policy.Decode(text)
	if err == nil {
		running := policy.LocalState{InUse: func(name string) bool {
			for _, c := range p.engine.Classes() {
				if c.Name == name {
					return c.Received > 0
				}
			}
			return false
		}, Groups: func() map[int]bool {
			groups := map[int]bool{}
			for _, d := range p.engine.Databases() {
				groups[d.Group] = true
			}
			return groups
		}}
		for _, c := range p.engine.Classes() {
			running.Classes = append(running.Classes, c.Name)
		}
		err = next.Check(running)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// applyPolicy puts a policy into effect in the same way as a reload. Number 0 stands for the settings of the files.
func (p *proxy) applyPolicy(n rollout.Number, text []byte) {
	if n == 0 || n == p.policyNumber { // rejoining under the same policy keeps the state of the levels
		return
	}
	p.policyNumber = n
	slog.SetDefault(p.baseLog.With("policy", uint64(n))) // every later log line names the policy in force
	next, err := policy.Decode(text)
	if err != nil { // this proxy may have accepted it, or the planners run a later version: serving under another policy would break the tier's agreement
		slog.Error("can't apply the tier's policy; stopping", "number", uint64(n), "error", err)
		p.fatalErr = err
		p.loop.Stop()
		return
	}
	c := p.engine.Config()
	c.Classes, c.MaxAttempts, c.EnableRetryAfter, c.MaxRetryAfter = next.Classes, next.MaxAttempts, next.MayComeBack, next.MaxComeBack
	p.engine.Reload(c)
	for _, k := range next.Classes {
		p.maxRequestTime = min(max(p.maxRequestTime, k.Limit), maxRequestTimeLimit)
	}
	p.engine.ConfigureLevels(next.Levels)
	p.engine.SetHandover(next.Handover)
	p.engine.SetTuning(next.Tuning)
}

// LoadPolicy builds a tier's policy from an operator's file and the classes of a configuration.
func LoadPolicy(config, file string) (*policy.Policy, error) {
	_, document, err := readDocument(config, func() {})
	if err != nil {
		return nil, err
	}
	cfg, operatorFile, err := parseFiles(document, file)
	if err != nil {
		return nil, err
	}
	c := cfg.Settings.Config
	p := &policy.Policy{Classes: c.Classes, MaxAttempts: c.MaxAttempts, MayComeBack: c.EnableRetryAfter, MaxComeBack: c.MaxRetryAfter, Levels: operatorFile.Levels,
		Handover: operatorFile.Handover, Tuning: operatorFile.Tuning}
	return p, p.Check(policy.LocalState{})
}
