package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// maxValue limits all numbers, including times in microseconds. It is far above any meaningful value. Without a limit, a
// time could overflow time.Duration, which holds about 300 years.
const maxValue = 1e14

// describeJSONError returns an error that describes a JSON decoding error for operators. For a value of the wrong type, it
// names the key, with the given prefix.
func describeJSONError(prefix string, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		field := strings.Trim(prefix+typeError.Field, ".")
		want := map[string]string{"float64": "a number", "int": "a whole number", "string": "a text", "bool": "true or false"}[typeError.Type.String()]
		if want == "" {
			want = "an object or a list"
		}
		if field == "" {
			return fmt.Errorf("a %s, where an object was expected", typeError.Value)
		}
		return fmt.Errorf("%s: a %s, where %s was expected", field, typeError.Value, want)
	}
	return fmt.Errorf("%snot usable JSON: %w", prefix, err)
}

// check returns an error that names the key of the first invalid value. A key may be missing unless its default would be
// harmful: a class without an effect would be considered safe to repeat, and a proxy without the tier's size would alone send
// a cold database as much load as the database can bear.
func (j *settingsJSON) check() error {
	if len(j.Classes) == 0 {
		return errors.New("request_classes is missing or empty")
	}
	var err error
	atLeast := func(key string, value, minimum float64, exclusive bool) {
		switch {
		case err != nil:
		case exclusive && value <= minimum:
			err = fmt.Errorf("%s: %v is missing or not above %v", key, value, minimum)
		case value < minimum:
			err = fmt.Errorf("%s: %v is below %v", key, value, minimum)
		case value > maxValue:
			err = fmt.Errorf("%s: %v is too large", key, value)
		}
	}
	names := map[string]bool{}
	for i, c := range j.Classes {
		path := fmt.Sprintf("request_classes[%d].", i)
		switch {
		case err != nil:
		case c.Name == "" || names[c.Name]:
			err = fmt.Errorf("%sname: %q is missing, or stands twice", path, c.Name)
		case c.Effect == "":
			err = fmt.Errorf("%seffect is missing", path)
		}
		names[c.Name] = true
		atLeast(path+"aim", c.Aim, 0, true)
		atLeast(path+"hard_limit", c.Limit, 0, true)
		atLeast(path+"dedup_window", c.Window, 0, c.Effect == "guarded")
		atLeast(path+"worth", c.Worth, 0, false)
		atLeast(path+"late_value", c.Late, 0, false)
	}
	for i, age := range j.Domain.MaxAge {
		bounded := i < len(j.Domain.Freshness) && j.Domain.Freshness[i] == "bounded"
		atLeast(fmt.Sprintf("domain.max_age[%d]", i), age, 0, bounded)
	}
	atLeast("fleet_size", float64(j.Fleet), 1, false)
	atLeast("tick", j.Tick, 0, true)
	atLeast("zone", float64(j.Zone), 0, false)
	if len(j.Zones) > 0 && j.Zone >= len(j.Zones) && err == nil {
		err = fmt.Errorf("zone: %d, of %d zones", j.Zone, len(j.Zones))
	}
	limits, safety := &j.Limits, &j.Safety
	atLeast("limits.connect_timeout", limits.ConnectTime, 0, false)
	atLeast("limits.idle_close", limits.IdleClose, 0, false)
	atLeast("limits.max_attempts", float64(limits.MaxAttempts), 0, false)
	atLeast("limits.max_retry_after", limits.MaxRetryAfter, 0, false)
	atLeast("over_share_worth", j.OverShare, 0, false)
	atLeast("safety.ask_within", safety.AskWithin, 0, false)
	atLeast("safety.stop_sending_within", safety.Drain, 0, false)
	atLeast("safety.cold", safety.Cold, 0, false)
	atLeast("safety.cold_share", safety.ColdShare, 0, false)
	if safety.ColdShare > 1 && err == nil {
		err = fmt.Errorf("safety.cold_share: %v is above 1", safety.ColdShare)
	}
	atLeast("safety.fall_multiple", safety.Multiple, 0, false)
	for i, t := range j.Tenants {
		atLeast(fmt.Sprintf("tenants[%d].quota_rps", i), t.Quota, 0, false)
	}
	return err
}
