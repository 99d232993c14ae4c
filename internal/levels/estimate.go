package levels

import (
	"math"
	"time"

	"havenproxy/logic"
)

// Estimates of a group's capacity and of the work that it is asked for, learned from its statistics.

// average is an exponential moving average of a rate per second. Its weight grows from 0 to 1, which corrects the bias towards 0 at the start.
type average struct{ value, weight float64 }

func (a *average) add(count float64, dt, timeConstant time.Duration) {
	w := 1 - math.Exp(-float64(dt)/float64(timeConstant))
	a.weight += w * (1 - a.weight)
	a.value += w / a.weight * (count/dt.Seconds() - a.value)
}

// measure updates the averages with the counts of a tick.
func (c *Controller) measure(stats *logic.GroupStats, dt time.Duration) {
	weight := 1 - math.Exp(-float64(dt)/float64(averagingTime))
	for i := range c.offered {
		counts := &stats.Classes[i]
		lost := counts.Late + counts.Refused + counts.Failed
		if c.cfg.Classes[i].Heavy && c.noPrimarySince > 0 {
			lost = 0
		}
		c.offered[i].add(float64(counts.Offered), dt, averagingTime)
		c.served[i].add(float64(counts.InTime+counts.Late), dt, averagingTime)
		c.lost[i].add(float64(lost), dt, averagingTime)
		if c.serviceTime[i] == 0 {
			c.serviceTime[i] = counts.ServiceTime.Seconds()
		}
	}
	work := 0.0
	for i := range c.served {
		work += float64(stats.Classes[i].InTime+stats.Classes[i].Late) * c.serviceTime[i]
	}
	c.tickWork = work / dt.Seconds()
	c.servedWork.add(work, dt, capacityAveragingTime)
	c.warmCapacity = stats.WarmCapacity
	c.latencyRatio += weight * (stats.Strain - c.latencyRatio)
	// Under overload answers take longer than the work in them, so that service times are learned only without it.
	if c.level == 0 && c.latencyRatio < lowLatencyRatio && c.lostShare(1) < c.cfg.Leave {
		for i := range c.serviceTime {
			c.serviceTime[i] += serviceTimeLearnRate * (stats.Classes[i].ServiceTime.Seconds() - c.serviceTime[i])
		}
	}
}

// admittedWork returns the work that a level would admit, in core seconds per second.
func (c *Controller) admittedWork(level int) (w float64) {
	for i := range c.offered {
		w += c.offered[i].value * c.cfg.Ladder[level].Rules[i].Admit * c.serviceTime[i]
	}
	return w
}

// lostShare returns the share of the worth that is lost of the classes that a level protects: those of which it admits no less than the present
// level. Losses of a class that the level itself sheds are no reason to go there.
func (c *Controller) lostShare(level int) float64 {
	level = min(level, len(c.cfg.Ladder)-1)
	lost, offered := 0.0, 0.0
	for i := range c.offered {
		admit := c.admittedShare(i)
		if to := c.cfg.Ladder[level].Rules[i].Admit; to < c.cfg.Ladder[c.level].Rules[i].Admit || admit == 0 {
			continue
		}
		lost += c.lost[i].value * c.cfg.Classes[i].Worth
		offered += c.offered[i].value * admit * c.cfg.Classes[i].Worth
	}
	if offered <= 0 {
		return 0
	}
	return min(lost/offered, 1)
}

func (c *Controller) recentRequests() (n float64) {
	for i := range c.offered {
		n += c.offered[i].value
	}
	return n * averagingTime.Seconds()
}

// learnCapacity updates the estimate of the work that one warm database can do. An overloaded group serves as much as it can. Only the work since
// the overload began counts, as less was asked for before; otherwise the capacity would be far too low after a jump from low load. What a group
// serves without overload is a lower bound.
func (c *Controller) learnCapacity(dt time.Duration) {
	overloaded := c.lostShare(c.level) > c.cfg.Enter
	if !overloaded {
		c.overloadedFor, c.overloadWork = 0, 0
	}
	if c.warmCapacity <= 0 {
		return
	}
	perDatabase, step := c.servedWork.value/c.warmCapacity, capacityLearnRate*dt.Seconds()
	// Faults other than overload also make a group serve little and lose much. So the capacity does not fall below the work that was recently
	// served without losses, which decays.
	c.healthyCapacity -= healthyDecay * dt.Seconds() * c.healthyCapacity
	if c.lostShare(c.level) <= c.cfg.Leave && c.servedWork.weight > 0.9 {
		c.healthyCapacity = max(c.healthyCapacity, perDatabase)
	}
	if overloaded {
		c.overloadedFor += dt
		c.overloadWork += c.tickWork * dt.Seconds()
		if c.overloadedFor < minOverloadTime {
			return
		}
		if c.overloadedFor < 2*capacityAveragingTime {
			perDatabase = c.overloadWork / c.overloadedFor.Seconds() / c.warmCapacity
		}
	}
	switch {
	case overloaded && c.capacity == 0:
		c.capacity = perDatabase
	case overloaded || perDatabase > c.capacity && c.capacity > 0:
		c.capacity += step * (perDatabase - c.capacity)
	case c.level > 0 && c.latencyRatio < lowLatencyRatio && c.lostShare(c.level) <= c.cfg.Leave:
		c.capacity += capacityGrowth * dt.Seconds() * c.capacity
	}
	if c.capacity > 0 {
		c.capacity = max(c.capacity, c.healthyCapacity)
	}
}

// updatePressure moves the pressure towards the value at which the admitted work matches the capacity.
func (c *Controller) updatePressure(dt time.Duration) {
	if c.level == 0 {
		c.pressure = 0
		return
	}
	upper, lower := c.admittedWork(c.level-1), c.admittedWork(c.level)
	target := c.pressure
	if total := c.totalCapacity(); total > 0 && upper-lower > 1e-6*upper {
		target = min(max((upper-c.cfg.Fill*total)/(upper-lower), 0), 1)
	}
	seconds := dt.Seconds()
	c.pressure = min(max(target, c.pressure-maxPressureFall*seconds), c.pressure+maxPressureRise*seconds)
}

// totalCapacity returns the work that the group can do now, in core seconds per second; 0 = not known.
func (c *Controller) totalCapacity() float64 { return c.capacity * c.warmCapacity }
