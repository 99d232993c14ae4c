package virtual

import (
	"time"

	"havenproxy/internal/state"
)

// Watch lets somebody look at all proxies again and again.
type Watch struct {
	From  time.Duration // since the run's beginning
	Every time.Duration
	Look  func(*View) (done bool) // done ends the looks
}

// View is what can be seen of a run at a moment.
type View struct {
	At time.Duration // since the run's beginning
	w  *world
}

// Proxy gives a proxy's state; nil = it is down.
func (v *View) Proxy(i int) *state.Engine {
	if n := v.w.nodes[i]; !n.dead {
		return n.front
	}
	return nil
}

// Serves tells whether a proxy is up and may take requests: it holds its lease, where there are planners.
func (v *View) Serves(i int) bool {
	n := v.w.nodes[i]
	if n.dead || n.leaving {
		return false
	}
	return n.link == nil || n.link.proxy.Ready(v.w.clock.now)
}

// Database gives a database as a proxy sees it; false = the proxy is down, or its list doesn't have the database.
func (v *View) Database(proxy, member int) (state.DatabaseView, bool) {
	n := v.w.nodes[proxy]
	if n.dead {
		return state.DatabaseView{}, false
	}
	return n.front.Database(name(member))
}

// Primary gives a group's primary by the last election; its databases' own numbers count through all groups.
func (v *View) Primary(group int) int {
	if i, ok := v.w.newest[group]; ok {
		return v.w.res.Switches[i].Member
	}
	return group * v.w.cfg.Fleet.Members
}

// Changes gives the changes of policy that were proposed so far.
func (v *View) Changes() []PolicyChange { return v.w.res.Changed }

// look begins the looks.
func (w *world) look() {
	if w.cfg.Watch == nil {
		return
	}
	var next func()
	next = func() {
		if !w.cfg.Watch.Look(&View{w.clock.now - base, w}) {
			w.at(w.clock.now+w.cfg.Watch.Every, next)
		}
	}
	w.at(base+w.cfg.Watch.From, next)
}
