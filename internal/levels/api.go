// Package levels decides at which level of reduced service a group of databases runs. A level sets which share of each class of requests is
// admitted, and whether retries are allowed, so that an overloaded group sheds the work of the lowest worth and serves the rest. The package
// does no I/O and reads no clock: each Tick takes statistics and the time and returns a decision. The shedding itself is done by package logic,
// which is given the resulting admissions.
//
// The division into measurements, triggers and actions with scaled thresholds follows Envoy's overload manager. Steps up depend on outcomes.
// Steps down depend on the work that would be admitted again, as shedding hides the overload that caused it.
package levels

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havenproxy/logic"
)

// Rule defines how one class is treated at a level.
type Rule struct {
	Admit    float64       // least share that is admitted, 0 to 1; the actual share lies between that of the level below and this one
	Repeats  bool          // retries are allowed
	ComeBack time.Duration // retry hint for rejected requests
}

// Level is one level of reduced service. Rules has one entry for each class of the deployment.
type Level struct {
	Name  string
	Rules []Rule
}

// Class holds what the controller needs to know of a class.
type Class struct {
	Name  string
	Worth float64 // of a request that is answered in time
	Aim   time.Duration
	Heavy bool // it needs the primary, so that refusals are no sign of overload while there is none
}

// Config configures the controllers. A zero field takes the default that its comment names.
type Config struct {
	Classes []Class
	Ladder  []Level // from full service to the most reduced; the first level admits everything

	Enter      float64       // step up when more than this share of the protected worth is lost; default 0.08
	EnterAfter time.Duration // for this long; default 1 s
	Leave      float64       // step down only while at most this share is lost; default 0.02
	Fill       float64       // work that is admitted at a reduced level, relative to the known capacity; default 1.2
	Margin     float64       // step down only if the work that would be admitted fits into this part of the capacity; default 0.9
	Dwell      time.Duration // and has fitted for this long; default 5 s
	DwellMost  time.Duration // Dwell doubles with each quick return to a higher level, up to this; default 80 s
	Quick      time.Duration // a return within this time after a step down is a quick one; default 20 s
	Calm       time.Duration // at the first level, Dwell halves again after each such time without losses; default 60 s
	Settle     time.Duration // outcomes are ignored for this long after a primary is found; default 1.5 s
	Blind      time.Duration // a group without a primary is judged again after this time, by its reads only; default 12 s
	Fall       int           // no step down while there were this many changes within a minute; default 3

	Pin map[logic.GroupID]string // fixed level of a group; AllGroups for those not named
	Cap map[logic.GroupID]string // highest level of a group; AllGroups for those not named
}

// AllGroups stands for each group that is not named.
const AllGroups logic.GroupID = -1

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns the configuration with a default for each field that is zero.
func (c Config) WithDefaults() Config {
	setDefault(&c.Enter, 0.08)
	setDefault(&c.EnterAfter, time.Second)
	setDefault(&c.Leave, 0.02)
	setDefault(&c.Margin, 0.9)
	setDefault(&c.Fill, 1.2)
	setDefault(&c.Dwell, 5*time.Second)
	setDefault(&c.DwellMost, 80*time.Second)
	setDefault(&c.Quick, 20*time.Second)
	setDefault(&c.Calm, time.Minute)
	setDefault(&c.Settle, 1500*time.Millisecond)
	setDefault(&c.Blind, 12*time.Second)
	setDefault(&c.Fall, 3)
	return c
}

// Validate returns an error for the first inconsistency of the ladder, the pins or the caps.
func (c *Config) Validate() error {
	if len(c.Ladder) == 0 {
		return fmt.Errorf("levels: the ladder is empty")
	}
	names := map[string]bool{}
	for i, level := range c.Ladder {
		if level.Name == "" || names[level.Name] {
			return fmt.Errorf("levels: the name %q of level %d is empty or there twice", level.Name, i)
		}
		names[level.Name] = true
		if len(level.Rules) != len(c.Classes) {
			return fmt.Errorf("levels: level %q has %d rules for %d classes", level.Name, len(level.Rules), len(c.Classes))
		}
		for class, rule := range level.Rules {
			if !(rule.Admit >= 0 && rule.Admit <= 1) {
				return fmt.Errorf("levels: level %q admits %v of %s", level.Name, rule.Admit, c.Classes[class].Name)
			}
			if i == 0 && (rule.Admit != 1 || !rule.Repeats) {
				return fmt.Errorf("levels: the first level, %q, must admit everything, and does not for %s", level.Name, c.Classes[class].Name)
			}
			// Otherwise a step up would admit more of that class.
			if i > 0 && rule.Admit > c.Ladder[i-1].Rules[class].Admit {
				return fmt.Errorf("levels: level %q admits more of %s than %q below it", level.Name, c.Classes[class].Name, c.Ladder[i-1].Name)
			}
		}
	}
	for _, levelNames := range []map[logic.GroupID]string{c.Pin, c.Cap} {
		for group, name := range levelNames {
			if !names[name] {
				return fmt.Errorf("levels: group %d is held to %q, which is no level", group, name)
			}
		}
	}
	return nil
}

// DefaultLadder returns the default ladder. Classes of the highest worth are never shed. The others are shed in ascending order of worth per
// time of their aims, as the aim is the only setting that indicates their work.
func DefaultLadder(classes []Class) []Level {
	highest := 0.0
	for _, c := range classes {
		highest = max(highest, c.Worth)
	}
	var shed []int
	for i, c := range classes {
		if c.Worth < highest {
			shed = append(shed, i)
		}
	}
	worthRate := func(i int) float64 { return classes[i].Worth / max(classes[i].Aim.Seconds(), 1e-3) }
	slices.SortStableFunc(shed, func(a, b int) int { return cmp.Compare(worthRate(a), worthRate(b)) })
	rules := make([]Rule, len(classes))
	for i := range rules {
		rules[i] = Rule{Admit: 1, Repeats: true, ComeBack: 500 * time.Millisecond}
	}
	ladder := []Level{{"normal", rules}}
	addLevel := func(name string, admit ...float64) {
		rules = slices.Clone(rules)
		for k, i := range shed {
			rules[i].Admit = admit[min(k, len(admit)-1)]
		}
		ladder = append(ladder, Level{name, rules})
	}
	if len(shed) > 0 {
		addLevel("lean", 0.6, 1)
		addLevel("spare", 0.3, 1)
		addLevel("scarce", 0, 0.8)
		addLevel("core", 0)
	}
	return ladder
}

// Decision is the result of a Tick.
type Decision struct {
	Level         int
	Changed       bool
	PreviousLevel int
	Reason        string // a sentence with the figures that led to the change; set if Changed is
}

// Status describes the present state of a group, for display.
type Status struct {
	Level          int
	Name           string
	Pressure       float64   // how much of the level's shedding is in effect, 0 to 1
	AdmittedShares []float64 // share that is admitted now, by class
	Since          time.Duration
	Reason         string
	ExitCondition  string  // what has to happen before the level is left
	OfferedWork    float64 // work of all requests, in core seconds per second
	Capacity       float64 // work that the group can do, as far as observed; 0 = not known yet
	LostShare      float64 // share of the protected worth
	FrozenReason   string  // why no decision is made now; empty if decisions are made
	RecentChanges  int     // within the last minute
	Dwell          time.Duration
}
