package takeover

import (
	"maps"
	"slices"
	"time"
)

// Registry holds one proxy's state of all records: those it owns or wants to own, those it queries, and those it stores as a replica.
// Its methods are not safe for concurrent use. Times are readings of the proxy's monotonic clock.
type Registry struct {
	config Config

	self        Member        // 0 = not a member
	memberUntil time.Duration // the membership has to be extended by then
	version     uint64        // of members, where SetMembership is used
	members     []Member      // sorted
	past        []memberList  // that others may still use; the last is the one before members
	unreachable map[Member]bool
	clocks      map[Member]time.Duration // the latest Clock received of each

	records map[string]*record // stored as a replica, by key
	tasks   map[string]*task   // by key
	seq     uint64             // of the last request

	ready Ready

	// Counters only grow.
	Counters Counters
}

// Counters count writes, except where they say otherwise.
type Counters struct {
	Replicated     uint64 // sent with a quorum
	Unreplicated   uint64 // sent without a record
	Rejected       uint64 // for want of a quorum
	Deduplicated   uint64 // retries of a write that was in progress or had ended
	Conflicts      uint64 // retries with another statement
	TakenOver      uint64
	Resent         uint64 // taken over, and possibly sent before
	Unknown        uint64 // whose outcome can't be known
	Lost           uint64 // taken over by others while this proxy lived
	SentAfterLease uint64 // see CheckSent
	Full           uint64 // records that were not stored, as there were MaxRecords
}

// New returns the registry of a proxy that is not a member yet.
func New(config Config) *Registry {
	return &Registry{
		config:      config.WithDefaults(),
		records:     map[string]*record{},
		clocks:      map[Member]time.Duration{},
		tasks:       map[string]*task{},
		unreachable: map[Member]bool{},
	}
}

// Ready is what the caller has to carry out.
type Ready struct {
	Messages []Envelope
	Actions  []Action
}

// Empty reports whether there is nothing to carry out.
func (r Ready) Empty() bool { return len(r.Messages) == 0 && len(r.Actions) == 0 }

// TakeReady returns what the caller has to carry out, and clears it.
func (r *Registry) TakeReady() Ready {
	ready := r.ready
	r.ready = Ready{}
	return ready
}

func (r *Registry) act(a Action) { r.ready.Actions = append(r.ready.Actions, a) }

// send sends a message to another member, or handles it at once if this proxy is itself a replica.
func (r *Registry) send(now time.Duration, to Member, m Message) {
	m.Clock, m.Echo = now, r.clocks[to]
	if to == r.self {
		r.Receive(now, to, m)
		return
	}
	r.ready.Messages = append(r.ready.Messages, Envelope{To: to, Message: m})
}

// Receive handles a message of another proxy.
func (r *Registry) Receive(now time.Duration, from Member, m Message) {
	r.clocks[from] = max(r.clocks[from], m.Clock)
	switch m.Kind {
	case Stored, NotOwner, NotFound, Full, ClockUnknown:
		r.receiveAnswer(now, from, m)
	default:
		if r.isMember(now) { // fence against a replica that was paused for longer than its membership
			r.receiveAsReplica(now, from, m)
		}
	}
}

// Tick handles everything that is due at the given time. It must be called several times within RetryInterval.
func (r *Registry) Tick(now time.Duration) {
	if r.isMember(now) {
		r.checkRecords(now)
	}
	for _, key := range slices.Sorted(maps.Keys(r.tasks)) {
		if t := r.tasks[key]; t != nil {
			r.tickTask(now, t)
		}
	}
}

// Status holds the numbers that are shown to operators.
type Status struct {
	Owned     int           // records of this proxy's own requests
	TakenOver int           // records that it owns after a takeover
	Pending   int           // records that it queries, or whose quorum is pending
	Stored    int           // records that it stores as a replica
	OldestAge time.Duration // of the stored records whose write has not ended
}

// Status returns the present numbers.
func (r *Registry) Status(now time.Duration) Status {
	var status Status
	for _, t := range r.tasks {
		switch {
		case t.stage == owning && t.takenOver != nil:
			status.TakenOver++
		case t.stage == owning:
			status.Owned++
		case t.stage != completing:
			status.Pending++
		}
	}
	for _, rec := range r.records {
		status.Stored++
		if rec.result == nil {
			status.OldestAge = max(status.OldestAge, now-rec.storedAt)
		}
	}
	return status
}
