package virtual

import (
	"time"

	"havenproxy/internal/state"
)

// node is one proxy.
type node struct {
	w     *world
	i     int
	zone  int
	front *state.Engine
	life  int  // counts starts; what was under way in an earlier life is lost
	dead  bool // between two lives
	// leaving: it has been told to end and takes nothing new.
	leaving bool
	conns   map[*conn]struct{}
	late    time.Duration // it stands still until then
	inbox   []func()      // what waits for it
	watch   bool
	link    *plannerLink   // nil = there is no planner
	watches int            // counts calls to the list's service that wait for news
	wake    state.Deadline // its own first deadline, among the world's
	armed   time.Duration
}

// proxy does something at the proxy that is no request's, once it has the time.
func (n *node) proxy(do func()) { n.act(ControlWork, do) }

// act does a kind of work at the proxy, once it has the time.
func (n *node) act(work Work, do func()) {
	if n.dead {
		return
	}
	if n.w.clock.now < n.late {
		n.inbox = append(n.inbox, do)
		return
	}
	if n.w.cfg.Clocked {
		defer n.clocked(n.w.stopwatch(), work, &n.w.res.InProxies)
	}
	do()
	n.arm()
}

// clocked adds the true time that something took.
func (n *node) clocked(began time.Duration, work Work, to *time.Duration) {
	took := n.w.stopwatch() - began
	*to += took
	if o := n.w.cfg.Observer; o != nil {
		o.Spent(n.w.clock.now-base, n.i, work, took)
	}
}

// stopwatch reads the clock by which work is measured.
func (w *world) stopwatch() time.Duration {
	if w.cfg.Stopwatch != nil {
		return w.cfg.Stopwatch()
	}
	return time.Since(processStart)
}

// arm sees to it that the proxy is looked at when its first deadline is due. So a step costs nothing for the proxies that it
// doesn't concern.
func (n *node) arm() {
	at, ok := n.front.Deadlines.Next()
	if !ok {
		return
	}
	if at = max(at, n.late); n.armed == 0 || at < n.armed {
		n.armed = at
		n.w.todo.Set(&n.wake, at, n.due)
	}
}

func (n *node) due() {
	n.armed = 0
	if n.dead {
		return
	}
	if n.w.cfg.Clocked {
		defer n.clocked(n.w.stopwatch(), ControlWork, &n.w.res.InTimers)
	}
	if n.w.clock.now >= n.late {
		n.front.Deadlines.Run(n.w.clock.now)
	}
	n.arm()
}
