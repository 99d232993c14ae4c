package virtual

import (
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/state"
)

// MessageKind says what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	ProbeMessage   MessageKind = iota // a health check of a database, and its answer
	RequestMessage                    // a statement, and its answer
	ListMessage                       // a call for the list, and its answer
	PeerMessage                       // a datagram between proxies
	LeaseMessage                      // a lease that is asked for, and granted
	PolicyMessage                     // all else between a proxy and a planner
	HealthMessage                     // what checkers report by planners, where health checks are shared
	MessageKinds                      // how many there are
)

// Direction is a message's, as its proxy sees it.
type Direction uint8

// The directions.
const (
	Sent Direction = iota
	Received
)

// Message is one that crosses the edge of a proxy, with its size as the wire's codecs encode it.
type Message struct {
	At        time.Duration // since the run's beginning
	Proxy     int
	Database  int // that it goes to or comes from; -1 = none
	Kind      MessageKind
	Direction Direction
	Bytes     int // of payload, without the headers of TCP, UDP and IP
	Handshake bool
}

// Work tells what a proxy's processor time was spent for.
type Work uint8

// The kinds of work.
const (
	ControlWork Work = iota // health checks, lists, peers, leases, timers
	RequestWork             // clients' requests and their answers
	PlannerWork             // the leading planner's decisions; it is no proxy's
	WorkKinds               // how many there are
)

// Observer is told what happens at the edges of proxies.
type Observer interface {
	Message(Message)
	// Spent tells of the true time that decisions and state took, on this machine; only with Config.Clocked.
	Spent(at time.Duration, proxy int, work Work, took time.Duration)
	// Second is called at the end of each second, with all proxies; nil stands for one that is down. False ends the run.
	Second(at time.Duration, proxies []*state.Engine) bool
}

const (
	noDatabase = -1 // in a message that no database sent or gets
	noProxy    = -1 // of work that no proxy does
)

func (n *node) count(database int, kind MessageKind, d Direction, bytes int) {
	if o := n.w.cfg.Observer; o != nil {
		o.Message(Message{At: n.w.clock.now - base, Proxy: n.i, Database: database, Kind: kind, Direction: d, Bytes: bytes})
	}
}

// countOpening counts the handshake of a connection by what it is first used for.
func (c *conn) countOpening(kind MessageKind) {
	o := c.w.cfg.Observer
	if c.opened || o == nil {
		return
	}
	c.opened = true
	m := Message{At: c.w.clock.now - base, Proxy: c.n.i, Database: c.m, Kind: kind, Direction: Sent, Bytes: startupBytes, Handshake: true}
	o.Message(m)
	m.Direction, m.Bytes = Received, welcomeBytes
	o.Message(m)
}

func (n *node) countAnswer(database int, r *request, p fleet.Reply) {
	if n.w.cfg.Observer != nil {
		n.count(database, RequestMessage, Received, n.w.codec.answer(r, p, n.w.clock.Unix()-n.w.clock.now+p.Position))
	}
}

func (n *node) countReport(database int, r fleet.Report) {
	if n.w.cfg.Observer != nil {
		n.count(database, ProbeMessage, Received, n.w.codec.report(r, n.w.clock.Unix()-n.w.clock.now+r.Position))
	}
}

func (n *node) countList() {
	if n.w.cfg.Observer != nil {
		n.count(noDatabase, ListMessage, Received, n.w.listBytes())
	}
}

// observe lets the observer look at all proxies at the end of each second.
func (w *world) observe() {
	if w.cfg.Observer == nil {
		return
	}
	at := w.clock.now + time.Second
	w.at(at, func() {
		fronts := make([]*state.Engine, len(w.nodes))
		for i, n := range w.nodes {
			if !n.dead {
				fronts[i] = n.front
			}
		}
		w.stopped = !w.cfg.Observer.Second(w.clock.now-base, fronts)
		w.observe()
	})
}
