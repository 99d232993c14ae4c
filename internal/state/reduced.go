package state

import (
	"log/slog"
	"slices"
	"time"

	"havenproxy/internal/levels"
	"havenproxy/logic"
)

const (
	levelTick   = 100 * time.Millisecond
	keptChanges = 64 // level changes that are kept to be shown
)

// LevelChange is a change of a group's level.
type LevelChange struct {
	At       time.Duration // Unix time
	Group    int
	From, To string
	Reason   string
}

// GroupLevel is a group's level as it stands.
type GroupLevel struct {
	Group int
	levels.Status
}

// reduced runs the levels of reduced service: it tells each group's controller what the router saw, and the router
// what the controller plans.
type reduced struct {
	cfg     *levels.Config
	groups  map[logic.GroupID]*levels.Controller
	facts   logic.GroupStats
	timer   Deadline
	history []LevelChange
}

// ConfigureLevels puts levels of reduced service into force, or other ones in their place; nil ends them. A group stays at its
// level where the new ladder has one of that name. cfg must have passed its Check and is not changed any more.
func (f *Engine) ConfigureLevels(cfg *levels.Config) {
	r := &f.reduced
	now := f.clock.Now()
	was := r.groups
	r.cfg, r.groups = cfg, map[logic.GroupID]*levels.Controller{}
	if cfg == nil {
		f.Deadlines.Clear(&r.timer)
		for id := range was {
			f.planned.SetAdmission(id, nil)
		}
		return
	}
	for _, id := range slices.Clone(f.planned.Groups()) {
		c := was[id]
		if c == nil {
			continue
		}
		from := c.Status(now).Name
		d, next := c.Reconfigure(now, cfg)
		r.groups[id] = next
		f.planned.SetAdmission(id, next.Admissions())
		if d.Changed {
			f.levelChanged(id, from, d)
		}
	}
	f.Deadlines.Set(&r.timer, now+levelTick, f.levelTick)
}

func (f *Engine) levelTick() {
	r := &f.reduced
	now := f.clock.Now()
	f.Deadlines.Set(&r.timer, now+levelTick, f.levelTick)
	for _, id := range f.planned.Groups() {
		if !f.planned.GroupStats(now, id, &r.facts) {
			continue
		}
		c := r.groups[id]
		if c == nil {
			c = levels.NewController(r.cfg, id, now-1)
			r.groups[id] = c
		}
		d := c.Tick(now, &r.facts)
		f.planned.SetAdmission(id, c.Admissions())
		if d.Changed {
			f.levelChanged(id, r.cfg.Ladder[d.PreviousLevel].Name, d)
		}
	}
	if len(r.groups) > len(f.planned.Groups()) { // groups that the list has left out for long
		for id := range r.groups {
			if !slices.Contains(f.planned.Groups(), id) {
				delete(r.groups, id)
			}
		}
	}
}

func (f *Engine) levelChanged(id logic.GroupID, from string, d levels.Decision) {
	r := &f.reduced
	to := r.cfg.Ladder[d.Level].Name
	f.Counters.LevelChanges++
	slog.Info("level changed", "group", int(id), "from", from, "to", to, "reason", d.Reason)
	r.history = append(r.history, LevelChange{At: f.clock.Unix(), Group: int(id), From: from, To: to, Reason: d.Reason})
	if len(r.history) > keptChanges {
		r.history = r.history[1:]
	}
}

// Levels gives each group's level, in the groups' order; none while levels are off.
func (f *Engine) Levels() (out []GroupLevel) {
	for _, id := range f.planned.Groups() {
		if c := f.reduced.groups[id]; c != nil {
			out = append(out, GroupLevel{int(id), c.Status(f.clock.Now())})
		}
	}
	return out
}

// LevelHistory gives the last changes of level, the oldest first.
func (f *Engine) LevelHistory() []LevelChange { return slices.Clone(f.reduced.history) }

// LevelClasses tells the controller what it needs to know of the deployment's classes.
func LevelClasses(cfg logic.Config) (out []levels.Class) {
	for _, c := range cfg.Classes {
		out = append(out, levels.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Heavy: c.Read == logic.Write || c.Read == logic.Fresh})
	}
	return out
}
