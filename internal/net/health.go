package net

import (
	"log/slog"

	"havenproxy/internal/labclock"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/subset"
	"havenproxy/internal/wire/tier"
)

// HealthConfig configures how health checks are shared within the tier.
type HealthConfig struct {
	Zone            string  // the zone of this proxy
	ChecksPerSecond float64 // maximum rate of this proxy; 0 = no budget is set, and each proxy checks all databases
	BytesPerSecond  float64 // maximum rate at which reports are sent
}

// enabled reports whether checks may be shared: the other proxies need to know the zone to choose the checkers.
func (c *HealthConfig) enabled() bool { return c.ChecksPerSecond > 0 && c.Zone != "" }

// sharedHealth is the state that a planner link keeps for shared health checks.
type sharedHealth struct {
	config    HealthConfig
	member    rollout.Member // the member as which this proxy shares checks; 0 = it does not
	version   uint64         // of the member list that the engine has
	connected bool           // the engine knows of this link
}

// SendReports implements state.ReportSender.
func (t *PlannerLink) SendReports(message []byte) {
	if t.conn == nil || !t.health.connected {
		return
	}
	frame, err := tier.Append(nil, &tier.Frame{Health: message})
	if err != nil {
		return
	}
	if err := t.output.write(frame); err != nil {
		t.drop()
	}
}

// shareChecks passes the tier's members to the engine as the planner's last message has left them. The planner
// accepts a member's reports on that member's own link only, so nothing is sent before the planner is known to have
// identified this link.
func (t *PlannerLink) shareChecks(m *rollout.Message) {
	h, known := &t.health, t.proxy.Membership()
	if !h.config.enabled() || t.proxy.Member() == 0 || known.Version == 0 {
		return
	}
	if h.member != t.proxy.Member() {
		h.member, h.version, h.connected = t.proxy.Member(), 0, false
		t.engine.ShareChecks(state.SharedChecksConfig{Self: subset.Proxy{ID: subset.ProxyID(h.member), Zone: h.config.Zone},
			Epoch: uint32(labclock.Wall().Unix()), ChecksPerSecond: h.config.ChecksPerSecond, BytesPerSecond: h.config.BytesPerSecond, Sender: t})
	}
	if h.version != known.Version {
		h.version = known.Version
		var members []subset.Proxy
		for _, entry := range known.Members {
			if entry.Zone != "" { // others run an earlier version or do not share: as checkers they would never report
				members = append(members, subset.Proxy{ID: subset.ProxyID(entry.Member), Zone: entry.Zone})
			}
		}
		t.engine.SetTier(members)
	}
	if m.Kind == rollout.Granted && !h.connected {
		h.connected = true
		t.engine.PlannerConnected()
	}
}

// receiveDigest handles the reports of other proxies that a planner passes on.
func (t *PlannerLink) receiveDigest(message []byte) {
	if err := t.engine.ReceiveDigest(message); err != nil {
		slog.Debug("invalid digest of health checks", "planner", t.planners[t.selector.Current()], "error", err)
	}
}
