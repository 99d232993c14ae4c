package levels

import (
	"fmt"
	"time"
)

// Which level is next: when a group goes to more reduced service, and when back.

// wayUp looks at outcomes.
func (c *Controller) wayUp(now time.Duration) (int, string, bool) {
	top := c.ceiling()
	if c.level > top {
		return top, "capped there by the operator's file", true
	}
	if c.level == top {
		c.lossSince = 0
		return 0, "", false
	}
	loss := c.loss(c.level + 1)
	if loss <= c.cfg.Enter || c.level > 0 && c.pressure < 0.99 || c.requests() < enough || !c.relieves(c.level+1) {
		c.lossSince = 0
		return 0, "", false
	}
	if c.lossSince == 0 {
		c.lossSince = now
	}
	if now-c.lossSince < c.cfg.EnterAfter || now-c.since < showTime && c.changed > 0 {
		return 0, "", false
	}
	to := c.level + 1
	total := c.total()
	for total > 0 && to < top && c.work(to) > c.cfg.Fill*total {
		to++
	}
	return to, fmt.Sprintf("%.0f%% of the protected worth was lost for %v; asked for %.2f of the capacity seen", 100*loss,
		(now - c.lossSince).Round(10*time.Millisecond), c.work(0)/max(total, 1e-9)), true
}

// relieves tells whether a level takes work away at all: one that sheds what nobody asks for is no cure.
func (c *Controller) relieves(level int) bool {
	return c.work(c.level)-c.work(level) > 0.01*c.work(c.level) || level < c.ceiling() && c.relieves(level+1)
}

// wayDown looks at the work that would come back.
func (c *Controller) wayDown(now time.Duration) (int, string, bool) {
	if c.level == 0 {
		// A calm time takes the doubling back.
		if c.calmSince == 0 || c.loss(1) > c.cfg.Leave {
			c.calmSince = now
		}
		if now-c.calmSince >= c.cfg.Calm && c.dwell > c.cfg.Dwell {
			c.dwell, c.calmSince = max(c.dwell/2, c.cfg.Dwell), now
		}
		return 0, "", false
	}
	c.calmSince = 0
	if !c.fits() || c.pressure > 0.01 {
		c.fitSince = 0
		return 0, "", false
	}
	if c.fitSince == 0 {
		c.fitSince = now
	}
	if now-c.fitSince < c.dwell || now-c.since < c.dwell || c.recent(now) >= c.cfg.Fall {
		return 0, "", false
	}
	return c.level - 1, fmt.Sprintf("the work that comes back has fitted for %v: %.2f of the capacity seen, %.2f is the margin",
		(now - c.fitSince).Round(10*time.Millisecond), c.work(c.level-1)/max(c.total(), 1e-9), c.cfg.Margin), true
}

func (c *Controller) fits() bool {
	total := c.total()
	return c.loss(c.level) <= c.cfg.Leave && (total == 0 || c.work(c.level-1) <= c.cfg.Margin*total)
}

// recent counts the changes within the last minute.
func (c *Controller) recent(now time.Duration) (n int) {
	for i := range min(c.changed, len(c.changes)) {
		if now-c.changes[i] < time.Minute {
			n++
		}
	}
	return n
}

// change goes to a level.
func (c *Controller) change(now time.Duration, to int, reason string) Decision {
	d := Decision{Level: to, Changed: true, PreviousLevel: c.level, Reason: reason}
	c.pressure = 0
	if to < c.level {
		c.leftAt, c.pressure = now, 1
	} else if now-c.leftAt < c.cfg.Quick {
		c.dwell = min(2*c.dwell, c.cfg.DwellMost)
		d.Reason += fmt.Sprintf("; back within %v, so it stays for %v now", (now - c.leftAt).Round(100*time.Millisecond), c.dwell)
	}
	c.level, c.since, c.why = to, now, d.Reason
	c.lossSince, c.fitSince, c.calmSince = 0, 0, 0
	c.changes[c.changed%len(c.changes)] = now
	c.changed++
	return d
}
