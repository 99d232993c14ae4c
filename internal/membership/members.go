package membership

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// Members is the merged view with what it is made of. It is not safe for concurrent use; times must not go back.
type Members struct {
	config    Config
	sources   []*source
	byID      map[string]*Member // by any id that it bears
	byAddress map[string]*Member // by address
	order     []*Member          // in the order of their coming
	view      *immutable.SortedMap[string, Entry]
	dirty     []*Member
	changed   []Entry
	version   uint64
}

// Member is one database.
type Member struct {
	Entry
	members      *Members
	reports      []report // by source
	ids          []string
	lastAlive    time.Duration // the last sign of life; 0 = none
	silent       bool
	absentSince  time.Duration // since when no catalogue lists it; 0 = one does
	failingSince time.Duration // since when all that list it call it critical; 0 = not all do
	renamedAt    time.Duration // when a new id came at its address; 0 = that is settled
	newID        string        // that id
	queued       bool
}

// New returns an empty view.
func New(cfg Config) *Members {
	return &Members{config: cfg.WithDefaults(), byID: map[string]*Member{}, byAddress: map[string]*Member{}, view: immutable.NewSortedMap[string, Entry](nil)}
}

// Configure replaces the settings.
func (m *Members) Configure(cfg Config) { m.config = cfg.WithDefaults() }

// inUse tells whether a member is in the view.
func (x *Member) inUse() bool {
	_, ok := x.members.view.Get(x.ID)
	return ok
}

// MarkAlive records that a member answered, on a connection that has been up since opened (0 = unknown).
func (m *Members) MarkAlive(now time.Duration, id string, opened time.Duration) {
	x := m.byID[id]
	if x == nil {
		return
	}
	fresh := x.silent || x.lastAlive == 0 || now-x.lastAlive > m.config.AliveTimeout
	x.lastAlive, x.silent = now, false
	if x.renamedAt > 0 && opened > 0 && opened < x.renamedAt { // the connection has outlived the change of names
		x.renamedAt = 0
		fresh = true
	}
	if fresh {
		x.enqueue()
		m.processQueue(now)
	}
}

// MarkSilent records that a member owes answers and gives none.
func (m *Members) MarkSilent(now time.Duration, id string) {
	if x := m.byID[id]; x != nil && !x.silent {
		x.silent = true
		x.enqueue()
		m.processQueue(now)
	}
}

// Tick does what is due by the clock. Ten calls a second are enough.
func (m *Members) Tick(now time.Duration) {
	for i, s := range m.sources {
		if s.doubtedSince > 0 && now-s.doubtedSince >= m.config.PanicDuration {
			m.endDoubt(now, i)
		}
	}
	for _, x := range m.order {
		if x.isTimeDependent() {
			x.enqueue()
		}
	}
	m.processQueue(now)
}

func (x *Member) enqueue() {
	if !x.queued {
		x.queued = true
		x.members.dirty = append(x.members.dirty, x)
	}
}

// settle decides all members that something has happened to.
func (m *Members) processQueue(now time.Duration) {
	list := m.dirty
	m.dirty = nil
	for _, x := range list {
		x.queued = false
		if x.renamedAt > 0 && now-x.renamedAt >= m.config.RenameTimeout {
			m.replace(now, x)
			continue
		}
		m.reevaluate(now, x)
	}
}

// judge decides one member, and puts what comes of it into the view.
func (m *Members) reevaluate(now time.Duration, x *Member) {
	x.Entry.State, x.Entry.Reason = x.decide(now)
	x.describe(now)
	m.publish(x)
}

// publish puts a member's change into the view. One that is gone, and that nobody lists any more, is forgotten.
func (m *Members) publish(x *Member) {
	was, in := m.view.Get(x.ID)
	switch {
	case x.State == StateRemoved:
		if in {
			m.view = m.view.Delete(x.ID)
			m.recordChange(x)
		}
		if x.absentSince > 0 {
			m.forget(x)
		}
	case !in || !sameEntry(x.Entry, was):
		m.view = m.view.Set(x.ID, x.Entry)
		m.recordChange(x)
	}
}

func (m *Members) recordChange(x *Member) {
	m.version++
	m.changed = append(m.changed, x.Entry)
}

// same tells whether nothing has changed that anybody acts on.
func sameEntry(a, b Entry) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Group == b.Group && a.State == b.State && a.Role == b.Role && a.Weight == b.Weight &&
		a.Started == b.Started && a.RestartedAt == b.RestartedAt && a.Reason == b.Reason
}

// TakeChanges returns the members that have changed since the last call, in the order of their changes.
func (m *Members) TakeChanges() []Entry {
	out := m.changed
	m.changed = nil
	return out
}

// View returns the members in use and the version of the view. It is a persistent map that never changes: a holder reads one version
// without a lock or a copy.
func (m *Members) View() (*immutable.SortedMap[string, Entry], uint64) { return m.view, m.version }
