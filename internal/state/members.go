package state

import (
	"hash/fnv"
	"log/slog"
	"time"

	"havenproxy/logic"
)

// List is news of the databases, whatever catalogue it comes from.
type List struct {
	Kind    logic.ListKind
	Entries []Entry
}

// Entry is one database.
type Entry struct {
	Name          string // the same at every proxy
	Address       string
	Zone          string
	Group         int
	State         logic.MemberState
	Size          float64
	Started       time.Duration // Unix time; 0 = long ago
	ObservedStart time.Duration // on the front's clock: a start that was seen, not told; 0 = none was
}

// member is one database with the connections to it.
type member struct {
	id      logic.MemberID
	name    string
	address string
	group   int
	zone    string
	size    float64
	started time.Duration // Unix time, as last listed,
	born    time.Duration // and on the router's clock
	state   logic.MemberState
	seen    bool // in the whole list in hand
	drained bool // listed as draining, and not as ready since

	outsideSubset bool // its group is used, and this proxy keeps no connections to it

	role   logic.Role // as it last told
	silent bool       // its last probe had no answer

	idle    []*link // the one used last at the end
	opening []*link
	links   map[*link]struct{} // all, but for the one for probes
	probe   *link
	witness *link // an earlier one for probes, whose answer is overdue
}

// UpdateList takes in news of the platform's list.
func (f *Engine) UpdateList(l List) {
	f.told = f.told || l.Kind != logic.ListCached
	if f.listFailing && l.Kind != logic.ListCached {
		f.listFailing = false
		slog.Info("discovery answers again")
	}
	if f.merged != nil {
		f.ownList(l)
		return
	}
	f.take(l)
}

// take puts a list into effect.
func (f *Engine) take(l List) {
	out := logic.MemberList{Kind: l.Kind, Entries: make([]logic.Member, 0, len(l.Entries))}
	f.changesLogged = 0
	defer f.logFurtherChanges()
	for _, m := range f.names {
		m.seen = false
	}
	for _, e := range l.Entries {
		m := f.member(e)
		m.seen = true
		out.Entries = append(out.Entries, logic.Member{ID: m.id, Zone: f.zone(e.Zone), Group: logic.GroupID(e.Group),
			State: e.State, Size: e.Size, StartedAt: m.born})
	}
	if l.Kind != logic.ListDelta {
		for _, m := range f.names {
			if !m.seen {
				f.leave(m, logic.Gone)
			}
		}
	}
	f.tell(func() { f.router.Members(f.clock.Now(), out) })
	f.checks.listed(f)
}

// mostChangesLogged is how many changes of one list are logged one by one.
const mostChangesLogged = 50

// logsChange counts a change of the list in hand, and tells whether it is logged by itself.
func (f *Engine) logsChange() bool {
	f.changesLogged++
	return f.changesLogged <= mostChangesLogged
}

// logFurtherChanges logs how many changes of the list in hand were not logged by themselves.
func (f *Engine) logFurtherChanges() {
	if n := f.changesLogged - mostChangesLogged; n > 0 {
		slog.Info("further databases listed or changed", "changes", n, "databases", len(f.names))
	}
}

// ListFailed tells that a call failed or that a watch broke; the list in hand still holds.
func (f *Engine) ListFailed(why error) {
	f.Counters.ListFailures++
	if !f.listFailing {
		f.listFailing = true
		slog.Warn("discovery fails", "error", why)
	}
	if f.merged != nil {
		f.merged.CatalogueFailed(f.clock.Now(), DiscoveryCatalogue, why.Error())
	}
	f.tell(func() { f.router.Members(f.clock.Now(), logic.MemberList{Kind: logic.ListFailed}) })
}

