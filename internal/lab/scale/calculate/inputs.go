// Package calculate works out, from settings and the lengths of real messages, what one machine can't measure at the target size: bytes for
// each role, bounds on how long a change of policy takes, and what is refused while regions are parted. Nothing here is measured; each
// figure names its formula, and docs/CAPACITY.md calls them calculated.
package calculate

import (
	"time"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/limit"
	"havenproxy/internal/rollout"
)

// Inputs are the settings and the operators' figures that calculations start from.
type Inputs struct {
	Size      analysis.Size
	GroupSize int           // databases that hold the same data
	Lease     time.Duration // of the tier
	ListBound time.Duration // by when a change of the list has to be known

	PolicyBytes   int // length of a policy's text
	PolicyChanges int // a day
	Replaced      int // machines that are restarted, replaced or fail, a day

	Connections  int           // of clients, to one proxy
	Statements   int           // a second, at one proxy
	ComeBack     time.Duration // after which a refused client is told to ask again
	PartedFor    time.Duration // how long regions lose each other
	ProbeCost    time.Duration // processor time of a database for one health check, as the bench's model has it
	RolesEvery   time.Duration // between two reports of a role among peers
	HealthBudget int           // health checks a second and proxy
	BytesBudget  int           // bytes a second and proxy
}

// Target gives the inputs of the planned size with the defaults of the program.
func Target() Inputs {
	return Inputs{Size: analysis.Target, GroupSize: 4, Lease: 2 * time.Second, ListBound: limit.DefaultMaxDelay,
		PolicyBytes: 4 << 10, PolicyChanges: 820, Replaced: 184,
		Connections: 2805, Statements: 3415, ComeBack: 500 * time.Millisecond, PartedFor: 3 * time.Minute,
		ProbeCost: 300 * time.Microsecond, RolesEvery: 500 * time.Millisecond,
		HealthBudget: analysis.BudgetProbes, BytesBudget: analysis.BudgetControlBytes}
}

// Constants of the planners' consensus (internal/planner: step, heartbeats, elections) and of a proxy's side (internal/rollout/seeker.go).
const (
	heartbeatEvery  = 40 * time.Millisecond
	longestElection = 600 * time.Millisecond
	asksInLease     = 5
)

// rolloutConfig gives the times of a change as the planners have them.
func (in Inputs) rolloutConfig() rollout.Config {
	return rollout.Config{Lease: in.Lease}.WithDefaults()
}
