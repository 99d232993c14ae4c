package levels

import (
	"fmt"
	"time"

	"havenproxy/logic"
)

const (
	// averagingTime is the time constant of the averages of outcomes and work; at usual loads it covers about a second's requests.
	averagingTime = 800 * time.Millisecond
	// After a longer gap between ticks the proxy's loop was blocked. What it then finds in its sockets says nothing about the databases.
	maxTickGap = 400 * time.Millisecond
	// minRequests is the number of recent requests below which a loss is not significant.
	minRequests = 12.0
	// effectTime is how long a change must have been in effect before the next step up.
	effectTime = 1200 * time.Millisecond
	// startupTime is how long no decision is made at first, as nothing is known of the group.
	startupTime = 2 * time.Second

	capacityAveragingTime = 3 * time.Second        // time constant of the average of served work that the capacity is learned from
	minOverloadTime       = 500 * time.Millisecond // an overload lasts at least so long before the capacity is learned from it
	capacityLearnRate     = 0.3                    // part of the difference to the observed capacity that is learned per second
	// While a group is at a reduced level and its latencies are low, its capacity may be larger than was observed. It is assumed to grow by this
	// part per second, so that a step down is tried.
	capacityGrowth       = 0.03
	healthyDecay         = 0.005 // per second
	lowLatencyRatio      = 0.45
	serviceTimeLearnRate = 0.02 // part of the difference that is learned per tick, without overload

	// minWarmShare is the mean warmth of a group's members below which it is not judged; silent members count as cold.
	minWarmShare = 0.85

	maxPressureRise = 3.0 // per second
	maxPressureFall = 0.3 // per second: the work of requests that are admitted again has to become visible first
)

// Controller decides on the level of one group.
type Controller struct {
	cfg   *Config
	group logic.GroupID
	level int

	lastTick        time.Duration
	startAt         time.Duration
	levelSince      time.Duration
	reason          string    // of the last change
	offered         []average // new requests per second, by class
	served          []average // per second, by class
	lost            []average // per second, by class
	serviceTime     []float64 // seconds of work per request, by class
	tickWork        float64   // work per second that was served in the last tick
	servedWork      average   // work per second that is served, averaged for the capacity
	healthyCapacity float64   // work per second of a warm database when it last had no losses; decays
	overloadedFor   time.Duration
	overloadWork    float64 // work served during the overload
	capacity        float64 // work per second of a warm database; 0 = not known
	pressure        float64 // position between the shares of the level below, 0, and those of this level, 1
	admissions      []logic.Admission
	warmCapacity    float64 // as in logic.GroupStats
	latencyRatio    float64 // as in logic.GroupStats, averaged

	lossSince    time.Duration // of a loss that justifies a step up; 0 = none
	fitsSince    time.Duration // since when the work of the level below has fitted; 0 = it doesn't
	dwell        time.Duration
	lastStepDown time.Duration
	calmSince    time.Duration
	changeTimes  [8]time.Duration // ring buffer
	changeCount  int

	usableMembers  int
	readyMembers   int
	noPrimarySince time.Duration // 0 = there is a primary
	frozenUntil    time.Duration
	frozenReason   string
	frozenFor      time.Duration // without interruption
}

// NewController returns the controller of a group at the first level. cfg must have its defaults set and have passed Validate; it is shared and
// must not be changed.
func NewController(cfg *Config, group logic.GroupID, now time.Duration) *Controller {
	n := len(cfg.Classes)
	return &Controller{cfg: cfg, group: group, startAt: now, levelSince: now, reason: "as it started", lastTick: now, dwell: cfg.Dwell,
		offered: make([]average, n), served: make([]average, n), lost: make([]average, n), serviceTime: make([]float64, n), lastStepDown: -1 << 62,
		admissions: make([]logic.Admission, n)}
}

// Admissions returns the admissions in force, by class; nil if everything is admitted. The slice is valid until the next call.
func (c *Controller) Admissions() []logic.Admission {
	if c.level == 0 {
		return nil
	}
	for i := range c.admissions {
		r := &c.cfg.Ladder[c.level].Rules[i]
		c.admissions[i] = logic.Admission{Share: c.admittedShare(i), NoRetries: !r.Repeats, RetryAfter: r.ComeBack}
	}
	return c.admissions
}

// admittedShare returns the share of a class that is admitted now. It falls from the share of the level below to that of the level itself as the
// pressure rises from 0 to 1, so that a change of level causes no jump.
func (c *Controller) admittedShare(class int) float64 {
	to := c.cfg.Ladder[c.level].Rules[class].Admit
	if c.level == 0 {
		return to
	}
	from := c.cfg.Ladder[c.level-1].Rules[class].Admit
	return from + c.pressure*(to-from)
}

