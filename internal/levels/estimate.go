package levels

import (
	"math"
	"time"

	"havenproxy/logic"
)

// What a group can do and what is asked of it, as learned from its facts.

// average is a rate a second, averaged over a time. Its weight grows from nothing to one, so that it is no lower at the
// start than what was seen.
type average struct{ v, weight float64 }

func (a *average) add(x float64, dt, span time.Duration) {
	w := 1 - math.Exp(-float64(dt)/float64(span))
	a.weight += w * (1 - a.weight)
	a.v += w / a.weight * (x/dt.Seconds() - a.v)
}

// measure takes a tick's counts into the averages.
func (c *Controller) measure(f *logic.GroupStats, dt time.Duration) {
	weight := 1 - math.Exp(-float64(dt)/float64(window))
	for i := range c.offered {
		t := &f.Classes[i]
		lost := t.Late + t.Refused + t.Failed
		if c.cfg.Classes[i].Heavy && c.noPrimary > 0 {
			lost = 0
		}
		c.offered[i].add(float64(t.Offered), dt, window)
		c.served[i].add(float64(t.InTime+t.Late), dt, window)
		c.lost[i].add(float64(lost), dt, window)
		if c.cost[i] == 0 {
			c.cost[i] = t.ServiceTime.Seconds()
		}
	}
	done := 0.0
	for i := range c.served {
		done += float64(f.Classes[i].InTime+f.Classes[i].Late) * c.cost[i]
	}
	c.did = done / dt.Seconds()
	c.done.add(done, dt, learnSpan)
	c.warmth = f.WarmCapacity
	c.strain += weight * (f.LatencyRatio - c.strain)
	// Under strain answers take longer than the work in them.
	if c.level == 0 && c.strain < easy && c.loss(1) < c.cfg.Leave {
		for i := range c.cost {
			c.cost[i] += costRate * (f.Classes[i].ServiceTime.Seconds() - c.cost[i])
		}
	}
}

// work is what a level would admit, in core seconds a second.
func (c *Controller) work(level int) (w float64) {
	for i := range c.offered {
		w += c.offered[i].v * c.cfg.Ladder[level].Rules[i].Admit * c.cost[i]
	}
	return w
}

// loss is the part of the worth that is lost of the classes that a level protects: those of which it admits no less
// than now. For what a level sheds itself, going up is no cure.
func (c *Controller) loss(level int) float64 {
	level = min(level, len(c.cfg.Ladder)-1)
	lost, asked := 0.0, 0.0
	for i := range c.offered {
		admit := c.share(i)
		if to := c.cfg.Ladder[level].Rules[i].Admit; to < c.cfg.Ladder[c.level].Rules[i].Admit || admit == 0 {
			continue
		}
		lost += c.lost[i].v * c.cfg.Classes[i].Worth
		asked += c.offered[i].v * admit * c.cfg.Classes[i].Worth
	}
	if asked <= 0 {
		return 0
	}
	return min(lost/asked, 1)
}

func (c *Controller) requests() (n float64) {
	for i := range c.offered {
		n += c.offered[i].v
	}
	return n * window.Seconds()
}

// learn follows the work that one warm database does. What a strained group serves is what it can do: counted from the
// start of the strain alone, for before it less was asked, and a jump from quiet would leave the capacity far too low.
// What an easy group serves is a lower bound.
func (c *Controller) learn(dt time.Duration) {
	strained := c.loss(c.level) > c.cfg.Enter
	if !strained {
		c.spell, c.spellDid = 0, 0
	}
	if c.warmth <= 0 {
		return
	}
	each, step := c.done.v/c.warmth, learnRate*dt.Seconds()
	// Trouble makes a group serve little, and lose much, for other reasons than load. What it did in good order a while
	// ago it is taken to be able to do, less and less.
	c.healthy -= healthyFades * dt.Seconds() * c.healthy
	if c.loss(c.level) <= c.cfg.Leave && c.done.weight > 0.9 {
		c.healthy = max(c.healthy, each)
	}
	if strained {
		c.spell += dt
		c.spellDid += c.did * dt.Seconds()
		if c.spell < learnFrom {
			return
		}
		if c.spell < 2*learnSpan {
			each = c.spellDid / c.spell.Seconds() / c.warmth
		}
	}
	switch {
	case strained && c.capacity == 0:
		c.capacity = each
	case strained || each > c.capacity && c.capacity > 0:
		c.capacity += step * (each - c.capacity)
	case c.level > 0 && c.strain < easy && c.loss(c.level) <= c.cfg.Leave:
		c.capacity += hopeful * dt.Seconds() * c.capacity
	}
	if c.capacity > 0 {
		c.capacity = max(c.capacity, c.healthy)
	}
}

// press moves the pressure towards where the admitted work is what the group can do.
func (c *Controller) press(dt time.Duration) {
	if c.level == 0 {
		c.pressure = 0
		return
	}
	high, low := c.work(c.level-1), c.work(c.level)
	to := c.pressure
	if total := c.total(); total > 0 && high-low > 1e-6*high {
		to = min(max((high-c.cfg.Fill*total)/(high-low), 0), 1)
	}
	s := dt.Seconds()
	c.pressure = min(max(to, c.pressure-loosen*s), c.pressure+tighten*s)
}

// total is what the group can do now, in core seconds a second; 0 = not known.
func (c *Controller) total() float64 { return c.capacity * c.warmth }
