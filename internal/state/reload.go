package state

import (
	"slices"

	"havenproxy/logic"
)

// Reload puts the classes of another configuration into force, and its limits on attempts and on hints. What is open goes on under the
// rules by which it was taken; a class that is not named any more is unknown from now on.
func (f *Engine) Reload(cfg logic.Config) {
	f.cfg.Logic.MaxAttempts, f.cfg.Logic.EnableRetryAfter, f.cfg.Logic.MaxRetryAfter = cfg.MaxAttempts, cfg.EnableRetryAfter, cfg.MaxRetryAfter
	at := f.planned.Reload(cfg.Classes, cfg.MaxAttempts, cfg.EnableRetryAfter, cfg.MaxRetryAfter)
	classes := slices.Clone(f.cfg.Logic.Classes)
	f.classes = map[string]int{}
	for i, c := range cfg.Classes {
		f.classes[c.Name] = at[i]
		if at[i] == len(classes) {
			classes = append(classes, c)
		}
	}
	f.cfg.Logic.Classes = classes
	f.perClass = append(f.perClass, make([]ClassCounters, len(classes)-len(f.perClass))...)
}

// Config gives what the router was told, as far as it is in force now.
func (f *Engine) Config() logic.Config { return f.cfg.Logic }
