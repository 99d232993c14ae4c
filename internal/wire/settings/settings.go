// Package settings reads what a proxy is told: the settings of its deployment, which the adapter gets too, and
// the configuration round them.
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

// Settings is what the adapter and the proxy need of an instance's settings text.
type Settings struct {
	Config logic.Config
	Origin time.Duration // positions are counted from here
	Fields []string      // the values of a load report, in order

	Zones          []string
	IdleClose      time.Duration // idle connections to databases are closed after this
	ConnectTimeout time.Duration
}

// word maps a settings word to a value; an absent word gives the zero value.
func word[T any](field, got string, known map[string]T) (T, error) {
	v, ok := known[got]
	if !ok && got != "" {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, got)
	}
	return v, nil
}

func micros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// Parse reads an instance's settings. Unknown keys are passed over.
func Parse(text []byte, seed uint64) (Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", readable("", err))
	}
	if err := j.check(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	d, l, s := &j.Domain, &j.Limits, &j.Safety
	if len(d.Freshness) != len(j.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.freshness has %d entries for %d request_classes",
			len(d.Freshness), len(j.Classes))
	}
	if len(d.MaxAge) != 0 && len(d.MaxAge) != len(j.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.max_age has %d entries for %d request_classes",
			len(d.MaxAge), len(j.Classes))
	}
	listRole, err1 := word("domain.list_role", d.ListRole, map[string]logic.ListRole{
		"none": logic.ListRoleNone, "start": logic.ListRoleStart, "late": logic.ListRoleLate})
	checks, err2 := word("domain.server_checks", d.Checks, map[string]logic.LagCheck{
		"none": logic.LagCheckNone, "refuse": logic.LagCheckRefuse, "wait": logic.LagCheckWait})
	pull, err3 := word("discovery", j.Discovery, map[string]bool{"pushed": false, "on_request": true})
	carried, err4 := word("domain.session_marks", d.Marks, map[string]bool{"remembered": false, "carried": true})
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Settings{}, err
	}
	cfg := logic.Config{
		Seed: seed, Proxies: j.Fleet, Zone: j.Zone, OverShareWorth: j.OverShare, Tick: micros(j.Tick),
		ListOnRequest: pull, ListRole: listRole, SessionTokens: carried, LagCheck: checks,
		EnableProbes: l.Probes, EnableCancel: l.MayCancel, ParallelAttempts: l.Parallel, EnableRetryAfter: l.RetryAfter,
		MaxAttempts: l.MaxAttempts, MaxRetryAfter: micros(l.MaxRetryAfter),
		ColdPeriod: micros(s.Cold), ColdShare: s.ColdShare, OverloadMultiple: s.Multiple, IgnoreGone: s.DrainOnly,
	}
	cfg.ListMaxDelay = listBound(pull, micros(s.AskWithin), micros(s.Drain))
	if l.Peers {
		cfg.MaxPeerReports = peers.MaxFacts
	}
	for i, c := range j.Classes {
		class, err := parseClass(c, d.Freshness[i])
		if err != nil {
			return Settings{}, fmt.Errorf("settings: request_classes[%d]: %w", i, err)
		}
		if len(d.MaxAge) != 0 {
			class.MaxAge = micros(d.MaxAge[i])
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, t := range j.Tenants {
		cfg.Tenants = append(cfg.Tenants, logic.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return Settings{Config: cfg, Origin: micros(d.Origin), Fields: j.Reporting.Fields,
		Zones: j.Zones, IdleClose: micros(l.IdleClose), ConnectTimeout: micros(l.ConnectTime)}, nil
}

// listBound gives by when a change of the list has to be known. A service that is asked has askWithin between two calls, four times as
// long behind one that failed, and never more than the platform's bound. An agent on the own machine has told what it has got, so there
// the time in which a drain has to be heeded runs from that moment, and asking it costs nothing.
func listBound(asked bool, askWithin, drain time.Duration) time.Duration {
	bound := limit.DefaultMaxDelay
	if asked && askWithin > 0 {
		bound = min(bound, askAgain*askWithin)
	} else if !asked && drain > 0 {
		bound = min(bound, drain)
	}
	return max(bound, leastBound)
}

const (
	askAgain   = 4                      // so many times askWithin holds the list behind a call that failed
	leastBound = 300 * time.Millisecond // below, calls would follow each other without a pause
)

func parseClass(c classJSON, freshness string) (logic.Class, error) {
	read, err1 := word("freshness", freshness, map[string]logic.Freshness{"any": logic.Any,
		"bounded": logic.Bounded, "session": logic.Session, "fresh": logic.Fresh, "write": logic.Write})
	effect, err2 := word("effect", c.Effect, map[string]logic.Effect{
		"free": logic.Idempotent, "guarded": logic.Guarded, "single_shot": logic.SingleShot})
	scope, err3 := word("key_scope", c.Scope, map[string]logic.KeyScope{
		"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell})
	if err := errors.Join(err1, err2, err3); err != nil {
		return logic.Class{}, err
	}
	return logic.Class{Name: c.Name, Read: read, Aim: micros(c.Aim), Limit: micros(c.Limit), Effect: effect,
		Scope: scope, DedupWindow: micros(c.Window), Worth: c.Worth, Late: c.Late, Stream: c.Stream}, nil
}
