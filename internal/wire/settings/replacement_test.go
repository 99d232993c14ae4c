package settings

import (
	"strings"
	"testing"
)

// A truncated file, or one with a missing key or number, is rejected at a reload, although many keys have a default at a start.
func TestCheckReplacement(t *testing.T) {
	valid := strings.Replace(config, `"max_attempts": 8`, `"max_attempts": 3`, 1)
	valid = strings.Replace(valid, `"name": "a"`, `"name": "c"`, 1)
	if err := CheckReplacement([]byte(config), []byte(strings.Replace(valid, `, "name": "b"`, ``, 1))); err == nil || !strings.Contains(err.Error(), "[1].name") {
		t.Errorf("a class without a name: %v", err)
	}
	before := config
	if err := CheckReplacement([]byte(before), []byte(valid)); err != nil {
		t.Error(err)
	}
	for name, text := range map[string]string{
		"empty":             "",
		"cut short":         valid[:len(valid)/2],
		"listen":            strings.Replace(valid, `"listen"`, `"l"`, 1),
		"limits.sockets":    strings.Replace(valid, `"sockets"`, `"s"`, 1),
		"a class's key":     strings.Replace(valid, `"dedup_window": 1200000, `, ``, 1),
		"attempts zero":     strings.Replace(valid, `"max_attempts": 3`, `"max_attempts": 0`, 1),
		"attempts text":     strings.Replace(valid, `"max_attempts": 3`, `"max_attempts": "3"`, 1),
		"attempts fraction": strings.Replace(valid, `"max_attempts": 3`, `"max_attempts": 1.5`, 1),
		"limit negative":    strings.Replace(valid, `"hard_limit": 1500000`, `"hard_limit": -1`, 1),
		"name repeated":     strings.Replace(valid, `"name": "c"`, `"name": "b"`, 1),
		"no object":         `[]`,
	} {
		if err := CheckReplacement([]byte(before), []byte(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
