package settings

import (
	"encoding/json"
	"fmt"
	"sort"
)

// CheckReplacement checks whether a configuration may replace another at a reload, while requests are in progress: it must
// have all keys of the old one, and valid limits and classes. A missing key has a default at a start, but at a reload it could
// mean that the file was truncated or is only partly written. The error describes the first fault in one line. Both texts
// are a Document's ConfigJSON, so the last known list of databases may be missing.
func CheckReplacement(oldText, newText []byte) error {
	var oldConfig, newConfig map[string]any
	if err := json.Unmarshal(newText, &newConfig); err != nil {
		return fmt.Errorf("configuration: not usable JSON: %w", err)
	}
	if err := json.Unmarshal(oldText, &oldConfig); err != nil {
		return fmt.Errorf("configuration: the one before: %w", err)
	}
	if err := checkCovered("", oldConfig, newConfig); err != nil {
		return err
	}
	var parsed struct {
		Settings struct {
			Limits  map[string]any   `json:"limits"`
			Classes []map[string]any `json:"request_classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(newText, &parsed); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if maxAttempts, present := parsed.Settings.Limits["max_attempts"]; present {
		if number, ok := maxAttempts.(float64); !ok || number < 1 || number != float64(int(number)) {
			return fmt.Errorf("configuration: settings.limits.max_attempts: %v is no positive whole number", maxAttempts)
		}
	}
	if len(parsed.Settings.Classes) == 0 {
		return fmt.Errorf("configuration: settings.request_classes is empty")
	}
	names := map[any]bool{}
	for i, c := range parsed.Settings.Classes {
		for _, field := range []string{"hard_limit", "aim"} {
			if number, ok := c[field].(float64); !ok || number <= 0 {
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

// checkCovered returns an error if next lacks a key of old, also in nested objects, or has a value of another type. Each
// entry of a list must have the keys that all entries of the old list have; lists of anything but objects are not compared.
func checkCovered(path string, old, next any) error {
	switch before := old.(type) {
	case map[string]any:
		after, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("configuration: %s: no object", path)
		}
		keys := make([]string, 0, len(before))
		for k := range before {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			keyPath := k
			if path != "" {
				keyPath = path + "." + k
			}
			if _, ok := after[k]; !ok {
				return fmt.Errorf("configuration: %s is missing", keyPath)
			}
			if err := checkCovered(keyPath, before[k], after[k]); err != nil {
				return err
			}
		}
	case []any:
		after, ok := next.([]any)
		if !ok {
			return fmt.Errorf("configuration: %s: no list", path)
		}
		common := map[string]any{}
		for i, e := range before {
			object, ok := e.(map[string]any)
			if !ok {
				return nil
			}
			for k := range object {
				if i == 0 {
					common[k] = nil
				}
			}
			for k := range common {
				if _, ok := object[k]; !ok {
					delete(common, k)
				}
			}
		}
		for i, e := range after {
			if err := checkCovered(fmt.Sprintf("%s[%d]", path, i), common, e); err != nil {
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