// Level returns the index of the level in force.
func (c *Controller) Level() int { return c.level }

// Tick takes the statistics since the last call and decides on the level. It should be called several times a second.
func (c *Controller) Tick(now time.Duration, stats *logic.GroupStats) Decision {
	dt := now - c.lastTick
	c.lastTick = now
	if dt <= 0 {
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	if to, ok := c.pinnedLevel(); ok {
		c.measure(stats, dt)
		var d Decision
		if to != c.level {
			d = c.changeLevel(now, to, "held there by the operator's file")
		}
		if c.pressure = 1; d.Changed {
			return d
		}
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	if c.updateFreeze(now, dt, stats) {
		// Outcomes say nothing about load now. Time in which the group is not judged counts neither as overload nor as fitting work.
		c.lossSince, c.overloadedFor, c.overloadWork = 0, 0, 0
		if c.fitsSince > 0 {
			c.fitsSince += dt
		}
		// The shares return to those of the level below, as the reason for shedding may no longer exist.
		c.pressure = max(c.pressure-maxPressureFall*dt.Seconds(), 0)
		// Without this step down, a group whose databases come and go endlessly would never leave the level.
		if c.frozenFor += dt; c.level > 0 && c.frozenFor >= max(c.cfg.Blind, c.dwell) && c.recentChanges(now) < c.cfg.Fall {
			c.frozenFor = 0
			return c.changeLevel(now, c.level-1, fmt.Sprintf("nothing could be judged for %v: %s", max(c.cfg.Blind, c.dwell), c.frozenReason))
		}
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	c.frozenFor = 0
	c.measure(stats, dt)
	if now-c.startAt < startupTime {
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	c.learnCapacity(dt)
	c.updatePressure(dt)
	if to, reason, ok := c.stepUp(now); ok {
		return c.changeLevel(now, to, reason)
	}
	if to, reason, ok := c.stepDown(now); ok {
		return c.changeLevel(now, to, reason)
	}
	return Decision{Level: c.level, PreviousLevel: c.level}
}

// pinnedLevel returns the level at which the operator pins the group; false if it is not pinned.
func (c *Controller) pinnedLevel() (int, bool) {
	name, ok := c.cfg.Pin[c.group]
	if !ok {
		name, ok = c.cfg.Pin[AllGroups]
	}
	return c.cfg.levelIndex(name), ok
}

// maxLevel returns the highest level that may be taken.
func (c *Controller) maxLevel() int {
	name, ok := c.cfg.Cap[c.group]
	if !ok {
		name, ok = c.cfg.Cap[AllGroups]
	}
	if !ok {
		return len(c.cfg.Ladder) - 1
	}
	return c.cfg.levelIndex(name)
}

func (c *Config) levelIndex(name string) int {
	for i, l := range c.Ladder {
		if l.Name == name {
			return i
		}
	}
	return 0
}

// updateFreeze reports whether outcomes are no sign of load at present, and sets the reason.
func (c *Controller) updateFreeze(now, dt time.Duration, stats *logic.GroupStats) bool {
	if dt > maxTickGap {
		c.frozenUntil = max(c.frozenUntil, now+averagingTime)
		c.frozenReason = "the proxy stood still"
	}
	if stats.UsableMembers == 0 {
		c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
		c.frozenReason = "no database of the group answers"
	}
	// While members come and go or are cold, requests are refused at any load, as the limits of such members are low.
	if stats.UsableMembers != c.usableMembers || stats.ReadyMembers != c.readyMembers {
		if c.readyMembers > 0 {
			c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
			c.frozenReason = "databases come and go"
		}
		c.usableMembers, c.readyMembers = stats.UsableMembers, stats.ReadyMembers
	}
	if stats.WarmCapacity < minWarmShare*float64(stats.ReadyMembers) {
		c.frozenUntil = max(c.frozenUntil, now+1)
		c.frozenReason = "some databases are cold or silent"
	}
	switch {
	case !stats.HasPrimary && c.noPrimarySince == 0:
		c.noPrimarySince = now
	case stats.HasPrimary && c.noPrimarySince > 0:
		c.noPrimarySince = 0
		c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
		c.frozenReason = "a primary was just found"
	}
	if c.noPrimarySince > 0 && now-c.noPrimarySince < c.cfg.Blind {
		c.frozenUntil = max(c.frozenUntil, now+1)
		c.frozenReason = "no primary is known"
	}
	if now < c.frozenUntil {
		return true
	}
	c.frozenReason = ""
	return false
}

// Reconfigure returns a controller that continues with another configuration: at the level of the same name or, if there is none, at the lowest
// level that admits no more worth than before.
func (c *Controller) Reconfigure(now time.Duration, cfg *Config) (Decision, *Controller) {
	next := NewController(cfg, c.group, now)
	old := c.cfg.Ladder[c.level]
	to := -1
	for i, l := range cfg.Ladder {
		if l.Name == old.Name {
			to = i
		}
	}
	if to < 0 {
		to = len(cfg.Ladder) - 1
		for i := len(cfg.Ladder) - 1; i >= 0; i-- {
			if admittedWorth(cfg.Ladder[i], cfg.Classes) <= admittedWorth(old, c.cfg.Classes)+1e-9 {
				to = i
			}
		}
	}
	if len(cfg.Classes) == len(c.cfg.Classes) { // what was learned of the classes is still valid
		copy(next.offered, c.offered)
		copy(next.served, c.served)
		copy(next.lost, c.lost)
		copy(next.serviceTime, c.serviceTime)
		next.servedWork = c.servedWork
	}
	next.healthyCapacity, next.usableMembers, next.readyMembers = c.healthyCapacity, c.usableMembers, c.readyMembers
	next.capacity, next.warmCapacity, next.latencyRatio, next.startAt, next.lastTick = c.capacity, c.warmCapacity, c.latencyRatio, c.startAt, c.lastTick
	next.levelSince, next.reason, next.level, next.changeTimes, next.changeCount = c.levelSince, c.reason, to, c.changeTimes, c.changeCount
	next.noPrimarySince, next.frozenUntil, next.frozenReason, next.lastStepDown = c.noPrimarySince, c.frozenUntil, c.frozenReason, c.lastStepDown
	next.dwell = min(max(c.dwell, cfg.Dwell), cfg.DwellMost)
	d := Decision{Level: to, PreviousLevel: c.level}
	if cfg.Ladder[to].Name != old.Name {
		d = next.changeLevel(now, to, fmt.Sprintf("level %q is gone from the operator's file; %q admits no more than it did", old.Name, cfg.Ladder[to].Name))
		d.PreviousLevel = c.level
	}
	if next.pressure = 0; to > 0 {
		next.pressure = 1 // the level below may be another, which must not admit more at once
	}
	return d, next
}

// admittedWorth returns the worth that a level admits of one request of each class.
func admittedWorth(l Level, classes []Class) (w float64) {
	for i, r := range l.Rules {
		w += r.Admit * classes[i].Worth
	}
	return w
}

// Status returns the group's present state.
func (c *Controller) Status(now time.Duration) Status {
	s := Status{Level: c.level, Name: c.cfg.Ladder[c.level].Name, Since: c.levelSince, Reason: c.reason, OfferedWork: c.admittedWork(0), Capacity: c.totalCapacity(),
		LostShare: c.lostShare(c.level + 1), FrozenReason: c.frozenReason, RecentChanges: c.recentChanges(now), Dwell: c.dwell}
	s.Pressure = c.pressure
	for i := range c.cfg.Classes {
		s.AdmittedShares = append(s.AdmittedShares, c.admittedShare(i))
	}
	_, pinned := c.pinnedLevel()
	switch {
	case pinned:
		s.ExitCondition = "the operator's file holds it"
	case c.level == 0:
		s.ExitCondition = fmt.Sprintf("up when over %.0f%% of the protected worth is lost for %v", 100*c.cfg.Enter, c.cfg.EnterAfter)
	case !c.workFits():
		s.ExitCondition = fmt.Sprintf("the work to come back must fall from %.2f to %.2f core s/s, and losses from %.0f%% to %.0f%%, for %v",
			c.admittedWork(c.level-1), c.cfg.Margin*c.totalCapacity(), 100*c.lostShare(c.level), 100*c.cfg.Leave, c.dwell)
	case c.recentChanges(now) >= c.cfg.Fall:
		s.ExitCondition = fmt.Sprintf("the work to come back fits; %d changes within a minute, it waits for less than %d", c.recentChanges(now), c.cfg.Fall)
	default:
		left := max(c.dwell-(now-max(c.fitsSince, c.levelSince)), 0)
		s.ExitCondition = fmt.Sprintf("the work to come back must fit for %v more", left.Round(100*time.Millisecond))
	}
	return s
}
