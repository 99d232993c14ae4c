// Package settings parses a proxy's configuration and the deployment's settings that it contains. The simulator's adapter
// gets the same settings.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/wire/peers"
	"havenproxy/logic"
)

// classJSON is the JSON form of a request class. Times are in microseconds.
type classJSON struct {
	Name   string  `json:"name"`
	Aim    float64 `json:"aim"`
	Limit  float64 `json:"hard_limit"`
	Effect string  `json:"effect"`
	Scope  string  `json:"key_scope"`
	Stream bool    `json:"stream"`
	Window float64 `json:"dedup_window"`
	Worth  float64 `json:"worth"`
	Late   float64 `json:"late_value"`
}

// settingsJSON is the JSON form of the settings. Times are in microseconds.
type settingsJSON struct {
	Fleet     int         `json:"fleet_size"`
	Classes   []classJSON `json:"request_classes"`
	Discovery string      `json:"discovery"`
	Domain    struct {
		Freshness []string  `json:"freshness"`
		ListRole  string    `json:"list_role"`
		MaxAge    []float64 `json:"max_age"`
		Origin    float64   `json:"origin_time"`
		Checks    string    `json:"server_checks"`
		Marks     string    `json:"session_marks"`
	} `json:"domain"`
	Limits struct {
		ConnectTime   float64 `json:"connect_timeout"`
		IdleClose     float64 `json:"idle_close"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		MayCancel     bool    `json:"may_cancel"`
		Parallel      bool    `json:"parallel_tries"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	OverShare float64 `json:"over_share_worth"`
	Reporting struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"reporting"`
	Safety struct {
		AskWithin float64 `json:"ask_within"`
		Drain     float64 `json:"stop_sending_within"`
		Cold      float64 `json:"cold"`
		ColdShare float64 `json:"cold_share"`
		Multiple  float64 `json:"fall_multiple"`
		DrainOnly bool    `json:"drain_binds_alone"`
	} `json:"safety"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
	Tick float64 `json:"tick"`
	Zone int     `json:"zone"`

	Zones []string `json:"zones"`
}

// Settings holds the parsed settings of an instance, as the adapter and the proxy need them.
type Settings struct {
	Config         logic.Config
	PositionOrigin time.Duration // time from which positions are counted
	ReportFields   []string      // names of the values in a load report, in order

	Zones          []string
	IdleClose      time.Duration // time after which idle connections to databases are closed
	ConnectTimeout time.Duration
}

// parseEnum returns the value of text, or the zero value if text is empty. For an unknown text, it returns an error that names
// the field.
func parseEnum[T any](field, text string, values map[string]T) (T, error) {
	value, ok := values[text]
	if !ok && text != "" {
		return value, fmt.Errorf("settings: %s: unknown word %q", field, text)
	}
	return value, nil
}

func micros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// Parse parses and checks an instance's settings. It ignores unknown keys. The error names the invalid key.
func Parse(text []byte, seed uint64) (Settings, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", describeJSONError("", err))
	}
	if err := parsed.check(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	domain, limits, safety := &parsed.Domain, &parsed.Limits, &parsed.Safety
	if len(domain.Freshness) != len(parsed.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.freshness has %d entries for %d request_classes",
			len(domain.Freshness), len(parsed.Classes))
	}
	if len(domain.MaxAge) != 0 && len(domain.MaxAge) != len(parsed.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.max_age has %d entries for %d request_classes",
			len(domain.MaxAge), len(parsed.Classes))
	}
	listRole, err1 := parseEnum("domain.list_role", domain.ListRole, map[string]logic.ListRole{
		"none": logic.ListRoleNone, "start": logic.ListRoleStart, "late": logic.ListRoleLate})
	lagCheck, err2 := parseEnum("domain.server_checks", domain.Checks, map[string]logic.LagCheck{
		"none": logic.LagCheckNone, "refuse": logic.LagCheckRefuse, "wait": logic.LagCheckWait})
	onRequest, err3 := parseEnum("discovery", parsed.Discovery, map[string]bool{"pushed": false, "on_request": true})
	sessionTokens, err4 := parseEnum("domain.session_marks", domain.Marks, map[string]bool{"remembered": false, "carried": true})
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Settings{}, err
	}
	cfg := logic.Config{
		Seed: seed, Proxies: parsed.Fleet, Zone: parsed.Zone, OverShareWorth: parsed.OverShare, Tick: micros(parsed.Tick),
		ListOnRequest: onRequest, ListRole: listRole, SessionTokens: sessionTokens, LagCheck: lagCheck,
		EnableProbes: limits.Probes, EnableCancel: limits.MayCancel, ParallelAttempts: limits.Parallel, EnableRetryAfter: limits.RetryAfter,
		MaxAttempts: limits.MaxAttempts, MaxRetryAfter: micros(limits.MaxRetryAfter),
		ColdPeriod: micros(safety.Cold), ColdShare: safety.ColdShare, OverloadMultiple: safety.Multiple, IgnoreGone: safety.DrainOnly,
	}
	cfg.ListMaxDelay = listMaxDelay(onRequest, micros(safety.AskWithin), micros(safety.Drain))
	if limits.Peers {
		cfg.MaxPeerReports = peers.MaxReports
	}
	for i, c := range parsed.Classes {
		class, err := parseClass(c, domain.Freshness[i])
		if err != nil {
			return Settings{}, fmt.Errorf("settings: request_classes[%d]: %w", i, err)
		}
		if len(domain.MaxAge) != 0 {
			class.MaxAge = micros(domain.MaxAge[i])
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, t := range parsed.Tenants {
		cfg.Tenants = append(cfg.Tenants, logic.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return Settings{Config: cfg, PositionOrigin: micros(domain.Origin), ReportFields: parsed.Reporting.Fields,
		Zones: parsed.Zones, IdleClose: micros(limits.IdleClose), ConnectTimeout: micros(limits.ConnectTime)}, nil
}

// listMaxDelay returns the time within which a change of the member list must be known. A polled service is called every
// pollInterval, and after four times as long if a call failed, but the delay never exceeds the platform's bound. An agent on
// the same machine pushes changes as it gets them, so the time allowed for a drain starts at that moment, and polling the
// agent costs nothing.
func listMaxDelay(polled bool, pollInterval, drainDelay time.Duration) time.Duration {
	bound := limit.DefaultMaxDelay
	if polled && pollInterval > 0 {
		bound = min(bound, failedPollIntervals*pollInterval)
	} else if !polled && drainDelay > 0 {
		bound = min(bound, drainDelay)
	}
	return max(bound, minListDelay)
}

const (
	failedPollIntervals = 4                      // the list stays valid for so many poll intervals after a failed call
	minListDelay        = 300 * time.Millisecond // with a shorter delay, calls would follow each other without a pause
)

func parseClass(c classJSON, freshness string) (logic.Class, error) {
	read, err1 := parseEnum("freshness", freshness, map[string]logic.Freshness{"any": logic.Any,
		"bounded": logic.Bounded, "session": logic.Session, "fresh": logic.Fresh, "write": logic.Write})
	effect, err2 := parseEnum("effect", c.Effect, map[string]logic.Effect{
		"free": logic.Idempotent, "guarded": logic.Guarded, "single_shot": logic.SingleShot})
	scope, err3 := parseEnum("key_scope", c.Scope, map[string]logic.KeyScope{
		"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell})
	if err := errors.Join(err1, err2, err3); err != nil {
		return logic.Class{}, err
	}
	return logic.Class{Name: c.Name, Read: read, Aim: micros(c.Aim), Limit: micros(c.Limit), Effect: effect,
		Scope: scope, DedupWindow: micros(c.Window), Worth: c.Worth, Late: c.Late, Stream: c.Stream}, nil
}
