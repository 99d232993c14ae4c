package levels

import (
	"fmt"
	"time"

	"havenproxy/logic"
)

const (
	// Outcomes and work are averaged over this, with the weight of a second's requests at the usual loads.
	window = 800 * time.Millisecond
	// Standing still for longer than this, the loop has seen nothing of what came meanwhile; what it finds in its
	// sockets then says nothing of the databases.
	stoodStill = 400 * time.Millisecond
	// So many requests at least are looked at before a loss is believed.
	enough = 12.0
	// After a change its effect has to show before the next one up.
	showTime = 1200 * time.Millisecond
	// At the start nothing is known of the group.
	startTime = 2 * time.Second

	learnSpan = 3 * time.Second        // over which a group's served work is averaged, for its capacity
	learnFrom = 500 * time.Millisecond // so much of a strain is seen before anything is learned of it
	learnRate = 0.3                    // of the way from the capacity in hand to what is seen, a second
	// While a group is reduced and its answers come easily, its capacity may be larger than was seen: it is taken to
	// grow by this part a second, so that the way back is tried.
	hopeful      = 0.03
	healthyFades = 0.005 // a second
	easy         = 0.45  // strain up to which answers come easily
	costRate     = 0.02  // how fast a class's cost is learned, a tick, in calm

	// A group whose members are colder than this on the mean, the silent ones counted as wholly cold, is not judged.
	warmEnough = 0.85

	tighten = 3.0 // the most that the pressure rises a second,
	loosen  = 0.3 // and falls: sessions that are let in again must show their work first
)

// Controller decides for one group.
type Controller struct {
	cfg   *Config
	group logic.GroupID
	level int

	last     time.Duration // the last tick
	startAt  time.Duration
	since    time.Duration // of the level
	why      string
	offered  []average // a second, by class: what was asked for anew
	served   []average
	lost     []average
	cost     []float64     // seconds of work a request, by class
	did      float64       // work a second that was served in the last tick
	done     average       // work a second that is served, averaged for the capacity
	healthy  float64       // work a second of one warm database, as last seen without losses; fades
	spell    time.Duration // how long losses have gone on without a break,
	spellDid float64       // and the work done in it
	capacity float64       // work a second of one warm database; 0 = not known
	pressure float64       // how far the shares have gone from the level below to this one, 0 to 1
	plan     []logic.Admission
	warmth   float64
	strain   float64

	lossSince time.Duration // of a loss worth a way up; 0 = none
	fitSince  time.Duration // the work that would come back fits since then; 0 = it doesn't
	dwell     time.Duration
	leftAt    time.Duration // the last way down
	calmSince time.Duration
	changes   [8]time.Duration
	changed   int

	usable      int // members, as last told
	members     int
	noPrimary   time.Duration // since when there is none; 0 = there is one
	frozenUntil time.Duration
	frozen      string
	unjudged    time.Duration // how long it has been frozen without a break
}

// NewController makes the controller of a group. cfg must have passed Check, with its defaults filled in; it is
// shared and not changed.
func NewController(cfg *Config, group logic.GroupID, now time.Duration) *Controller {
	n := len(cfg.Classes)
	return &Controller{cfg: cfg, group: group, startAt: now, since: now, why: "as it started", last: now, dwell: cfg.Dwell,
		offered: make([]average, n), served: make([]average, n), lost: make([]average, n), cost: make([]float64, n), leftAt: -1 << 62,
		plan: make([]logic.Admission, n)}
}

// Admissions gives the admissions in force; nil where everything is admitted. The slice is the controller's: it follows
// each Tick.
func (c *Controller) Admissions() []logic.Admission {
	if c.level == 0 {
		return nil
	}
	for i := range c.plan {
		r := &c.cfg.Ladder[c.level].Rules[i]
		c.plan[i] = logic.Admission{Share: c.share(i), NoRetries: !r.Repeats, RetryAfter: r.ComeBack}
	}
	return c.plan
}

