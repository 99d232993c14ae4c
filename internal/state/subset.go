package state

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
	"havenproxy/logic"
)

// idleOutsideSubset is how long an idle connection to a database outside the subset is kept. Such a connection was
// opened for a check, or because no database of the subset could take a request.
const idleOutsideSubset = 2 * time.Second

// subsetChoice is a choice of the subset together with its inputs.
type subsetChoice struct {
	proxies   int
	used      []subset.Traffic
	databases []subset.Database
	chosen    []subset.DatabaseID // the result
}

func (c *subsetChoice) sameInputs(other *subsetChoice) bool {
	return c.proxies == other.proxies && slices.Equal(c.used, other.used) && slices.Equal(c.databases, other.databases)
}

// chooseSubset chooses the databases that this proxy keeps connections to: in each group that it uses, the primary
// and as many replicas as are needed for even shares of the tier's reads.
func (s *sharedChecks) chooseSubset(e *Engine, now time.Duration) {
	choice := subsetChoice{proxies: len(s.tier), used: s.usedGroups(e, now), databases: s.databasesOf(e, now)}
	if choice.sameInputs(&s.choice) {
		choice.chosen = s.choice.chosen
	} else {
		config := subset.ConnectionConfig{MinReplicas: 1, Proxies: choice.proxies, Seed: s.config.Seed}
		choice.chosen = subset.Connections(s.config.Self, choice.databases, choice.used, config)
	}
	s.choice = choice
	s.useSubset(e, &choice)
}

// useSubset applies a choice. It is called for an unchanged choice as well, for members that were added since.
func (s *sharedChecks) useSubset(e *Engine, choice *subsetChoice) {
	used, kept := choice.used, choice.chosen
	inUse := make(map[subset.GroupID]struct{}, len(used))
	for _, group := range used {
		inUse[group.Group] = struct{}{}
	}
	ids := make([]logic.MemberID, 0, len(kept))
	inSubset := make(map[logic.MemberID]struct{}, len(kept))
	for _, number := range kept {
		id := s.members[number]
		ids = append(ids, id)
		inSubset[id] = struct{}{}
	}
	for _, id := range s.members {
		m := e.members[id]
		if m == nil {
			continue
		}
		_, used := inUse[subset.GroupID(m.group)]
		_, kept := inSubset[id]
		e.setOutsideSubset(m, used && !kept)
	}
	e.dispatch(func() { e.router.SetSubset(ids) })
}

// setOutsideSubset sets whether idle connections to a member are closed early, and resets the timers of its idle
// ones.
func (e *Engine) setOutsideSubset(m *member, outside bool) {
	if m.outsideSubset == outside {
		return
	}
	m.outsideSubset = outside
	for _, c := range m.idleConns {
		e.setIdleTimer(c)
	}
	if m.probeConn != nil && m.probeConn.state == connIdle {
		e.setIdleTimer(m.probeConn)
	}
}

// dropSubset keeps connections to all databases again.
func (s *sharedChecks) dropSubset(e *Engine) {
	s.choice = subsetChoice{}
	for _, m := range e.members {
		e.setOutsideSubset(m, false)
	}
	e.dispatch(func() { e.router.SetSubset(nil) })
}

// usedGroups returns the groups that this proxy sends requests to.
func (s *sharedChecks) usedGroups(e *Engine, now time.Duration) (used []subset.Traffic) {
	seen := map[int]struct{}{}
	for _, number := range s.databases {
		m := e.members[s.members[number]]
		if m == nil {
			continue
		}
		if _, ok := seen[m.group]; ok {
			continue
		}
		seen[m.group] = struct{}{}
		if e.router.InUse(now, logic.GroupID(m.group)) {
			used = append(used, subset.Traffic{Group: subset.GroupID(m.group)})
		}
	}
	return used
}

// databasesOf returns this proxy's databases with the router's facts about them, in the order of s.databases.
func (s *sharedChecks) databasesOf(e *Engine, now time.Duration) []subset.Database {
	databases := make([]subset.Database, 0, len(s.databases))
	for _, number := range s.databases {
		m := e.members[s.members[number]]
		if m == nil {
			continue
		}
		facts, ok := e.router.MemberStats(now, m.id)
		if !ok {
			continue
		}
		databases = append(databases, subset.Database{ID: number, Group: subset.GroupID(m.group), Role: roleOf(facts.Role), Zone: m.zone,
			Usable: m.state == logic.Ready && !facts.Silent && !facts.Failing})
	}
	return databases
}
