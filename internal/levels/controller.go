package levels

import (
	"fmt"
	"math"
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

// average is a rate a second, averaged over a time. Its weight grows from nothing to one, so that it is no lower at the
// start than what was seen.
type average struct{ v, weight float64 }

func (a *average) add(x float64, dt, span time.Duration) {
	w := 1 - math.Exp(-float64(dt)/float64(span))
	a.weight += w * (1 - a.weight)
	a.v += w / a.weight * (x/dt.Seconds() - a.v)
}

// NewController makes the controller of a group. cfg must have passed Check, with its defaults filled in; it is
// shared and not changed.
func NewController(cfg *Config, group logic.GroupID, now time.Duration) *Controller {
	n := len(cfg.Classes)
	return &Controller{cfg: cfg, group: group, startAt: now, since: now, why: "as it started", last: now, dwell: cfg.Dwell,
		offered: make([]average, n), served: make([]average, n), lost: make([]average, n), cost: make([]float64, n), leftAt: -1 << 62,
		plan: make([]logic.Admission, n)}
}

// Plan gives the admissions in force; nil where everything is admitted. The slice is the controller's: it follows
// each Tick.
func (c *Controller) Plan() []logic.Admission {
	if c.level == 0 {
		return nil
	}
	for i := range c.plan {
		r := &c.cfg.Ladder[c.level].Rules[i]
		c.plan[i] = logic.Admission{Share: c.share(i), NoRepeats: !r.Repeats, ComeBack: r.ComeBack}
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
func (c *Controller) Tick(now time.Duration, f *logic.GroupFacts) Decision {
	dt := now - c.last
	c.last = now
	if dt <= 0 {
		return Decision{Level: c.level, From: c.level}
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
		return Decision{Level: c.level, From: c.level}
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
		return Decision{Level: c.level, From: c.level}
	}
	c.unjudged = 0
	c.measure(f, dt)
	if now-c.startAt < startTime {
		return Decision{Level: c.level, From: c.level}
	}
	c.learn(dt)
	c.press(dt)
	if to, reason, ok := c.wayUp(now); ok {
		return c.change(now, to, reason)
	}
	if to, reason, ok := c.wayDown(now); ok {
		return c.change(now, to, reason)
	}
	return Decision{Level: c.level, From: c.level}
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
func (c *Controller) freeze(now, dt time.Duration, f *logic.GroupFacts) bool {
	if dt > stoodStill {
		c.frozenUntil = max(c.frozenUntil, now+window)
		c.frozen = "the proxy stood still"
	}
	if f.Usable == 0 {
		c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
		c.frozen = "no database of the group answers"
	}
	// Members that come and go, and cold ones, make their group refuse at any load: what each bears is bounded then.
	if f.Usable != c.usable || f.Members != c.members {
		if c.members > 0 {
			c.frozenUntil = max(c.frozenUntil, now+c.cfg.Settle)
			c.frozen = "databases come and go"
		}
		c.usable, c.members = f.Usable, f.Members
	}
	if f.Warmth < warmEnough*float64(f.Members) {
		c.frozenUntil = max(c.frozenUntil, now+1)
		c.frozen = "some databases are cold or silent"
	}
	switch {
	case !f.Primary && c.noPrimary == 0:
		c.noPrimary = now
	case f.Primary && c.noPrimary > 0:
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

// measure takes a tick's counts into the averages.
func (c *Controller) measure(f *logic.GroupFacts, dt time.Duration) {
	weight := 1 - math.Exp(-float64(dt)/float64(window))
	for i := range c.offered {
		t := &f.Classes[i]
		lost := t.Late + t.Refused + t.Failed
		if c.cfg.Classes[i].Heavy && c.noPrimary > 0 {
			lost = 0
		}
		c.offered[i].add(float64(t.Offered), dt, window)
		c.served[i].add(float64(t.InAim+t.Late), dt, window)
		c.lost[i].add(float64(lost), dt, window)
		if c.cost[i] == 0 {
			c.cost[i] = t.Cost.Seconds()
		}
	}
	done := 0.0
	for i := range c.served {
		done += float64(f.Classes[i].InAim+f.Classes[i].Late) * c.cost[i]
	}
	c.did = done / dt.Seconds()
	c.done.add(done, dt, learnSpan)
	c.warmth = f.Warmth
	c.strain += weight * (f.Strain - c.strain)
	// Under strain answers take longer than the work in them.
	if c.level == 0 && c.strain < easy && c.loss(1) < c.cfg.Leave {
		for i := range c.cost {
			c.cost[i] += costRate * (f.Classes[i].Cost.Seconds() - c.cost[i])
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
	d := Decision{Level: to, Changed: true, From: c.level, Reason: reason}
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

// Adopt goes on under another configuration: at the level of the same name, or, where that is gone, at the first that
// admits no more than was admitted.
func (c *Controller) Adopt(now time.Duration, cfg *Config) (Decision, *Controller) {
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
	d := Decision{Level: to, From: c.level}
	if cfg.Ladder[to].Name != old.Name {
		d = n.change(now, to, fmt.Sprintf("level %q is gone from the operator's file; %q admits no more than it did", old.Name, cfg.Ladder[to].Name))
		d.From = c.level
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
	s := Status{Level: c.level, Name: c.cfg.Ladder[c.level].Name, Since: c.since, Why: c.why, Offered: c.work(0), Capacity: c.total(),
		Lost: c.loss(c.level + 1), Frozen: c.frozen, Changes: c.recent(now), Dwell: c.dwell}
	s.Pressure = c.pressure
	for i := range c.cfg.Classes {
		s.Admit = append(s.Admit, c.share(i))
	}
	_, pinned := c.held()
	switch {
	case pinned:
		s.Leave = "the operator's file holds it"
	case c.level == 0:
		s.Leave = fmt.Sprintf("up when over %.0f%% of the protected worth is lost for %v", 100*c.cfg.Enter, c.cfg.EnterAfter)
	case !c.fits():
		s.Leave = fmt.Sprintf("the work to come back must fall from %.2f to %.2f core s/s, and losses from %.0f%% to %.0f%%, for %v",
			c.work(c.level-1), c.cfg.Margin*c.total(), 100*c.loss(c.level), 100*c.cfg.Leave, c.dwell)
	case c.recent(now) >= c.cfg.Fall:
		s.Leave = fmt.Sprintf("the work to come back fits; %d changes within a minute, it waits for less than %d", c.recent(now), c.cfg.Fall)
	default:
		left := max(c.dwell-(now-max(c.fitSince, c.since)), 0)
		s.Leave = fmt.Sprintf("the work to come back must fit for %v more", left.Round(100*time.Millisecond))
	}
	return s
}
