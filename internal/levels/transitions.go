package levels

import (
	"fmt"
	"time"
)

// Steps between levels: up to more reduced service, and down again.

// stepUp returns the level to step up to and the reason, if outcomes call for it.
func (c *Controller) stepUp(now time.Duration) (int, string, bool) {
	top := c.maxLevel()
	if c.level > top {
		return top, "capped there by the operator's file", true
	}
	if c.level == top {
		c.lossSince = 0
		return 0, "", false
	}
	loss := c.lostShare(c.level + 1)
	if loss <= c.cfg.Enter || c.level > 0 && c.pressure < 0.99 || c.recentRequests() < minRequests || !c.reducesWork(c.level+1) {
		c.lossSince = 0
		return 0, "", false
	}
	if c.lossSince == 0 {
		c.lossSince = now
	}
	if now-c.lossSince < c.cfg.EnterAfter || now-c.levelSince < effectTime && c.changeCount > 0 {
		return 0, "", false
	}
	to := c.level + 1
	total := c.totalCapacity()
	for total > 0 && to < top && c.admittedWork(to) > c.cfg.Fill*total {
		to++
	}
	return to, fmt.Sprintf("%.0f%% of the protected worth was lost for %v; asked for %.2f of the capacity seen", 100*loss,
		(now - c.lossSince).Round(10*time.Millisecond), c.admittedWork(0)/max(total, 1e-9)), true
}

// reducesWork reports whether a level, or a higher one, sheds any of the present work. Otherwise a step up would have no effect.
func (c *Controller) reducesWork(level int) bool {
	return c.admittedWork(c.level)-c.admittedWork(level) > 0.01*c.admittedWork(c.level) || level < c.maxLevel() && c.reducesWork(level+1)
}

// stepDown returns the level to step down to and the reason, if the work that would be admitted again fits into the capacity.
func (c *Controller) stepDown(now time.Duration) (int, string, bool) {
	if c.level == 0 {
		// A time without losses takes back one doubling of the dwell time.
		if c.calmSince == 0 || c.lostShare(1) > c.cfg.Leave {
			c.calmSince = now
		}
		if now-c.calmSince >= c.cfg.Calm && c.dwell > c.cfg.Dwell {
			c.dwell, c.calmSince = max(c.dwell/2, c.cfg.Dwell), now
		}
		return 0, "", false
	}
	c.calmSince = 0
	if !c.workFits() || c.pressure > 0.01 {
		c.fitsSince = 0
		return 0, "", false
	}
	if c.fitsSince == 0 {
		c.fitsSince = now
	}
	if now-c.fitsSince < c.dwell || now-c.levelSince < c.dwell || c.recentChanges(now) >= c.cfg.Fall {
		return 0, "", false
	}
	return c.level - 1, fmt.Sprintf("the work that comes back has fitted for %v: %.2f of the capacity seen, %.2f is the margin",
		(now - c.fitsSince).Round(10*time.Millisecond), c.admittedWork(c.level-1)/max(c.totalCapacity(), 1e-9), c.cfg.Margin), true
}

// workFits reports whether losses are low and the work of the level below fits into the capacity.
func (c *Controller) workFits() bool {
	total := c.totalCapacity()
	return c.lostShare(c.level) <= c.cfg.Leave && (total == 0 || c.admittedWork(c.level-1) <= c.cfg.Margin*total)
}

// recentChanges returns the number of changes within the last minute.
func (c *Controller) recentChanges(now time.Duration) (n int) {
	for i := range min(c.changeCount, len(c.changeTimes)) {
		if now-c.changeTimes[i] < time.Minute {
			n++
		}
	}
	return n
}

// changeLevel changes to a level. A step up soon after a step down doubles the dwell time.
func (c *Controller) changeLevel(now time.Duration, to int, reason string) Decision {
	d := Decision{Level: to, Changed: true, PreviousLevel: c.level, Reason: reason}
	c.pressure = 0
	if to < c.level {
		c.lastStepDown, c.pressure = now, 1
	} else if now-c.lastStepDown < c.cfg.Quick {
		c.dwell = min(2*c.dwell, c.cfg.DwellMost)
		d.Reason += fmt.Sprintf("; back within %v, so it stays for %v now", (now - c.lastStepDown).Round(100*time.Millisecond), c.dwell)
	}
	c.level, c.levelSince, c.reason = to, now, d.Reason
	c.lossSince, c.fitsSince, c.calmSince = 0, 0, 0
	c.changeTimes[c.changeCount%len(c.changeTimes)] = now
	c.changeCount++
	return d
}
