package state

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
	"havenproxy/logic"
)

// idleOutsideSubset is how long a connection to a database outside the subset is kept idle: it was opened for a check, or since nobody of
// the subset could take a request.
const idleOutsideSubset = 2 * time.Second

// subsetChoice is what the subset was last chosen from.
type subsetChoice struct {
	proxies   int
	used      []subset.Traffic
	databases []subset.Database
	kept      []subset.DatabaseID // what came of it
}

func (c *subsetChoice) sameFrom(d *subsetChoice) bool {
	return c.proxies == d.proxies && slices.Equal(c.used, d.used) && slices.Equal(c.databases, d.databases)
}

// chooseSubset chooses which databases this proxy keeps connections to, of the groups that it uses: the primaries, and as many replicas as
// give all of them even shares of the tier's reads.
func (s *sharedChecks) chooseSubset(f *Engine, now time.Duration) {
	choice := subsetChoice{proxies: len(s.tier), used: s.usedGroups(f, now), databases: s.databasesOf(f, now)}
	if choice.sameFrom(&s.choice) {
		choice.kept = s.choice.kept
	} else {
		config := subset.ConnectionConfig{MinReplicas: 1, Proxies: choice.proxies, Seed: s.config.Seed}
		choice.kept = subset.Connections(s.config.Self, choice.databases, choice.used, config)
	}
	s.choice = choice
	s.useSubset(f, &choice)
}

// useSubset puts a choice into effect, for members that have come since the last one too.
func (s *sharedChecks) useSubset(f *Engine, choice *subsetChoice) {
	used, kept := choice.used, choice.kept
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
		m := f.members[id]
		if m == nil {
			continue
		}
		_, used := inUse[subset.GroupID(m.group)]
		_, kept := inSubset[id]
		f.setOutsideSubset(m, used && !kept)
	}
	f.tell(func() { f.planned.SetSubset(ids) })
}

// setOutsideSubset tells whether connections to a member are to be closed soon where they are idle; those that are idle now, too.
func (f *Engine) setOutsideSubset(m *member, outside bool) {
	if m.outsideSubset == outside {
		return
	}
	m.outsideSubset = outside
	for _, l := range m.idle {
		f.closeWhenIdle(l)
	}
	if m.probe != nil && m.probe.state == linkIdle {
		f.closeWhenIdle(m.probe)
	}
}

// dropSubset lets connections to all databases be kept again.
func (s *sharedChecks) dropSubset(f *Engine) {
	s.choice = subsetChoice{}
	for _, m := range f.members {
		f.setOutsideSubset(m, false)
	}
	f.tell(func() { f.planned.SetSubset(nil) })
}

// usedGroups gives the groups that this proxy sends requests to.
func (s *sharedChecks) usedGroups(f *Engine, now time.Duration) (used []subset.Traffic) {
	seen := map[int]struct{}{}
	for _, number := range s.databases {
		m := f.members[s.members[number]]
		if m == nil {
			continue
		}
		if _, ok := seen[m.group]; ok {
			continue
		}
		seen[m.group] = struct{}{}
		if f.planned.InUse(now, logic.GroupID(m.group)) {
			used = append(used, subset.Traffic{Group: subset.GroupID(m.group)})
		}
	}
	return used
}

// databasesOf gives the databases of the own list with what the router knows of them, in their order.
func (s *sharedChecks) databasesOf(f *Engine, now time.Duration) []subset.Database {
	databases := make([]subset.Database, 0, len(s.databases))
	for _, number := range s.databases {
		m := f.members[s.members[number]]
		if m == nil {
			continue
		}
		facts, ok := f.planned.MemberStats(now, m.id)
		if !ok {
			continue
		}
		databases = append(databases, subset.Database{ID: number, Group: subset.GroupID(m.group), Role: roleOf(facts.Role), Zone: m.zone,
			Usable: m.state == logic.Ready && !facts.Silent && !facts.Failing})
	}
	return databases
}
