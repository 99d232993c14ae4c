// Package analysis turns the measurements of a scale run into lines, predictions, verdicts, tables and plots.
//
// The runner (internal/lab/scale) fills a Run: one Measurement for each size and one EventRow for each event. Everything here is
// a pure function of a Run; nothing here starts a process, opens a socket or reads a clock. Costs are fitted by ordinary least
// squares against the number of proxies and the number of databases (N. Draper and H. Smith, "Applied Regression Analysis",
// 3rd edition, 1998, chapters 1 and 3), so a figure at the target size has a slope, an interval and residuals behind it.
//
// The flags of `havenlab scale` are in docs/operators/scale.md.
//
// The exit code is 0 where every budget that was measured is kept, 1 where one is broken, and 2 for flags that make no sense and
// for a run that is refused because it would go over memory, processes, descriptors or ports.
package analysis

import (
	"fmt"
	"time"
)

// Size is how large a fleet is.
type Size struct {
	Proxies   int `json:"proxies"`   // number of proxies, hollow and real
	Databases int `json:"databases"` // number of databases, hollow and real
}

// String writes a size as --sizes takes it.
func (s Size) String() string { return fmt.Sprintf("%dx%d", s.Proxies, s.Databases) }

// Target is the planned size.
var Target = Size{Proxies: 820, Databases: 1300}

// Kind says what a message is for.
type Kind string

// The kinds of message. All but KindRequest are control traffic, to which the budget of bytes applies.
const (
	KindProbe   Kind = "probe"   // a proxy asks a database whether it is alive and how far it is (pg or mysql), and the answer
	KindRequest Kind = "request" // a client's statement passed on to a database, and the answer
	KindList    Kind = "list"    // calls to discovery or Consul and their answers: lists and watches
	KindPeers   Kind = "peers"   // datagrams between proxies (wire/peers)
	KindLease   Kind = "lease"   // a proxy's lease at its planner: asked for, granted (wire/tier)
	KindPolicy  Kind = "policy"  // policies, their preparation and acknowledgement (wire/tier)
	KindHealth  Kind = "health"  // results of shared health checks, among proxies or by planners
)

// Kinds lists all kinds in the order in which tables show them.
var Kinds = []Kind{KindProbe, KindRequest, KindList, KindPeers, KindLease, KindPolicy, KindHealth}

// Control tells whether the budget for control applies to a kind.
func (k Kind) Control() bool { return k != KindRequest }

// Direction is a message's direction, as the proxy sees it.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"     // by the proxy
	Received Direction = "received" // by the proxy
)

// Directions lists both.
var Directions = []Direction{Sent, Received}

// Sample is what was counted over a number of one-second intervals. The zero value means "not measured".
type Sample struct {
	Mean    float64 `json:"mean"`              // over all intervals; the unit is that of the field that holds the sample
	Peak    float64 `json:"peak"`              // the highest interval, same unit; per-proxy samples: of the mean over all proxies
	Busiest float64 `json:"busiest,omitempty"` // the highest interval of the busiest single proxy, same unit; 0 where it isn't counted
	Seconds int     `json:"seconds"`           // number of one-second intervals behind the sample; 0 = not measured
}

// Measured tells whether there is anything behind a sample.
func (s Sample) Measured() bool { return s.Seconds > 0 }

// Traffic is what one kind of message comes to in one direction, for one proxy: the sum over all proxies divided by their number.
type Traffic struct {
	Kind      Kind      `json:"kind"`
	Direction Direction `json:"direction"`
	Messages  Sample    `json:"messages"` // messages a second and proxy
	Bytes     Sample    `json:"bytes"`    // bytes of payload a second and proxy, without TCP, UDP and IP headers
}

// Role says what a process does.
type Role string

// The roles of processes that are measured one by one.
const (
	RoleProxy     Role = "proxy"     // a real proxy beside the hollow ones
	RoleLeader    Role = "leader"    // the planner that leads
	RoleFollower  Role = "follower"  // each other planner
	RoleDiscovery Role = "discovery" // the stand-in for discovery
	RoleDatabases Role = "databases" // the process of hollow databases
	RoleHollow    Role = "hollow"    // a process of hollow proxies
)