// member finds the member of an entry, or makes it, and brings it up to date.
func (f *Engine) member(e Entry) *member {
	m := f.names[e.Name]
	if m == nil {
		m = &member{id: f.memberID(e.Name), name: e.Name, state: e.State, links: map[*link]struct{}{}}
		f.names[e.Name], f.members[m.id] = m, m
		if f.logsChange() {
			slog.Info("database listed", "name", e.Name, "address", e.Address, "group", e.Group, "state", stateName(e.State))
		}
	}
	m.group, m.zone, m.size = e.Group, e.Zone, e.Size
	// A start is placed once. The two clocks are not read in one moment, and the wall clock is set now and then: placed anew with each
	// list, it would come a little later, which is a start of its own to the router.
	if m.started != e.Started {
		m.started, m.born = e.Started, place(f.clock, e.Started)
		f.closeIdle(m) // they lead to the process before
	}
	m.born = max(m.born, e.ObservedStart)
	if m.address != e.Address && e.Address != "" {
		m.address = e.Address
		f.closeIdle(m) // they lead to where it was
	}
	f.leave(m, e.State)
	return m
}

// memberID makes an id of a name, so that who comes back after it was forgotten is known by the same one.
func (f *Engine) memberID(name string) logic.MemberID {
	h := fnv.New64a()
	h.Write([]byte(name))
	id := logic.MemberID(h.Sum64())
	for f.members[id] != nil {
		id++
	}
	return id
}

// leave notes a change of a member's state. One that wants nothing new needs no idle connections.
func (f *Engine) leave(m *member, to logic.MemberState) {
	if m.state != to && f.logsChange() {
		slog.Info("database changed", "name", m.name, "address", m.address, "from", stateName(m.state), "to", stateName(to))
	}
	m.state = to
	switch to {
	case logic.Draining:
		m.drained = true
	case logic.Ready:
		m.drained = false
	}
	if to != logic.Ready {
		f.closeIdle(m)
	}
	f.forgetGone(m)
}

// sendable tells whether the list lets a new attempt go to a member. Where only a drain binds, one that is gone may be sent to, unless it
// was draining before: its absence from a later list does not lift the drain.
func (f *Engine) sendable(m *member) bool {
	return m.state == logic.Ready || m.state == logic.Gone && f.cfg.Logic.IgnoreGone && !m.drained
}

// forgetGone drops a member that is gone, once no connection to it is left: databases come and go under new names
// all day. Where the list binds no one, only a whole list that leaves it out tells that it won't be sent to again.
func (f *Engine) forgetGone(m *member) {
	if m.state == logic.Gone && (!m.seen || !f.cfg.Logic.IgnoreGone) && len(m.links) == 0 && m.probe == nil && m.witness == nil &&
		f.names[m.name] == m {
		delete(f.names, m.name)
		delete(f.members, m.id)
	}
}

// heard logs what changes in what a member tells of itself. The router draws its own conclusions.
func (m *member) heard(r Reply, probe bool) {
	role := r.Role
	if role == logic.RoleUnknown {
		role = r.Load.Role
	}
	if role != logic.RoleUnknown && role != m.role {
		slog.Info("database role", "name", m.name, "address", m.address, "from", roleNames[m.role], "to", roleNames[role])
		m.role = role
	}
	if !probe {
		return
	}
	switch silent := r.Result == logic.TimedOut || r.Result == logic.ConnectFailed || r.Result == logic.Reset; {
	case silent && !m.silent:
		slog.Warn("database silent", "name", m.name, "address", m.address)
		m.silent = true
	case !silent && m.silent:
		slog.Info("database answers again", "name", m.name, "address", m.address)
		m.silent = false
	}
}

var roleNames = [...]string{logic.RoleUnknown: "unknown", logic.RolePrimary: "primary", logic.RoleReplica: "replica"}

func stateName(s logic.MemberState) string {
	return [...]string{logic.Gone: "gone", logic.Ready: "ready", logic.Draining: "draining"}[s]
}

// zone gives the number of a zone; an unknown one is nobody's own.
func (f *Engine) zone(name string) int {
	for i, z := range f.cfg.Zones {
		if z == name {
			return i
		}
	}
	return -1
}

func (f *Engine) closeIdle(m *member) {
	for len(m.idle) > 0 {
		f.close(m.idle[len(m.idle)-1])
	}
	if m.probe != nil && m.probe.state == linkIdle {
		f.close(m.probe)
	}
	if m.witness != nil {
		f.close(m.witness)
	}
}
