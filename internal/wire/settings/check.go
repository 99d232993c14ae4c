package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// mostMicros bounds times and all other figures, far above any that makes sense: some 300 years would not fit a time.Duration.
const mostMicros = 1e14

// readable puts what JSON says of a text into words that name the key.
func readable(at string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		field := strings.Trim(at+wrong.Field, ".")
		want := map[string]string{"float64": "a number", "int": "a whole number", "string": "a text", "bool": "true or false"}[wrong.Type.String()]
		if want == "" {
			want = "an object or a list"
		}
		if field == "" {
			return fmt.Errorf("a %s, where an object was expected", wrong.Value)
		}
		return fmt.Errorf("%s: a %s, where %s was expected", field, wrong.Value, want)
	}
	return fmt.Errorf("%snot usable JSON: %w", at, err)
}

// check names the key of the first figure that can't be meant. What is left out may be left out, but for what has no harmless default: a class
// without an effect would be taken for one that may be repeated, a proxy without the tier's size would send a cold database all that it bears.
func (j *settingsJSON) check() error {
	if len(j.Classes) == 0 {
		return errors.New("request_classes is missing or empty")
	}
	var err error
	least := func(key string, v, from float64, above bool) {
		switch {
		case err != nil:
		case above && v <= from:
			err = fmt.Errorf("%s: %v is missing or not above %v", key, v, from)
		case v < from:
			err = fmt.Errorf("%s: %v is below %v", key, v, from)
		case v > mostMicros:
			err = fmt.Errorf("%s: %v is too large", key, v)
		}
	}
	names := map[string]bool{}
	for i, c := range j.Classes {
		at := fmt.Sprintf("request_classes[%d].", i)
		switch {
		case err != nil:
		case c.Name == "" || names[c.Name]:
			err = fmt.Errorf("%sname: %q is missing, or stands twice", at, c.Name)
		case c.Effect == "":
			err = fmt.Errorf("%seffect is missing", at)
		}
		names[c.Name] = true
		least(at+"aim", c.Aim, 0, true)
		least(at+"hard_limit", c.Limit, 0, true)
		least(at+"dedup_window", c.Window, 0, c.Effect == "guarded")
		least(at+"worth", c.Worth, 0, false)
		least(at+"late_value", c.Late, 0, false)
	}
	for i, age := range j.Domain.MaxAge {
		bounded := i < len(j.Domain.Freshness) && j.Domain.Freshness[i] == "bounded"
		least(fmt.Sprintf("domain.max_age[%d]", i), age, 0, bounded)
	}
	least("fleet_size", float64(j.Fleet), 1, false)
	least("tick", j.Tick, 0, true)
	least("zone", float64(j.Zone), 0, false)
	if len(j.Zones) > 0 && j.Zone >= len(j.Zones) && err == nil {
		err = fmt.Errorf("zone: %d, of %d zones", j.Zone, len(j.Zones))
	}
	l, s := &j.Limits, &j.Safety
	least("limits.connect_timeout", l.ConnectTime, 0, false)
	least("limits.idle_close", l.IdleClose, 0, false)
	least("limits.max_attempts", float64(l.MaxAttempts), 0, false)
	least("limits.max_retry_after", l.MaxRetryAfter, 0, false)
	least("over_share_worth", j.OverShare, 0, false)
	least("safety.ask_within", s.AskWithin, 0, false)
	least("safety.stop_sending_within", s.Drain, 0, false)
	least("safety.cold", s.Cold, 0, false)
	least("safety.cold_share", s.ColdShare, 0, false)
	if s.ColdShare > 1 && err == nil {
		err = fmt.Errorf("safety.cold_share: %v is above 1", s.ColdShare)
	}
	least("safety.fall_multiple", s.Multiple, 0, false)
	for i, t := range j.Tenants {
		least(fmt.Sprintf("tenants[%d].quota_rps", i), t.Quota, 0, false)
	}
	return err
}
