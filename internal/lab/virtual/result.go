package virtual

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/history"
	"havenproxy/internal/state"
)

// ClassResult is what became of a class.
type ClassResult struct {
	Offered, InAim, Late, Refused, Failed, Silent int
	Tries                                         int
}

// Result is the outcome of a run.
type Result struct {
	Classes   []ClassResult
	Worth     float64 // earned, as a part of what was asked for
	Changes   []state.LevelChange
	Ladder    []string           // the levels' names, the lowest first
	PerGroup  []int              // level changes
	Most      int                // of changes within any minute, of any group
	Fell      int                // databases that fell over while cold
	Levels    []state.GroupLevel // at the end
	Kept      int                // groups that the router keeps at the end
	Fleet     *fleet.Fleet
	Writes    []history.Write // with Config.Record
	Switches  []Election      // in their order
	Held      int             // requests held at the end
	BySession [2]ClassResult  // of the one that sends the most, and of the others
	Worst10   float64         // the worth in the worst 10 s
	Seconds   []Sample
	Latency   []*hdrhistogram.Histogram // by class, of what was served, in microseconds from when it came
	Load      [][]float64               // of each database in each second: its work, as a part of what its warm cores can do
	Counters  state.Counters            // of all proxies
	Steps     int                       // of the engine
	Links     int                       // connections to databases at the end
	// The true time that the proxies' decisions and state took, on this machine: for what came to them, and for what they do by
	// the clock. With Config.Clocked.
	InProxies, InTimers time.Duration
	InPeers             time.Duration // the same for what peers tell
	Events              []Event       // faults and what came of them

	// Of the tier: messages to peers with their bytes, as sent and as they came to each receiver; calls for the list; proxies that ended.
	Messages, MessageBytes, Delivered, DeliveredBytes uint64
	ListCalls                                         uint64
	Stopped                                           int
	Changed                                           []PolicyChange // of the tier's policy, as proposed
}

// Election is a database that became primary, with what followed.
type Election struct {
	At     time.Duration
	Group  int
	Member int
	First  time.Duration // until the first write was served by it; 0 = none was
	Push   float64       // work sent to it in its first 2 s, against what it could do then
}

// InAim is the part of a class that was answered in time.
func (r *Result) InAim(class int) float64 {
	return float64(r.Classes[class].InAim) / float64(max(r.Classes[class].Offered, 1))
}
