package scale

import (
	"runtime"
	"time"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/state"
)

// kinds are the analysis's names of the model's kinds of message.
var kinds = [virtual.MessageKinds]analysis.Kind{virtual.ProbeMessage: analysis.KindProbe, virtual.RequestMessage: analysis.KindRequest,
	virtual.ListMessage: analysis.KindList, virtual.PeerMessage: analysis.KindPeers, virtual.LeaseMessage: analysis.KindLease,
	virtual.PolicyMessage: analysis.KindPolicy, virtual.HealthMessage: analysis.KindHealth}

// directions are the analysis's names of the model's directions.
var directions = [2]analysis.Direction{virtual.Sent: analysis.Sent, virtual.Received: analysis.Received}

// traffic is what was counted of one kind in one direction.
type traffic struct{ messages, bytes *tally }

// recorder counts what crosses the edges of proxies in a window of a run. It implements virtual.Observer.
type recorder struct {
	size        analysis.Size
	from, until time.Duration               // the window
	goOn        func(at time.Duration) bool // is asked at the end of each second; nil = the run goes on

	traffic       [virtual.MessageKinds][2]traffic
	controlBytes  *tally
	probes        *tally
	probesAt      *tally // by database
	listCalls     *tally
	listBytes     *tally
	work          [virtual.WorkKinds]*tally // seconds of processor time
	connections   *tally
	requests      *tally
	wrongSends    *tally
	refused       *tally
	unserved      *tally           // refused or failed
	gateShut      *tally           // refused for want of a lease
	earlier       []state.Counters // of each proxy at the last second's end
	tallies       []*tally
	heap          uint64 // live bytes at the window's end; 0 = not measured
	measureMemory bool
}

func newRecorder(size analysis.Size, from, until time.Duration) *recorder {
	r := &recorder{size: size, from: from, until: until, earlier: make([]state.Counters, size.Proxies)}
	tallyOf := func(owners int) *tally {
		t := newTally(owners)
		r.tallies = append(r.tallies, t)
		return t
	}
	for kind := range r.traffic {
		for direction := range r.traffic[kind] {
			r.traffic[kind][direction] = traffic{tallyOf(size.Proxies), tallyOf(size.Proxies)}
		}
	}
	for work := range r.work {
		r.work[work] = tallyOf(size.Proxies)
	}
	r.controlBytes, r.probes, r.listCalls, r.listBytes = tallyOf(size.Proxies), tallyOf(size.Proxies), tallyOf(size.Proxies), tallyOf(size.Proxies)
	r.connections, r.requests, r.wrongSends = tallyOf(size.Proxies), tallyOf(size.Proxies), tallyOf(size.Proxies)
	r.refused, r.unserved, r.gateShut = tallyOf(size.Proxies), tallyOf(size.Proxies), tallyOf(size.Proxies)
	r.probesAt = tallyOf(size.Databases)
	return r
}

// Message implements virtual.Observer.
func (r *recorder) Message(m virtual.Message) {
	bytes := float64(m.Bytes)
	t := r.traffic[m.Kind][m.Direction]
	t.messages.add(m.Proxy, 1)
	t.bytes.add(m.Proxy, bytes)
	if kinds[m.Kind].Control() {
		r.controlBytes.add(m.Proxy, bytes)
	}
	switch m.Kind {
	case virtual.ProbeMessage:
		if m.Direction == virtual.Sent && !m.Handshake {
			r.probes.add(m.Proxy, 1)
			r.probesAt.add(m.Database, 1)
		}
	case virtual.ListMessage:
		r.listBytes.add(m.Proxy, bytes)
		if m.Direction == virtual.Sent {
			r.listCalls.add(m.Proxy, 1)
		}
	}
}

// Spent implements virtual.Observer.
func (r *recorder) Spent(_ time.Duration, proxy int, work virtual.Work, took time.Duration) {
	if work == virtual.PlannerWork {
		proxy = 0 // there is one planner
	}
	r.work[work].add(proxy, took.Seconds())
}

// Second implements virtual.Observer.
func (r *recorder) Second(at time.Duration, proxies []*state.Engine) bool {
	for i, front := range proxies {
		if front == nil {
			r.earlier[i] = state.Counters{}
			continue
		}
		now, before := &front.Counters, &r.earlier[i]
		r.requests.add(i, increase(now.Received, before.Received))
		r.wrongSends.add(i, increase(wrongSends(now), wrongSends(before)))
		r.refused.add(i, increase(now.Refused, before.Refused))
		r.unserved.add(i, increase(now.Refused+now.Failed, before.Refused+before.Failed))
		r.gateShut.add(i, increase(now.GateRefused, before.GateRefused))
		r.connections.add(i, float64(front.Connections()))
		*before = *now
	}
	inWindow := at > r.from && at <= r.until
	for _, t := range r.tallies {
		if inWindow {
			t.roll()
		} else {
			t.discard()
		}
	}
	if at == r.until && r.measureMemory {
		r.heap = liveHeap()
	}
	return r.goOn == nil || r.goOn(at)
}

// wrongSends counts attempts at members that could not take them.
func wrongSends(c *state.Counters) uint64 {
	return c.Misdirected + c.Rejected + c.TimedOut + c.ConnectFailed + c.Reset
}

// increase is by how much a counter has grown; one that is lower than before began anew.
func increase(now, before uint64) float64 {
	if now < before {
		return float64(now)
	}
	return float64(now - before)
}

// liveHeap gives the bytes that are reachable.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measurement puts what was counted into the analysis's terms.
func (r *recorder) measurement() analysis.Measurement {
	m := analysis.Measurement{Size: r.size, Seconds: (r.until - r.from).Seconds()}
	for kind, both := range r.traffic {
		if both[virtual.Sent].messages.total().Mean+both[virtual.Received].messages.total().Mean == 0 {
			continue
		}
		for direction, t := range both {
			m.Traffic = append(m.Traffic, analysis.Traffic{Kind: kinds[kind], Direction: directions[direction],
				Messages: t.messages.each(), Bytes: t.bytes.each()})
		}
	}
	m.ControlBytes, m.ProbesPerProxy, m.ProbesPerDatabase = r.controlBytes.each(), r.probes.each(), r.probesAt.each()
	m.DiscoveryCalls, m.DiscoveryBytes = r.listCalls.total(), r.listBytes.total()
	m.RequestsPerProxy, m.WrongSends = r.requests.each(), r.wrongSends.each()
	m.ConnectionsPerProxy = r.connections.each()
	all, databases := r.connections.total(), float64(r.size.Databases)
	m.ConnectionsPerDatabase = analysis.Sample{Mean: all.Mean / databases, Peak: all.Peak / databases, Seconds: all.Seconds}
	return m
}

// processorTime adds what decisions and state took.
func (r *recorder) processorTime(m *analysis.Measurement) {
	both := newTally(r.size.Proxies)
	control, requests := r.work[virtual.ControlWork], r.work[virtual.RequestWork]
	for i := range control.seconds {
		both.seconds = append(both.seconds, control.seconds[i]+requests.seconds[i])
	}
	both.busiest = control.busiest + requests.busiest // an upper bound: the two need not be the same proxy's
	m.ControlCPU, m.TotalCPU = control.each(), both.each()
}
