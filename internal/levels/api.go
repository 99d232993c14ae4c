// Package levels decides at which level of reduced service a group of databases is run: what share of each class is
// admitted, and whether further attempts are made, so that a crowded group loses the work that is worth least and
// keeps what counts. It is pure: facts and the time are handed in each Tick, a decision comes out. It turns nothing
// away itself; package logic is told the plan and does that.
//
// The cut is that of Envoy's overload manager (monitors, triggers, actions with scaled thresholds). The way in looks
// at outcomes; the way out looks at the work that would come back, for shedding hides the overload that caused it.
package levels

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"havenproxy/logic"
)

// Rule says how one class is treated at a level.
type Rule struct {
	Admit    float64       // least share that is admitted, 0 to 1; what is needed lies between the level below and this
	Repeats  bool          // further attempts may be made
	ComeBack time.Duration // hint to those turned away
}

// Level is one level. Rules has an entry for each class of the deployment.
type Level struct {
	Name  string
	Rules []Rule
}

// Class is what the controller needs to know of a class.
type Class struct {
	Name  string
	Worth float64 // of one request in time
	Aim   time.Duration
	Heavy bool // it needs the primary: refusals for want of one are no sign of load
}

// Config sets the controller. The zero value of a setting takes the default that its comment names.
type Config struct {
	Classes []Class
	Ladder  []Level // in order; the first admits everything

	Enter      float64       // go up when so much of the worth that a higher level protects is lost; 0.08
	EnterAfter time.Duration // for so long; 1 s
	Leave      float64       // go down only while no more than this is lost; 0.02
	Fill       float64       // of the capacity seen that is admitted at a reduced level; 1.2
	Margin     float64       // and only if the work that would come back fits into this part of the capacity; 0.9
	Dwell      time.Duration // and has done so for this long; 5 s
	DwellMost  time.Duration // which doubles with each quick return, up to this; 80 s
	Quick      time.Duration // a return within this is a quick one; 20 s
	Calm       time.Duration // and a calm time of this length halves it again; 60 s
	Settle     time.Duration // outcomes are not looked at for so long after a primary is found; 1.5 s
	Blind      time.Duration // a group without a primary is looked at again after this, by its reads alone; 12 s
	Fall       int           // no way down while there were this many changes within a minute; 3

	Pin map[logic.GroupID]string // hold a group at a level; AllGroups for those not named
	Cap map[logic.GroupID]string // go no higher than a level
}

// AllGroups stands for each group that is not named.
const AllGroups logic.GroupID = -1

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	or(&c.Enter, 0.08)
	or(&c.EnterAfter, time.Second)
	or(&c.Leave, 0.02)
	or(&c.Margin, 0.9)
	or(&c.Fill, 1.2)
	or(&c.Dwell, 5*time.Second)
	or(&c.DwellMost, 80*time.Second)
	or(&c.Quick, 20*time.Second)
	or(&c.Calm, time.Minute)
	or(&c.Settle, 1500*time.Millisecond)
	or(&c.Blind, 12*time.Second)
	or(&c.Fall, 3)
	return c
}

// Validate tells what makes no sense in a configuration.
func (c *Config) Validate() error {
	if len(c.Ladder) == 0 {
		return fmt.Errorf("levels: the ladder is empty")
	}
	names := map[string]bool{}
	for i, l := range c.Ladder {
		if l.Name == "" || names[l.Name] {
			return fmt.Errorf("levels: the name %q of level %d is empty or there twice", l.Name, i)
		}
		names[l.Name] = true
		if len(l.Rules) != len(c.Classes) {
			return fmt.Errorf("levels: level %q has %d rules for %d classes", l.Name, len(l.Rules), len(c.Classes))
		}
		for k, r := range l.Rules {
			if !(r.Admit >= 0 && r.Admit <= 1) {
				return fmt.Errorf("levels: level %q admits %v of %s", l.Name, r.Admit, c.Classes[k].Name)
			}
			if i == 0 && (r.Admit != 1 || !r.Repeats) {
				return fmt.Errorf("levels: the first level, %q, must admit everything, and does not for %s", l.Name, c.Classes[k].Name)
			}
			// What a higher level gives back would make the way up a way down for that class.
			if i > 0 && r.Admit > c.Ladder[i-1].Rules[k].Admit {
				return fmt.Errorf("levels: level %q admits more of %s than %q below it", l.Name, c.Classes[k].Name, c.Ladder[i-1].Name)
			}
		}
	}
	for _, m := range []map[logic.GroupID]string{c.Pin, c.Cap} {
		for g, name := range m {
			if !names[name] {
				return fmt.Errorf("levels: group %d is held to %q, which is no level", g, name)
			}
		}
	}
	return nil
}

// DefaultLadder is the ladder that ships: classes of the highest worth are never shed; of the others, those go first that
// earn least for the time that they may take (worth over aim, the one sign of their work that the settings hold).
func DefaultLadder(classes []Class) []Level {
	most := 0.0
	for _, c := range classes {
		most = max(most, c.Worth)
	}
	var shed []int
	for i, c := range classes {
		if c.Worth < most {
			shed = append(shed, i)
		}
	}
	density := func(i int) float64 { return classes[i].Worth / max(classes[i].Aim.Seconds(), 1e-3) }
	slices.SortStableFunc(shed, func(a, b int) int { return cmp.Compare(density(a), density(b)) })
	rules := make([]Rule, len(classes))
	for i := range rules {
		rules[i] = Rule{Admit: 1, Repeats: true, ComeBack: 500 * time.Millisecond}
	}
	ladder := []Level{{"normal", rules}}
	step := func(name string, admit ...float64) {
		rules = slices.Clone(rules)
		for k, i := range shed {
			rules[i].Admit = admit[min(k, len(admit)-1)]
		}
		ladder = append(ladder, Level{name, rules})
	}
	if len(shed) > 0 {
		step("lean", 0.6, 1)
		step("spare", 0.3, 1)
		step("scarce", 0, 0.8)
		step("core", 0)
	}
	return ladder
}

// Decision is the outcome of a Tick.
type Decision struct {
	Level         int
	Changed       bool
	PreviousLevel int
	Reason        string // one plain sentence with the figures behind it; only with Changed
}

// Status is what an operator is shown of a group.
type Status struct {
	Level          int
	Name           string
	Pressure       float64   // how much of the level's shedding is in use, 0 to 1
	AdmittedShares []float64 // share admitted now, by class
	Since          time.Duration
	Reason         string
	ExitCondition  string  // what would have to happen to leave it
	OfferedWork    float64 // work asked for, in busy databases' worth
	Capacity       float64 // work that the group has been seen to do; 0 = not known yet
	LostShare      float64 // part of the protected worth
	FrozenReason   string  // why no decision is made now, if so
	RecentChanges  int     // within the last minute
	Dwell          time.Duration
}
