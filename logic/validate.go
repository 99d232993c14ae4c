package logic

import "fmt"

// validate applies the defaults to cfg.Tuning and returns an error that names the first invalid field.
func validate(cfg *Config, actions Actions) error {
	cfg.Tuning = cfg.Tuning.WithDefaults()
	switch {
	case actions == nil:
		return fmt.Errorf("logic: no Actions given")
	case len(cfg.Classes) == 0:
		return fmt.Errorf("logic: Config.Classes is empty")
	case cfg.Tick <= 0:
		return fmt.Errorf("logic: Config.Tick is %v, must be above zero", cfg.Tick)
	case cfg.ColdShare < 0 || cfg.ColdShare > 1:
		return fmt.Errorf("logic: Config.ColdShare is %v, must be within 0 and 1", cfg.ColdShare)
	}
	for i, c := range cfg.Classes {
		switch {
		case c.Aim <= 0 || c.Limit <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): Aim and Limit must be above zero", i, c.Name)
		case c.Read > Write || c.Effect > SingleShot:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): unknown Read or Effect", i, c.Name)
		case c.Read == Bounded && c.MaxAge <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): a bounded read needs MaxAge", i, c.Name)
		case c.Effect == Guarded && c.DedupWindow <= 0:
			return fmt.Errorf("logic: Config.Classes[%d] (%s): a guarded class needs DedupWindow", i, c.Name)
		}
	}
	return nil
}
