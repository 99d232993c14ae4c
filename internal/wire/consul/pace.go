package consul

import (
	"math/rand/v2"
	"time"
)

// Pace says when the next call goes out, with which index, and to which agent. It is pure.
type Pacer struct {
	Agents int
	Rand   *rand.Rand

	index    uint64
	agent    int
	failures int
	quick    int // answers in a row that came at once and told nothing new
}

const (
	// A blocking query that answers at once without news, again and again, must not be called in a tight loop: an agent that
	// ignores `wait`, or a service whose index moves with every heartbeat.
	quickAfter = 3
	quickPause = time.Second
	atOnce     = 100 * time.Millisecond

	otherAgent = 50 * time.Millisecond // before the next agent is asked
	againMin   = 250 * time.Millisecond
	// Once all agents have failed they are all asked again within this, jitter included well below the 2 s in which a drain is to
	// take hold once an agent can tell it.
	againMax = 1200 * time.Millisecond
)

// Index is that for the next call.
func (p *Pacer) Index() uint64 { return p.index }

// Agent is the number of the agent for the next call.
func (p *Pacer) Agent() int { return p.agent }

// Answered notes an answer that took so long, and gives the pause before the next call. news tells that it changed something. An
// index that has gone back begins anew from nothing: the servers were restored, or others answer.
func (p *Pacer) Succeeded(took time.Duration, index uint64, news bool) (pause time.Duration) {
	p.failures = 0
	back := index < p.index
	if p.index = index; back {
		p.index = 0
	}
	if took >= atOnce || news && !back {
		p.quick = 0
		return 0
	}
	if p.quick++; p.quick < quickAfter {
		return 0
	}
	return p.jitter(quickPause)
}

// Failed notes a call without an answer, and gives the pause before the next: short to another agent, longer behind each round of
// them.
// What is in hand stays, and the next call asks for the whole: an agent that was started anew may count from elsewhere.
func (p *Pacer) Failed() (pause time.Duration) {
	p.failures++
	p.index = 0
	p.agent = (p.agent + 1) % max(p.Agents, 1)
	if p.failures%max(p.Agents, 1) != 0 {
		return p.jitter(otherAgent)
	}
	round := p.failures/max(p.Agents, 1) - 1
	return p.jitter(min(againMin<<min(round, 10), againMax))
}

// jitter spreads calls: three quarters to five quarters of a pause.
func (p *Pacer) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(p.Rand.Int64N(int64(d)/2+1))
}
