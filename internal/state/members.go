package state

import (
	"hash/fnv"
	"log/slog"
	"time"

	"havenproxy/logic"
)

// List is a list of databases, or changes to it, from a catalogue.
type List struct {
	Kind    logic.ListKind
	Entries []Entry
}

// Entry is a database in a List.
type Entry struct {
	Name          string // the same at all proxies
	Address       string
	Zone          string
	Group         int
	State         logic.MemberState
	Size          float64
	Started       time.Duration // Unix time; 0 = long ago or unknown
	ObservedStart time.Duration // on the engine's clock: a start that was inferred, not listed; 0 = none
}

// member is a database and the connections to it.
type member struct {
	id        logic.MemberID
	name      string
	address   string
	group     int
	zone      string
	size      float64
	started   time.Duration // as last listed, Unix time
	startedAt time.Duration // latest start known, on the router's clock
	state     logic.MemberState
	inList    bool // contained in the list that is being applied
	draining  bool // has been listed as draining, and not as ready since

	outsideSubset bool // its group is used, but this proxy keeps no connections to it

	role         logic.Role    // as last reported by the database
	roleLoggedAt time.Duration // when a change of it was logged last
	silent       bool          // its last probe was not answered

	idleConns    []*pooledConn // sorted by last use, the latest at the end
	syncingConns []*pooledConn // those that nothing waits for, in the order of their Sync
	openingConns []*pooledConn
	conns        map[*pooledConn]struct{} // all connections except probeConn and overdueConn
	probeConn    *pooledConn
	overdueConn  *pooledConn // former probeConn whose probe has timed out
}

// UpdateList applies a list from the discovery service.
func (e *Engine) UpdateList(l List) {
	e.listReceived = e.listReceived || l.Kind != logic.ListCached
	if e.listFailing && l.Kind != logic.ListCached {
		e.listFailing = false
		slog.Info("discovery answers again")
	}
	if e.membership != nil {
		e.updateFromDiscovery(l)
		return
	}
	e.applyList(l)
}

// applyList updates the members from a list and passes it to the router.
func (e *Engine) applyList(l List) {
	out := logic.MemberList{Kind: l.Kind, Entries: make([]logic.Member, 0, len(l.Entries))}
	e.changesLogged = 0
	defer e.logFurtherChanges()
	for _, m := range e.membersByName {
		m.inList = false
	}
	for _, entry := range l.Entries {
		m := e.updateMember(entry)
		m.inList = true
		out.Entries = append(out.Entries, logic.Member{ID: m.id, Zone: e.zoneNumber(entry.Zone), Group: logic.GroupID(entry.Group),
			State: entry.State, Size: entry.Size, StartedAt: m.startedAt})
	}
	if l.Kind != logic.ListDelta {
		for _, m := range e.membersByName {
			if !m.inList {
				e.setState(m, logic.Gone)
			}
		}
	}
	e.dispatch(func() { e.events.Members(e.clock.Now(), out) })
	e.checks.updateDatabases(e)
}

// maxChangesLogged is the maximum number of changes of one list that are logged individually.
const maxChangesLogged = 50

// countChange counts a change of the current list and reports whether it is to be logged individually.
func (e *Engine) countChange() bool {
	e.changesLogged++
	return e.changesLogged <= maxChangesLogged
}

// logFurtherChanges logs the number of changes of the current list that were not logged individually.
func (e *Engine) logFurtherChanges() {
	if n := e.changesLogged - maxChangesLogged; n > 0 {
		slog.Info("further databases listed or changed", "changes", n, "databases", len(e.membersByName))
	}
}

// ListFailed reports that a call to the discovery service failed or that a watch was interrupted. The current list
// stays in use.
func (e *Engine) ListFailed(err error) {
	e.Counters.ListFailures++
	if !e.listFailing {
		e.listFailing = true
		slog.Warn("discovery fails", "error", err)
	}
	if e.membership != nil {
		e.membership.CatalogueFailed(e.clock.Now(), DiscoveryCatalogue, err.Error())
	}
	e.dispatch(func() { e.events.Members(e.clock.Now(), logic.MemberList{Kind: logic.ListFailed}) })
}

