package net

import (
	"log/slog"

	"havenproxy/internal/labclock"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/subset"
	"havenproxy/internal/wire/tier"
)

// HealthConfig says how health checks are shared with the tier.
type HealthConfig struct {
	Zone            string  // of this proxy
	ChecksPerSecond float64 // of this proxy at most; 0 = no budget is set, and each proxy checks all
	BytesPerSecond  float64 // that it may send for reports
}

// shares tells whether checks may be shared: others have to know the zone, to choose checkers by.
func (c *HealthConfig) shares() bool { return c.ChecksPerSecond > 0 && c.Zone != "" }

// tierHealth is what a link to the planners keeps for shared health checks.
type tierHealth struct {
	config    HealthConfig
	member    rollout.Member // as which this proxy shares checks; 0 = it doesn't
	version   uint64         // of the list of members that the front was told
	connected bool           // the front knows of this link
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
	if _, err := t.conn.Write(frame); err != nil {
		t.drop()
	}
}

// shareChecks follows the tier's members, as the planner's last message has left them. The planner believes a member's reports on its own
// link only, so that nothing is sent before it is known to have taken this link for one.
func (t *PlannerLink) shareChecks(m *rollout.Message) {
	h, known := &t.health, t.side.Membership()
	if !h.config.shares() || t.side.Member() == 0 || known.Version == 0 {
		return
	}
	if h.member != t.side.Member() {
		h.member, h.version, h.connected = t.side.Member(), 0, false
		t.front.ShareChecks(state.SharedChecksConfig{Self: subset.Proxy{ID: subset.ProxyID(h.member), Zone: h.config.Zone},
			Epoch: uint32(labclock.Wall().Unix()), ChecksPerSecond: h.config.ChecksPerSecond, BytesPerSecond: h.config.BytesPerSecond, Sender: t})
	}
	if h.version != known.Version {
		h.version = known.Version
		var members []subset.Proxy
		for _, entry := range known.Members {
			if entry.Zone != "" { // others run an earlier version, or don't share: they would be checkers that never report
				members = append(members, subset.Proxy{ID: subset.ProxyID(entry.Member), Zone: entry.Zone})
			}
		}
		t.front.SetTier(members)
	}
	if m.Kind == rollout.Granted && !h.connected {
		h.connected = true
		t.front.PlannerConnected()
	}
}

// digest takes what a planner passes on of others' reports.
func (t *PlannerLink) digest(message []byte) {
	if err := t.front.ReceiveDigest(message); err != nil {
		slog.Debug("a digest of health checks can't be read", "planner", t.planners[t.seek.Current()], "error", err)
	}
}