// share is the part of a class that is admitted now: the level's own share is its floor, which is reached under full
// pressure; without any, the share of the level below still holds. So a change of level is no jump.
func (c *Controller) share(class int) float64 {
	to := c.cfg.Ladder[c.level].Rules[class].Admit
	if c.level == 0 {
		return to
	}
	from := c.cfg.Ladder[c.level-1].Rules[class].Admit
	return from + c.pressure*(to-from)
}

// Level is the level in force.
func (c *Controller) Level() int { return c.level }

// Tick takes what happened since the last one and decides.
func (c *Controller) Tick(now time.Duration, f *logic.GroupStats) Decision {
	dt := now - c.last
	c.last = now
	if dt <= 0 {
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	if to, ok := c.held(); ok {
		c.measure(f, dt)
		var d Decision
		if to != c.level {
			d = c.change(now, to, "held there by the operator's file")
		}
		if c.pressure = 1; d.Changed {
			return d
		}
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	if c.freeze(now, dt, f) {
		// What is seen now says nothing of load. It starts again from what it knew; time in which nothing was seen is
		// no calm either.
		c.lossSince, c.spell, c.spellDid = 0, 0, 0
		if c.fitSince > 0 {
			c.fitSince += dt
		}
		// What it sheds is let in again as far as the level below goes: the reason for it may be gone.
		c.pressure = max(c.pressure-loosen*dt.Seconds(), 0)
		// Where databases come and go without end there would never be a way out.
		if c.unjudged += dt; c.level > 0 && c.unjudged >= max(c.cfg.Blind, c.dwell) && c.recent(now) < c.cfg.Fall {
			c.unjudged = 0
			return c.change(now, c.level-1, fmt.Sprintf("nothing could be judged for %v: %s", max(c.cfg.Blind, c.dwell), c.frozen))
		}
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	c.unjudged = 0
	c.measure(f, dt)
	if now-c.startAt < startTime {
		return Decision{Level: c.level, PreviousLevel: c.level}
	}
	c.learn(dt)
	c.press(dt)
	if to, reason, ok := c.wayUp(now); ok {
		return c.change(now, to, reason)
	}
	if to, reason, ok := c.wayDown(now); ok {
		return c.change(now, to, reason)
	}
	return Decision{Level: c.level, PreviousLevel: c.level}
}

// held tells the level that the operator holds the group at.
func (c *Controller) held() (int, bool) {
	name, ok := c.cfg.Pin[c.group]
	if !ok {
		name, ok = c.cfg.Pin[AllGroups]
	}
	return c.cfg.index(name), ok
}

// ceiling is the highest level that may be taken.
func (c *Controller) ceiling() int {
	name, ok := c.cfg.Cap[c.group]
	if !ok {
		name, ok = c.cfg.Cap[AllGroups]
	}
	if !ok {
		return len(c.cfg.Ladder) - 1
	}
	return c.cfg.index(name)
}

func (c *Config) index(name string) int {
	for i, l := range c.Ladder {
		if l.Name == name {
			return i
		}
	}
	return 0
}

// freeze tells of times in which outcomes are no sign of load, and keeps why.
func (c *Controller) freeze(now, dt time.Duration, f *logic.GroupStats) bool {
	if dt > stoodStill {
		c.frozenUntil = max(c.frozenUntil, now+window)
		c.frozen = "the proxy stood still"
	}
	if f.UsableMembers == 0 {
		c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
		c.frozen = "no database of the group answers"
	}
	// Members that come and go, and cold ones, make their group refuse at any load: what each bears is bounded then.
	if f.UsableMembers != c.usable || f.ReadyMembers != c.members {
		if c.members > 0 {
			c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
			c.frozen = "databases come and go"
		}
		c.usable, c.members = f.UsableMembers, f.ReadyMembers
	}
	if f.WarmCapacity < warmEnough*float64(f.ReadyMembers) {
		c.frozenUntil = max(c.frozenUntil, now+1)
		c.frozen = "some databases are cold or silent"
	}
	switch {
	case !f.HasPrimary && c.noPrimary == 0:
		c.noPrimary = now
	case f.HasPrimary && c.noPrimary > 0:
		c.noPrimary = 0
		c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
		c.frozen = "a primary was just found"
	}
	if c.noPrimary > 0 && now-c.noPrimary < c.cfg.Blind {
		c.frozenUntil = max(c.frozenUntil, now+1)
		c.frozen = "no primary is known"
	}
	if now < c.frozenUntil {
		return true
	}
	c.frozen = ""
	return false
}

// Reconfigure goes on under another configuration: at the level of the same name, or, where that is gone, at the first that
// admits no more than was admitted.
func (c *Controller) Reconfigure(now time.Duration, cfg *Config) (Decision, *Controller) {
	n := NewController(cfg, c.group, now)
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
			if admits(cfg.Ladder[i], cfg.Classes) <= admits(old, c.cfg.Classes)+1e-9 {
				to = i
			}
		}
	}
	if len(cfg.Classes) == len(c.cfg.Classes) { // what was learned of the databases still holds
		copy(n.offered, c.offered)
		copy(n.served, c.served)
		copy(n.lost, c.lost)
		copy(n.cost, c.cost)
		n.done = c.done
	}
	n.healthy, n.usable, n.members = c.healthy, c.usable, c.members
	n.capacity, n.warmth, n.strain, n.startAt, n.last = c.capacity, c.warmth, c.strain, c.startAt, c.last
	n.since, n.why, n.level, n.changes, n.changed = c.since, c.why, to, c.changes, c.changed
	n.noPrimary, n.frozenUntil, n.frozen, n.leftAt = c.noPrimary, c.frozenUntil, c.frozen, c.leftAt
	n.dwell = min(max(c.dwell, cfg.Dwell), cfg.DwellMost)
	d := Decision{Level: to, PreviousLevel: c.level}
	if cfg.Ladder[to].Name != old.Name {
		d = n.change(now, to, fmt.Sprintf("level %q is gone from the operator's file; %q admits no more than it did", old.Name, cfg.Ladder[to].Name))
		d.PreviousLevel = c.level
	}
	if n.pressure = 0; to > 0 {
		n.pressure = 1 // the level below may be another: nothing is let in again by that alone
	}
	return d, n
}

// admits is the worth that a level lets in of one request of each class.
func admits(l Level, classes []Class) (w float64) {
	for i, r := range l.Rules {
		w += r.Admit * classes[i].Worth
	}
	return w
}

// Status tells what an operator wants to know.
func (c *Controller) Status(now time.Duration) Status {
	s := Status{Level: c.level, Name: c.cfg.Ladder[c.level].Name, Since: c.since, Reason: c.why, OfferedWork: c.work(0), Capacity: c.total(),
		LostShare: c.loss(c.level + 1), FrozenReason: c.frozen, RecentChanges: c.recent(now), Dwell: c.dwell}
	s.Pressure = c.pressure
	for i := range c.cfg.Classes {
		s.AdmittedShares = append(s.AdmittedShares, c.share(i))
	}
	_, pinned := c.held()
	switch {
	case pinned:
		s.ExitCondition = "the operator's file holds it"
	case c.level == 0:
		s.ExitCondition = fmt.Sprintf("up when over %.0f%% of the protected worth is lost for %v", 100*c.cfg.Enter, c.cfg.EnterAfter)
	case !c.fits():
		s.ExitCondition = fmt.Sprintf("the work to come back must fall from %.2f to %.2f core s/s, and losses from %.0f%% to %.0f%%, for %v",
			c.work(c.level-1), c.cfg.Margin*c.total(), 100*c.loss(c.level), 100*c.cfg.Leave, c.dwell)
	case c.recent(now) >= c.cfg.Fall:
		s.ExitCondition = fmt.Sprintf("the work to come back fits; %d changes within a minute, it waits for less than %d", c.recent(now), c.cfg.Fall)
	default:
		left := max(c.dwell-(now-max(c.fitSince, c.since)), 0)
		s.ExitCondition = fmt.Sprintf("the work to come back must fit for %v more", left.Round(100*time.Millisecond))
	}
	return s
}
