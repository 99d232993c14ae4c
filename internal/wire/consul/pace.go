package consul

import (
	"math/rand/v2"
	"time"
)

// Pacer decides when the next request is sent, with which index and to which agent. It does no input or output.
type Pacer struct {
	Agents int // number of agents
	Rand   *rand.Rand

	index         uint64
	agent         int
	failures      int
	fastUnchanged int // number of successive fast responses without a change
}

const (
	// Repeated fast responses without a change must not lead to a tight loop of blocking queries. They come from an agent
	// that ignores `wait`, or for a service whose index changes with every heartbeat.
	maxFastUnchanged   = 3
	fastUnchangedPause = time.Second
	fastResponse       = 100 * time.Millisecond // faster responses count as fast

	nextAgentPause = 50 * time.Millisecond // before a request to the next agent
	minRetryPause  = 250 * time.Millisecond
	// maxRetryPause bounds the pause after all agents have failed. Including jitter it is well below the 2 s in which a drain
	// must take effect once an agent can report it.
	maxRetryPause = 1200 * time.Millisecond
)

// Index returns the index for the next request.
func (p *Pacer) Index() uint64 { return p.index }

// Agent returns the number of the agent for the next request.
func (p *Pacer) Agent() int { return p.agent }

// Succeeded records a response that took that duration and returns the pause before the next request. changed tells
// whether the response changed anything. An index lower than the last one resets the index to 0: the servers were
// restored from a snapshot, or other servers answer.
func (p *Pacer) Succeeded(duration time.Duration, index uint64, changed bool) (pause time.Duration) {
	p.failures = 0
	wentBack := index < p.index
	if p.index = index; wentBack {
		p.index = 0
	}
	if duration >= fastResponse || changed && !wentBack {
		p.fastUnchanged = 0
		return 0
	}
	if p.fastUnchanged++; p.fastUnchanged < maxFastUnchanged {
		return 0
	}
	return p.jitter(fastUnchangedPause)
}

// Failed records a failed request and returns the pause before the next one: short before a request to another agent,
// longer after each round of all agents. The index is reset to 0, so that the next request returns the whole list: an
// agent that was restarted may count from another index. Known entries are kept.
func (p *Pacer) Failed() (pause time.Duration) {
	p.failures++
	p.index = 0
	p.agent = (p.agent + 1) % max(p.Agents, 1)
	if p.failures%max(p.Agents, 1) != 0 {
		return p.jitter(nextAgentPause)
	}
	round := p.failures/max(p.Agents, 1) - 1
	return p.jitter(min(minRetryPause<<min(round, 10), maxRetryPause))
}

// jitter returns a random duration from three to five quarters of d, to spread the requests.
func (p *Pacer) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(p.Rand.Int64N(int64(d)/2+1))
}
