package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
	"havenproxy/logic"
)

const sample = `{"discovery": "on_request", "unheard_of": [1], "fleet_size": 3, "tick": 5000, "zone": 1,
 "domain": {"freshness": ["bounded", "write"], "max_age": [800000, 0], "server_checks": "wait",
  "catch_up_wait": 100000, "session_marks": "carried", "list_role": "late", "origin_time": 613484020636},
 "request_classes": [
  {"aim": 500000, "dedup_window": 5000000, "effect": "free", "hard_limit": 1500000, "key_scope": "all", "name": "a", "worth": 1.5},
  {"aim": 1500000, "dedup_window": 1200000, "effect": "guarded", "hard_limit": 2000000, "key_scope": "cell", "late_value": 0.3, "name": "b"}],
 "limits": {"max_attempts": 8, "may_cancel": true, "probes": true, "max_retry_after": 500000},
 "reporting": {"fields": ["x0", "x1"], "how": "probe"}, "tenants": [{"name": "t", "quota_rps": 12.5}],
 "safety": {"cold": 16000000, "cold_share": 0.16, "fall_multiple": 3.0, "overload_for": 3000000}}`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(sample), 9)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Seed != 9 || c.Proxies != 3 || c.Tick != 5*time.Millisecond || c.Zone != 1 || !c.ListOnRequest || !c.SessionTokens ||
		c.LagCheck != logic.LagCheckWait || c.ListRole != logic.ListRoleLate ||
		c.Classes[0].MaxAge != 800*time.Millisecond || c.Classes[1].Scope != logic.ScopeCell ||
		c.Classes[1].DedupWindow != 1200*time.Millisecond || c.Tenants[0].Quota != 12.5 ||
		c.OverloadMultiple != 3 || s.PositionOrigin != 613484020636*time.Microsecond || len(s.ReportFields) != 2 {
		t.Errorf("%+v", s)
	}
	for want, text := range map[string]string{
		"not usable JSON":     "{",
		"domain.freshness":    strings.Replace(sample, `"bounded", `, "", 1),
		"domain.max_age":      strings.Replace(sample, "800000, 0", "800000", 1),
		`word "sometimes"`:    strings.Replace(sample, `"late", "origin`, `"sometimes", "origin`, 1),
		"request_classes[1]:": strings.Replace(sample, `"guarded"`, `"odd"`, 1),
	} {
		if _, err := Parse([]byte(text), 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

const config = `{"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
 "limits": {"memory_mb": 192, "sockets": 1024}, "settings": ` + sample + `}`

// The README starts the proxy with this configuration.
func TestExampleIsUsable(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := ParseConfig(text); err != nil || len(c.KnownDatabases.Instances) != 1 || len(c.Settings.Config.Classes) != 5 ||
		c.Settings.IdleClose != 30*time.Second || c.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v, error %v", c, err)
	}
}

func TestConfig(t *testing.T) {
	c, err := ParseConfig([]byte(config))
	if err != nil || c.Settings.Config.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.KnownDatabases.Generation != discovery.NoGeneration {
		t.Errorf("%+v, error %v", c, err)
	}
	for want, text := range map[string]string{
		"not usable JSON":     config[1:],
		"listen is missing":   strings.Replace(config, `"listen"`, `"l"`, 1),
		"seed":                strings.Replace(config, "8c1f", "zz", 1),
		"settings is missing": config[:strings.Index(config, `, "settings"`)] + "}",
		"domain.freshness":    strings.Replace(config, `"bounded", `, "", 1),
		"lifecycle":           strings.Replace(config, `"limits"`, `"known": {"instances": [{"instanceId": "a"}]}, "limits"`, 1),
	} {
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, want)
		}
	}
}

// Each invalid setting is reported in one line that names its key.
func TestASettingThatCantBeMeantIsNamed(t *testing.T) {
	for _, c := range []struct{ want, from, to string }{
		{"request_classes", `"request_classes": [`, `"request_classes": [], "others": [`},
		{"request_classes[0].hard_limit", `"hard_limit": 1500000`, `"hard_limit": -1`},
		{"request_classes[0].hard_limit", `"hard_limit": 1500000`, `"hard_limit": 1e30`},
		{"request_classes[0].hard_limit", `"hard_limit": 1500000, `, ``},
		{"request_classes[1].aim", `"aim": 1500000`, `"aim": null`},
		{"request_classes.aim", `"aim": 500000`, `"aim": "soon"`},
		{"request_classes[0].name", `"name": "a"`, `"name": ""`},
		{"request_classes[1].name", `"name": "b"`, `"name": "a"`},
		{"request_classes[1].effect", `"effect": "guarded", `, ``},
		{"request_classes[1].dedup_window", `"dedup_window": 1200000`, `"dedup_window": 0`},
		{"request_classes[0].worth", `"worth": 1.5`, `"worth": -1.5`},
		{"domain.max_age[0]", `[800000, 0]`, `[0, 0]`},
		{"domain.max_age[1]", `[800000, 0]`, `[800000, -4]`},
		{"fleet_size", `"fleet_size": 3, `, ``},
		{"tick", `"tick": 5000, `, ``},
		{"tick", `"tick": 5000`, `"tick": {}`},
		{"zone", `"zone": 1`, `"zone": -1`},
		{"zone: 3", `"zone": 1`, `"zone": 3, "zones": ["x", "y"]`},
		{"limits.max_attempts", `"max_attempts": 8`, `"max_attempts": 1.5`},
		{"limits.max_attempts", `"max_attempts": 8`, `"max_attempts": -1`},
		{"limits.connect_timeout", `"max_attempts": 8`, `"connect_timeout": -8`},
		{"limits.idle_close", `"max_attempts": 8`, `"idle_close": -8`},
		{"limits.max_retry_after", `"max_retry_after": 500000`, `"max_retry_after": -500000`},
		{"safety.cold:", `"cold": 16000000`, `"cold": -16000000`},
		{"safety.cold_share", `"cold_share": 0.16`, `"cold_share": 1.6`},
		{"safety.fall_multiple", `"fall_multiple": 3.0`, `"fall_multiple": -3.0`},
		{"safety.ask_within", `"fall_multiple": 3.0`, `"ask_within": -3.0`},
		{"safety.stop_sending_within", `"fall_multiple": 3.0`, `"stop_sending_within": -3.0`},
		{"tenants[0].quota_rps", `"quota_rps": 12.5`, `"quota_rps": -12.5`},
		{"where an object was expected", sample, `[1]`},
	} {
		text := strings.Replace(sample, c.from, c.to, 1)
		if text == sample {
			t.Fatalf("%q is not in the sample", c.from)
		}
		if _, err := Parse([]byte(text), 1); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: error %v, want one line with %q", c.to, c.from, err, c.want)
		}
	}
}

// The maximum delay of list changes depends on the settings.
func TestTheBoundOnListsComesOfTheSettings(t *testing.T) {
	for want, test := range map[time.Duration]struct {
		polled          bool
		interval, drain time.Duration
	}{
		6 * time.Second:        {true, 10 * time.Second, 2 * time.Second},
		2 * time.Second:        {true, 500 * time.Millisecond, 5 * time.Second},
		time.Second:            {false, 10 * time.Second, time.Second},
		300 * time.Millisecond: {false, 0, 10 * time.Millisecond},
	} {
		if got := listMaxDelay(test.polled, test.interval, test.drain); got != want {
			t.Errorf("%+v: %v, want %v", test, got, want)
		}
	}
}
