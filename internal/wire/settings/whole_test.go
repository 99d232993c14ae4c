package settings

import (
	"strings"
	"testing"
)

// A file cut short, or with a key or a number missing, changes nothing: at a start much of that stands for a default.
func TestWhole(t *testing.T) {
	ok := strings.Replace(config, `"max_attempts": 8`, `"max_attempts": 3`, 1)
	ok = strings.Replace(ok, `"name": "a"`, `"name": "c"`, 1)
	if err := CheckReplacement([]byte(config), []byte(strings.Replace(ok, `, "name": "b"`, ``, 1))); err == nil || !strings.Contains(err.Error(), "[1].name") {
		t.Errorf("a class without a name: %v", err)
	}
	before := config
	if err := CheckReplacement([]byte(before), []byte(ok)); err != nil {
		t.Error(err)
	}
	for what, text := range map[string]string{
		"empty":           "",
		"cut short":       ok[:len(ok)/2],
		"listen":          strings.Replace(ok, `"listen"`, `"l"`, 1),
		"limits.sockets":  strings.Replace(ok, `"sockets"`, `"s"`, 1),
		"a class's key":   strings.Replace(ok, `"dedup_window": 1200000, `, ``, 1),
		"attempts zero":   strings.Replace(ok, `"max_attempts": 3`, `"max_attempts": 0`, 1),
		"attempts a word": strings.Replace(ok, `"max_attempts": 3`, `"max_attempts": "3"`, 1),
		"attempts part":   strings.Replace(ok, `"max_attempts": 3`, `"max_attempts": 1.5`, 1),
		"deadline below":  strings.Replace(ok, `"hard_limit": 1500000`, `"hard_limit": -1`, 1),
		"name twice":      strings.Replace(ok, `"name": "c"`, `"name": "b"`, 1),
		"no object":       `[]`,
	} {
		if err := CheckReplacement([]byte(before), []byte(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", what, err)
		}
	}
}
