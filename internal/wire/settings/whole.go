package settings

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Whole tells whether a configuration that is to replace another has all that the other had, and is fit to be put into force while
// requests are open. What stands for nothing at a start, a missing limit say, could be a file cut short or half written here. The error
// names the first thing missing in one line. Both texts are a document's rest: what was last known of databases need not be there again.
func CheckReplacement(before, text []byte) error {
	var old, next map[string]any
	if err := json.Unmarshal(text, &next); err != nil {
		return fmt.Errorf("configuration: not usable JSON: %w", err)
	}
	if err := json.Unmarshal(before, &old); err != nil {
		return fmt.Errorf("configuration: the one before: %w", err)
	}
	if err := covers("", old, next); err != nil {
		return err
	}
	var j struct {
		Settings struct {
			Limits  map[string]any   `json:"limits"`
			Classes []map[string]any `json:"request_classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(text, &j); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if n, given := j.Settings.Limits["max_attempts"]; given {
		if x, ok := n.(float64); !ok || x < 1 || x != float64(int(x)) {
			return fmt.Errorf("configuration: settings.limits.max_attempts: %v is no positive whole number", n)
		}
	}
	if len(j.Settings.Classes) == 0 {
		return fmt.Errorf("configuration: settings.request_classes is empty")
	}
	names := map[any]bool{}
	for i, c := range j.Settings.Classes {
		for _, field := range []string{"hard_limit", "aim"} {
			if x, ok := c[field].(float64); !ok || x <= 0 {
				return fmt.Errorf("configuration: settings.request_classes[%d].%s: %v is no positive number", i, field, c[field])
			}
		}
		if name, ok := c["name"].(string); !ok || name == "" || names[name] {
			return fmt.Errorf("configuration: settings.request_classes[%d].name: %v is empty, or stands twice", i, c["name"])
		}
		names[c["name"]] = true
	}
	return nil
}

// covers tells whether next has each key of old, in objects within it, too. Of lists of objects each entry needs the keys that all
// entries before had.
func covers(path string, old, next any) error {
	switch o := old.(type) {
	case map[string]any:
		n, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("configuration: %s: no object", path)
		}
		keys := make([]string, 0, len(o))
		for k := range o {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			at := k
			if path != "" {
				at = path + "." + k
			}
			if _, ok := n[k]; !ok {
				return fmt.Errorf("configuration: %s is missing", at)
			}
			if err := covers(at, o[k], n[k]); err != nil {
				return err
			}
		}
	case []any:
		n, ok := next.([]any)
		if !ok {
			return fmt.Errorf("configuration: %s: no list", path)
		}
		common := map[string]any{}
		for i, e := range o {
			m, ok := e.(map[string]any)
			if !ok {
				return nil
			}
			for k := range m {
				if i == 0 {
					common[k] = nil
				}
			}
			for k := range common {
				if _, ok := m[k]; !ok {
					delete(common, k)
				}
			}
		}
		for i, e := range n {
			if err := covers(fmt.Sprintf("%s[%d]", path, i), common, e); err != nil {
				return err
			}
		}
	case float64:
		if _, ok := next.(float64); !ok {
			return fmt.Errorf("configuration: %s: %v is no number", path, next)
		}
	case string:
		if _, ok := next.(string); !ok {
			return fmt.Errorf("configuration: %s: %v is no text", path, next)
		}
	case bool:
		if _, ok := next.(bool); !ok {
			return fmt.Errorf("configuration: %s: %v is neither true nor false", path, next)
		}
	}
	return nil
}
