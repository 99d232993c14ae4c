package state

import (
	"log/slog"
	"slices"
	"time"

	"havenproxy/internal/levels"
	"havenproxy/logic"
)

const (
	levelInterval   = 100 * time.Millisecond
	maxLevelHistory = 64
)

// LevelChange is a change of a group's service level.
type LevelChange struct {
	At       time.Duration // Unix time
	Group    int
	From, To string
	Reason   string
}

// GroupLevel is the current service level of a group.
type GroupLevel struct {
	Group int
	levels.Status
}

// levelControl runs the levels of reduced service. It passes the router's facts about each group to the group's
// controller, and the controller's plan to the router.
type levelControl struct {
	cfg     *levels.Config
	groups  map[logic.GroupID]*levels.Controller
	facts   logic.GroupStats
	timer   Deadline
	history []LevelChange
}

// ConfigureLevels sets or replaces the levels of reduced service; nil disables them. A group keeps its level if the
// new ladder has one of the same name. cfg must have passed Validate and must not be modified afterwards.
func (e *Engine) ConfigureLevels(cfg *levels.Config) {
	r := &e.levels
	now := e.clock.Now()
	previous := r.groups
	r.cfg, r.groups = cfg, map[logic.GroupID]*levels.Controller{}
	if cfg == nil {
		e.Deadlines.Clear(&r.timer)
		for id := range previous {
			e.router.SetAdmission(id, nil)
		}
		return
	}
	for _, id := range slices.Clone(e.router.Groups()) {
		c := previous[id]
		if c == nil {
			continue
		}
		from := c.Status(now).Name
		d, next := c.Reconfigure(now, cfg)
		r.groups[id] = next
		e.router.SetAdmission(id, next.Admissions())
		if d.Changed {
			e.levelChanged(id, from, d)
		}
	}
	e.Deadlines.Set(&r.timer, now+levelInterval, e.levelTick)
}

func (e *Engine) levelTick() {
	r := &e.levels
	now := e.clock.Now()
	e.Deadlines.Set(&r.timer, now+levelInterval, e.levelTick)
	for _, id := range e.router.Groups() {
		if !e.router.GroupStats(now, id, &r.facts) {
			continue
		}
		c := r.groups[id]
		if c == nil {
			c = levels.NewController(r.cfg, id, now-1)
			r.groups[id] = c
		}
		d := c.Tick(now, &r.facts)
		e.router.SetAdmission(id, c.Admissions())
		if d.Changed {
			e.levelChanged(id, r.cfg.Ladder[d.PreviousLevel].Name, d)
		}
	}
	if len(r.groups) > len(e.router.Groups()) { // remove groups that have long been missing from the list
		for id := range r.groups {
			if !slices.Contains(e.router.Groups(), id) {
				delete(r.groups, id)
			}
		}
	}
}

func (e *Engine) levelChanged(id logic.GroupID, from string, d levels.Decision) {
	r := &e.levels
	to := r.cfg.Ladder[d.Level].Name
	e.Counters.LevelChanges++
	slog.Info("level changed", "group", int(id), "from", from, "to", to, "reason", d.Reason)
	r.history = append(r.history, LevelChange{At: e.clock.Unix(), Group: int(id), From: from, To: to, Reason: d.Reason})
	if len(r.history) > maxLevelHistory {
		r.history = r.history[1:]
	}
}

// Levels returns the level of each group, in the groups' order; empty while levels are disabled.
func (e *Engine) Levels() (out []GroupLevel) {
	for _, id := range e.router.Groups() {
		if c := e.levels.groups[id]; c != nil {
			out = append(out, GroupLevel{int(id), c.Status(e.clock.Now())})
		}
	}
	return out
}

// LevelHistory returns the last changes of level, oldest first.
func (e *Engine) LevelHistory() []LevelChange { return slices.Clone(e.levels.history) }

// LevelClasses returns the deployment's classes as the level controller needs them.
func LevelClasses(cfg logic.Config) (out []levels.Class) {
	for _, c := range cfg.Classes {
		out = append(out, levels.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Heavy: c.Read == logic.Write || c.Read == logic.Fresh})
	}
	return out
}
