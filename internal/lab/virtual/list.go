package virtual

import (
	"havenproxy/internal/lab/standin"
	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
	"havenproxy/logic"
)

func (w *world) list(kind logic.ListKind) state.List {
	entries, _, _ := w.fleet.List(w.clock.now)
	out := state.List{Kind: kind}
	for _, e := range entries {
		m := w.fleet.Members()[e.Member]
		x := state.Entry{Name: name(e.Member), Address: digits(e.Member), Zone: w.cfg.Fleet.Zones[m.Zone], Group: m.Group, State: e.State, Size: 1}
		if e.Started > 0 {
			x.Started = w.clock.Unix() - w.clock.now + e.Started
		}
		if e.State != logic.Gone {
			out.Entries = append(out.Entries, x)
		}
	}
	return out
}

func (n *node) news() {
	switch {
	case !n.watch:
	case n.w.tier.ListCalls > 0:
		n.call()
	default:
		n.countList()
		n.front.UpdateList(n.w.list(logic.ListFull))
		n.await()
	}
}

// Watch implements state.Watcher.
func (n *node) Watch(on bool) {
	n.watch = on
	n.Fetch()
}

// Fetch implements state.Watcher.
func (n *node) Fetch() { n.call() }

func (n *node) call() {
	w := n.w
	n.count(noDatabase, ListMessage, Sent, listCallBytes(discovery.NoGeneration))
	w.listed(n, func(ok bool) {
		if _, _, up := w.fleet.List(w.clock.now); !ok || !up {
			n.listFailed()
			return
		}
		n.countList()
		n.proxy(func() { n.front.UpdateList(w.list(logic.ListFull)) })
		n.await()
	})
}

func (n *node) listFailed() {
	n.count(noDatabase, ListMessage, Received, listErrorBytes)
	n.proxy(func() { n.front.ListFailed(errDown) })
}

// await models the call that waits for news, where somebody counts messages: the service ends it after a while without any, and the
// proxy calls again.
func (n *node) await() {
	w := n.w
	if w.cfg.Observer == nil || !n.watch || n.dead {
		return
	}
	n.watches++
	watch, life := n.watches, n.life
	_, generation, _ := w.fleet.List(w.clock.now)
	n.count(noDatabase, ListMessage, Sent, listCallBytes(generation))
	wait, _ := (&limit.CallSchedule{}).WatchTimeouts()
	w.at(w.clock.now+wait, func() {
		if n.watches != watch || n.life != life || !n.watch {
			return
		}
		if _, _, up := w.fleet.List(w.clock.now); !up {
			n.watch = false
			n.listFailed()
			return
		}
		n.count(noDatabase, ListMessage, Received, httpBytes(standin.EncodeList(generation, false, nil)))
		n.await()
	})
}
