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
  {"aim": 1500000, "dedup_window": 1200000, "effect": "guarded", "hard_limit": 2000000, "key_scope": "cell", "late_value": 0.3}],
 "limits": {"max_attempts": 8, "may_cancel": true, "probes": true, "max_retry_after": 500000},
 "reporting": {"fields": ["x0", "x1"], "how": "probe"}, "tenants": [{"name": "t", "quota_rps": 12.5}],
 "safety": {"cold": 16000000, "cold_share": 0.16, "fall_multiple": 3.0, "overload_for": 3000000}}`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(sample), 9)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Seed != 9 || c.Fronts != 3 || c.Tick != 5*time.Millisecond || c.Zone != 1 || !c.Pull || !c.Carried ||
		c.Checks != logic.ChecksWait || c.ListRole != logic.ListRoleLate ||
		c.Classes[0].MaxAge != 800*time.Millisecond || c.Classes[1].Scope != logic.ScopeCell ||
		c.Classes[1].DedupWindow != 1200*time.Millisecond || c.Tenants[0].Quota != 12.5 ||
		c.FallMultiple != 3 || s.Origin != 613484020636*time.Microsecond || len(s.Fields) != 2 {
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

// The configuration that the README starts the proxy with.
func TestExampleIsUsable(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := ParseConfig(text); err != nil || len(c.Known.Instances) != 1 || len(c.Settings.Config.Classes) != 5 ||
		c.Settings.IdleClose != 30*time.Second || c.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v, error %v", c, err)
	}
}

func TestConfig(t *testing.T) {
	c, err := ParseConfig([]byte(config))
	if err != nil || c.Settings.Config.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.Known.Generation != discovery.NoList {
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
