package state

import (
	"slices"

	"havenproxy/logic"
)

// Reload applies the classes of another configuration and its limits on attempts and retry hints. Open requests keep
// the rules under which they were submitted; a class that is no longer configured is unknown from now on.
func (e *Engine) Reload(cfg logic.Config) {
	e.cfg.Logic.MaxAttempts, e.cfg.Logic.EnableRetryAfter, e.cfg.Logic.MaxRetryAfter = cfg.MaxAttempts, cfg.EnableRetryAfter, cfg.MaxRetryAfter
	at := e.router.Reload(cfg.Classes, cfg.MaxAttempts, cfg.EnableRetryAfter, cfg.MaxRetryAfter)
	classes := slices.Clone(e.cfg.Logic.Classes)
	e.classes = map[string]int{}
	for i, c := range cfg.Classes {
		e.classes[c.Name] = at[i]
		if at[i] == len(classes) {
			classes = append(classes, c)
		}
	}
	e.cfg.Logic.Classes = classes
	e.classCounters = append(e.classCounters, make([]ClassCounters, len(classes)-len(e.classCounters))...)
}

// Config returns the router's configuration as currently in force.
func (e *Engine) Config() logic.Config { return e.cfg.Logic }
