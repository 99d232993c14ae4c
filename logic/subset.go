package logic

// The subset of databases to which this proxy keeps connections, where its tier shares health checks. Package
// subset selects it. It only narrows the choice among members that are otherwise equal: those within the ping
// window that pass every other filter. If no member of the subset can take a read, any other may.

// SetSubset replaces the subset with the given members; without any there is no subset.
func (r *Router) SetSubset(ids []MemberID) {
	for _, m := range r.memberOrder {
		m.inSubset = false
	}
	for _, id := range ids {
		if m := r.members[id]; m != nil {
			m.inSubset = true
		}
	}
}

// pickRandom picks a random member of the list, from the subset if it contains any of them.
func (r *Router) pickRandom(list []*member) *member {
	if r.sharesChecks() {
		var subset []*member
		for _, m := range list {
			if m.inSubset {
				subset = append(subset, m)
			}
		}
		if len(subset) > 0 {
			list = subset
		}
	}
	return list[r.rng.IntN(len(list))]
}