// Process is one separate process beside the hollow proxies.
type Process struct {
	Role        Role   `json:"role"`
	Name        string `json:"name"`        // such as planner-2
	CPU         Sample `json:"cpu"`         // share of one core, 1 = a whole core
	Memory      Sample `json:"memory"`      // resident set, bytes
	Descriptors Sample `json:"descriptors"` // open file descriptors
	Sent        Sample `json:"sent"`        // bytes of payload a second, all links together
	Received    Sample `json:"received"`    // bytes of payload a second, all links together
}

// Measurement is what one size cost.
type Measurement struct {
	Size      Size    `json:"size"`
	Seed      uint64  `json:"seed"`
	Variant   string  `json:"variant"`           // which health checking was in force, as --variant names it
	Vary      Axis    `json:"vary"`              // what its series varies (--vary)
	Seconds   float64 `json:"seconds"`           // length of the measured window, s
	Virtual   bool    `json:"virtual"`           // virtual time: CPU, memory and descriptors are not measured
	Transport string  `json:"transport"`         // what carried the messages and what is counted, such as "loopback TCP and UDP, payload only"
	Partial   string  `json:"partial,omitempty"` // why it ended early; empty where the window was whole

	Traffic []Traffic `json:"traffic"` // one entry for each kind and direction that was counted

	Worth          float64 `json:"worth,omitempty"`  // that clients earned, as a part of what they asked for, the time before the window included
	ControlBytes   Sample  `json:"control_bytes"`    // bytes both ways a second and proxy, all kinds but requests together; where 0, Traffic is added up and the peak is an upper bound
	ProbesPerProxy Sample  `json:"probes_per_proxy"` // health checks begun a second and proxy
	ControlCPU     Sample  `json:"control_cpu"`      // share of one core for each proxy without requests (a run at --rate 0, or requests' part taken off)
	TotalCPU       Sample  `json:"total_cpu"`        // share of one core for each proxy, requests included
	Memory         Sample  `json:"memory"`           // bytes a proxy: resident set of the process of N hollow proxies less that with none, over N
	Descriptors    Sample  `json:"descriptors"`      // open descriptors a proxy, those that the process has without proxies taken off

	ConnectionsPerDatabase Sample `json:"connections_per_database"` // open connections to one database, from all proxies; the mean over databases
	ConnectionsPerProxy    Sample `json:"connections_per_proxy"`    // open connections of one proxy to all databases
	ProbesPerDatabase      Sample `json:"probes_per_database"`      // health checks that reach one database a second, from all proxies

	DiscoveryCalls Sample `json:"discovery_calls"` // calls a second that reach discovery, from all proxies
	DiscoveryBytes Sample `json:"discovery_bytes"` // bytes a second that discovery reads and writes, all proxies

	RequestsPerProxy Sample `json:"requests_per_proxy"` // statements a second and proxy, as made by --rate
	WrongSends       Sample `json:"wrong_sends"`        // attempts a second and proxy at a member that could not take them

	Processes []Process `json:"processes"` // real processes beside the hollow ones
}

// Event is a fault or a change that is brought about at size.
type Event string

// The events, as --events names them.
const (
	EventRollingRestart Event = "rolling-restart" // a tenth of the proxies restarted one after the other
	EventDeadMachines   Event = "dead-machines"   // 4 proxies killed
	EventRack           Event = "rack"            // 20 proxies and 30 databases at once
	EventZone           Event = "zone"            // a fifth of proxies and databases lost, and back
	EventRegionsParted  Event = "regions-parted"  // no message between the halves for 3 minutes
	EventPrimaryCrash   Event = "primary-crash"   // the primary of one group killed
	EventPolicyChanges  Event = "policy-changes"  // 10 changes of configuration within a minute, 4 proxies down
	EventDiscoveryAway  Event = "discovery-away"  // discovery unreachable for 1 minute
)

