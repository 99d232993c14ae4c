package main

// kereste returns settings like those of the site kereste-stok, for a tier of so many proxies.
func kereste(proxies int) map[string]any {
	class := func(name string, aimMs, limitMs, worth, late float64, effect, scope string) map[string]any {
		return map[string]any{"name": name, "aim": aimMs * 1000, "hard_limit": limitMs * 1000, "worth": worth, "late_value": late, "effect": effect,
			"key_scope": scope, "dedup_window": 3e6, "stream": false}
	}
	return map[string]any{
		"discovery": "on_request", "domain_type": "replicas", "fleet_size": proxies, "me": 0, "tick": 5000, "tier": 0, "tiers": []string{"stok-db"},
		"zone": 0, "zones": []string{"merkez-ofis", "testere-hane", "depo-bina"}, "flavors": []string{"standart-3c"},
		"weight_kind": "nominal", "worth_by": "request", "over_share_worth": 0.1, "tenants": []any{},
		"clients": map[string]any{"marks_retry": false},
		"domain": map[string]any{"freshness": []string{"bounded", "session", "any", "fresh", "write"}, "max_age": []float64{300000, 0, 0, 0, 0},
			"list_role": "none", "server_checks": "wait", "catch_up_wait": 20000, "session_marks": "carried", "stamps": true, "sync": false,
			"report_x0": "position in seconds after zero", "report_x1": "1 from a primary"},
		"limits": map[string]any{"connect_timeout": 250000, "idle_close": 30000000, "max_attempts": 6, "max_open": 20000, "max_retry_after": 500000,
			"may_cancel": true, "multiplex": 1, "parallel_tries": false, "peers": false, "probes": true, "retry_after": true},
		"reporting": map[string]any{"fields": []string{"x0", "x1", "inflight"}, "how": "probe"},
		"request_classes": []any{
			class("stok-bakis", 300, 1200, 3, 0, "free", "all"),
			class("kendi-siparis", 300, 750, 1, 0, "free", "all"),
			class("katalog", 200, 800, 1, 0, "free", "all"),
			class("yukleme-kontrol", 300, 1200, 3, 0.2, "free", "all"),
			class("kayit-yaz", 600, 3000, 3, 0.3, "guarded", "cell")},
		"safety": map[string]any{"ask_within": 10e6, "cold": 13e6, "cold_share": 0.18, "fall_multiple": 2.5, "grace_to_answer": 20000, "overload_for": 2e6,
			"stop_sending_within": 2e6},
	}
}
