package membership

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// Members is the merged view with the state that it is computed from. It is not safe for concurrent use. Times must not decrease.
type Members struct {
	config     Config
	catalogues []*catalogueState
	byID       map[string]*Member // by each of its IDs
	byAddress  map[string]*Member
	ordered    []*Member // in the order in which they were added
	view       *immutable.SortedMap[string, Entry]
	queue      []*Member
	changes    []Entry
	version    uint64
}

// Member is one database.
type Member struct {
	Entry
	members      *Members
	reports      []report // by index of the catalogue
	ids          []string
	lastAlive    time.Duration // time of the last answer; 0 = none
	silent       bool
	absentSince  time.Duration // since when no catalogue lists it; 0 = one does
	failingSince time.Duration // since when all catalogues that list it report it as critical; 0 = not all do
	renamedAt    time.Duration // when a new ID was listed with its address; 0 = none is pending
	newID        string        // the ID of renamedAt
	queued       bool
}

// New returns an empty view.
func New(cfg Config) *Members {
	return &Members{config: cfg.WithDefaults(), byID: map[string]*Member{}, byAddress: map[string]*Member{}, view: immutable.NewSortedMap[string, Entry](nil)}
}

// Configure replaces the settings.
func (m *Members) Configure(cfg Config) { m.config = cfg.WithDefaults() }

// isInView reports whether the member is in the view.
func (member *Member) isInView() bool {
	_, ok := member.members.view.Get(member.ID)
	return ok
}

// MarkAlive records that a member answered on a connection that was opened at the given time (0 = unknown).
func (m *Members) MarkAlive(now time.Duration, id string, opened time.Duration) {
	member := m.byID[id]
	if member == nil {
		return
	}
	fresh := member.silent || member.lastAlive == 0 || now-member.lastAlive > m.config.AliveTimeout
	member.lastAlive, member.silent = now, false
	if member.renamedAt > 0 && opened > 0 && opened < member.renamedAt { // the connection is older than the new ID, so the process is the same
		member.renamedAt = 0
		fresh = true
	}
	if fresh {
		member.enqueue()
		m.processQueue(now)
	}
}

// MarkSilent records that a member doesn't answer requests or pings.
func (m *Members) MarkSilent(now time.Duration, id string) {
	if member := m.byID[id]; member != nil && !member.silent {
		member.silent = true
		member.enqueue()
		m.processQueue(now)
	}
}

// Tick handles timeouts. Ten calls a second are enough.
func (m *Members) Tick(now time.Duration) {
	for i, catalogue := range m.catalogues {
		if catalogue.doubtedSince > 0 && now-catalogue.doubtedSince >= m.config.PanicDuration {
			m.endDoubt(now, i)
		}
	}
	for _, member := range m.ordered {
		if member.isTimeDependent() {
			member.enqueue()
		}
	}
	m.processQueue(now)
}

func (member *Member) enqueue() {
	if !member.queued {
		member.queued = true
		member.members.queue = append(member.members.queue, member)
	}
}

// processQueue reevaluates the queued members.
func (m *Members) processQueue(now time.Duration) {
	queue := m.queue
	m.queue = nil
	for _, member := range queue {
		member.queued = false
		if member.renamedAt > 0 && now-member.renamedAt >= m.config.RenameTimeout {
			m.replaceRenamed(now, member)
			continue
		}
		m.reevaluate(now, member)
	}
}

// reevaluate decides the state of a member and publishes it.
func (m *Members) reevaluate(now time.Duration, member *Member) {
	member.Entry.State, member.Entry.Reason = member.decide(now)
	member.describe(now)
	m.publish(member)
}

// publish updates the view if the member's entry has changed. A removed member that no catalogue lists is forgotten.
func (m *Members) publish(member *Member) {
	published, inView := m.view.Get(member.ID)
	switch {
	case member.State == StateRemoved:
		if inView {
			m.view = m.view.Delete(member.ID)
			m.recordChange(member)
		}
		if member.absentSince > 0 {
			m.forget(member)
		}
	case !inView || !sameEntry(member.Entry, published):
		m.view = m.view.Set(member.ID, member.Entry)
		m.recordChange(member)
	}
}

func (m *Members) recordChange(member *Member) {
	m.version++
	m.changes = append(m.changes, member.Entry)
}

// sameEntry reports whether two entries are equal in all that callers act on.
func sameEntry(a, b Entry) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Group == b.Group && a.State == b.State && a.Role == b.Role && a.Weight == b.Weight &&
		a.Started == b.Started && a.RestartedAt == b.RestartedAt && a.Reason == b.Reason
}

// TakeChanges returns the members that have changed since the last call, in the order of their changes.
func (m *Members) TakeChanges() []Entry {
	changes := m.changes
	m.changes = nil
	return changes
}

// View returns the members in use and the version of the view. The map is persistent and immutable, so that callers can read it without a
// lock or a copy.
func (m *Members) View() (*immutable.SortedMap[string, Entry], uint64) { return m.view, m.version }
