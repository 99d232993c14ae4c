package logic

// The subset of databases that this proxy keeps connections to, where its tier shares health checks. Which they are is internal/subset's to
// say. It only narrows the choice among members that would do alike: those of the ping window that pass every other filter. Where none of
// the subset can take a read, any other may.

// SetSubset tells which members belong to the subset. It replaces what was told before; none = there is no subset.
func (r *Router) SetSubset(ids []MemberID) {
	for _, m := range r.order {
		m.inSubset = false
	}
	for _, id := range ids {
		if m := r.members[id]; m != nil {
			m.inSubset = true
		}
	}
}

// draw picks one of several members at random, of the subset if any of them belongs to it.
func (r *Router) draw(list []*member) *member {
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