// Events lists all events in the order in which tables show them.
var Events = []Event{EventRollingRestart, EventDeadMachines, EventRack, EventZone, EventRegionsParted, EventPrimaryCrash, EventPolicyChanges, EventDiscoveryAway}

// Stop is something that did not work during an event.
type Stop struct {
	What string        `json:"what"` // such as "writes of 3 groups", "changes of configuration"
	For  time.Duration `json:"for_ns"`
}

// EventRow is what one event cost.
type EventRow struct {
	Event   Event  `json:"event"`
	Size    Size   `json:"size"`
	Seed    uint64 `json:"seed"`
	Variant string `json:"variant"` // as in Measurement

	UntilAllKnow time.Duration `json:"until_all_know_ns"` // from the event until the last proxy that is up acts by it; the slowest where an event repeats
	AllKnew      bool          `json:"all_knew"`          // false: not all knew when the run stopped waiting, UntilAllKnow is how long it waited

	PeakProxyBytes   float64 `json:"peak_proxy_bytes"`   // control bytes both ways in the busiest second, the mean over all proxies, bytes a second
	PeakPlannerBytes float64 `json:"peak_planner_bytes"` // bytes both ways of the busiest planner in its busiest second, bytes a second
	PeakProxyCPU     float64 `json:"peak_proxy_cpu"`     // share of one core for each proxy in the busiest second
	PeakPlannerCPU   float64 `json:"peak_planner_cpu"`   // share of one core of the busiest planner in its busiest second

	WrongSends int     `json:"wrong_sends"`     // attempts at a member that could not take them, from the event until all knew, all proxies
	Worth      float64 `json:"worth,omitempty"` // that clients earned in the whole run, as a part of what they asked for
	Requests   int     `json:"requests"`        // statements made in that time, all proxies
	Refused    int     `json:"refused"`         // of these refused
	Stopped    []Stop  `json:"stopped"`         // what stopped and for how long; empty where nothing did
}

// Steps are the parts of a failover's time, each measured on its own. A part that is 0 was not measured.
type Steps struct {
	Detect  time.Duration `json:"detect_ns"`  // from the crash until one proxy or checker holds the primary for dead
	Decide  time.Duration `json:"decide_ns"`  // until a new primary is elected and known to one proxy
	Spread  time.Duration `json:"spread_ns"`  // until all proxies know it
	Connect time.Duration `json:"connect_ns"` // until the last of them has an answer from it
}

// Run is all that a scale run measured.
type Run struct {
	Command      string        `json:"command"`           // the command line that made it
	Commit       string        `json:"commit"`            // of the code that ran, "unknown" where it isn't known
	Machine      string        `json:"machine"`           // cores, memory, kernel, and what else ran beside it
	Trial        bool          `json:"trial"`             // made on a scratch copy: its figures are called trials
	Measurements []Measurement `json:"measurements"`      // in the order in which they ran
	Events       []EventRow    `json:"events"`            // in the order in which they ran
	Failover     Steps         `json:"failover"`          // of EventPrimaryCrash, where it ran
	Predictions  []Prediction  `json:"predictions"`       // by PredictSize, before the largest size began
	Stopped      string        `json:"stopped,omitempty"` // why the run ended before its end; empty where it did not
}

// Prediction is what the smaller sizes say of the largest, written before that one runs.
type Prediction struct {
	Metric   MetricName `json:"metric"`
	Variant  string     `json:"variant"` // of the series
	Axis     Axis       `json:"axis"`    // of the series
	Virtual  bool       `json:"virtual"` // of the series
	Size     Size       `json:"size"`    // for which it is made
	From     []Size     `json:"from"`    // of which it is made
	Model    Model      `json:"model"`
	Value    float64    `json:"value"`    // in the metric's unit
	Low      float64    `json:"low"`      // lower end of the 95% prediction interval, the metric's unit
	High     float64    `json:"high"`     // upper end, the metric's unit
	Interval bool       `json:"interval"` // false: too few sizes for an interval, Low and High mean nothing
}