// updateMember updates the member of an entry, creating it if it is new.
func (e *Engine) updateMember(entry Entry) *member {
	m := e.membersByName[entry.Name]
	if m == nil {
		m = &member{id: e.memberID(entry.Name), name: entry.Name, state: entry.State, conns: map[*pooledConn]struct{}{}}
		e.membersByName[entry.Name], e.members[m.id] = m, m
		if e.countChange() {
			slog.Info("database listed", "name", entry.Name, "address", entry.Address, "group", entry.Group, "state", stateName(entry.State))
		}
	}
	m.group, m.zone, m.size = entry.Group, entry.Zone, entry.Size
	// A start time is converted to the router's clock only once. The two clocks are not read at the same instant, and
	// the wall clock is adjusted at times: converted again with each list, the start time would move, which the router
	// would take for another restart.
	if m.started != entry.Started {
		m.started, m.startedAt = entry.Started, fromUnix(e.clock, entry.Started)
		e.closeIdle(m) // they lead to the previous process
	}
	m.startedAt = max(m.startedAt, entry.ObservedStart)
	if m.address != entry.Address && entry.Address != "" {
		m.address = entry.Address
		e.closeIdle(m) // they lead to the old address
	}
	e.setState(m, entry.State)
	return m
}

// memberID derives an ID from a name, so that a member that returns after it was forgotten gets the same ID.
func (e *Engine) memberID(name string) logic.MemberID {
	h := fnv.New64a()
	h.Write([]byte(name))
	id := logic.MemberID(h.Sum64())
	for e.members[id] != nil {
		id++
	}
	return id
}

// setState sets a member's state. A member that takes no new requests needs no idle connections.
func (e *Engine) setState(m *member, to logic.MemberState) {
	if m.state != to && e.countChange() {
		slog.Info("database changed", "name", m.name, "address", m.address, "from", stateName(m.state), "to", stateName(to))
	}
	m.state = to
	switch to {
	case logic.Draining:
		m.draining = true
	case logic.Ready:
		m.draining = false
	}
	if to != logic.Ready {
		e.closeIdle(m)
	}
	e.forgetGone(m)
}

// sendable reports whether the list allows new attempts on a member. With DrainOnly, a member that is gone may still
// be used unless it was draining before: its absence from a later list does not end the drain.
func (e *Engine) sendable(m *member) bool {
	return m.state == logic.Ready || m.state == logic.Gone && e.cfg.Logic.IgnoreGone && !m.draining
}

// forgetGone removes a member that is gone once no connection to it is left, as databases come and go under new names
// all day. With DrainOnly, only a full list without the member means that no more requests will be sent to it.
func (e *Engine) forgetGone(m *member) {
	if m.state == logic.Gone && (!m.inList || !e.cfg.Logic.IgnoreGone) && len(m.conns) == 0 && m.probeConn == nil && m.overdueConn == nil &&
		e.membersByName[m.name] == m {
		delete(e.membersByName, m.name)
		delete(e.members, m.id)
	}
}

// roleLogInterval is the minimum time between two log lines about the role of one database, which may tell another one in each answer.
const roleLogInterval = 100 * time.Millisecond

// logReply logs changes of a member's role and, for probes, whether it answers. It does not affect the router's
// decisions.
func (m *member) logReply(now time.Duration, r Reply, probe bool) {
	role := r.Role
	if role == logic.RoleUnknown {
		role = r.Load.Role
	}
	if role != logic.RoleUnknown && role != m.role && (m.role == logic.RoleUnknown || now-m.roleLoggedAt >= roleLogInterval) {
		slog.Info("database role", "name", m.name, "address", m.address, "from", roleNames[m.role], "to", roleNames[role])
		m.role, m.roleLoggedAt = role, now
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

// zoneNumber returns the index of a zone; -1, which is no proxy's zone, if it is unknown.
func (e *Engine) zoneNumber(name string) int {
	for i, z := range e.cfg.Zones {
		if z == name {
			return i
		}
	}
	return -1
}

func (e *Engine) closeIdle(m *member) {
	for len(m.idleConns) > 0 {
		e.closeConn(m.idleConns[len(m.idleConns)-1])
	}
	for len(m.syncingConns) > 0 {
		e.closeConn(m.syncingConns[len(m.syncingConns)-1])
	}
	if c := m.probeConn; c != nil && (c.state == connIdle || c.state == connSyncing) {
		e.closeConn(c)
	}
	if m.overdueConn != nil {
		e.closeConn(m.overdueConn)
	}
}
