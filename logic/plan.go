package logic

import "time"

// A plan of reduced service: what is turned away before any member is chosen. Who makes the plan, and why, is
// not this package's business; that it is kept, and for whom, is decided here.

// Admission says how a group's requests of one class are treated.
type Admission struct {
	Share      float64       // part that is admitted, 0 to 1
	NoRetries  bool          // no further attempts after the first
	RetryAfter time.Duration // hint to those that are turned away
}

const (
	turnEvery = 15 * time.Second       // then the draw turns, so that nobody is cut off for the whole day
	heavyTurn = 250 * time.Millisecond // who sends much of a group's traffic is shed by parts of its requests
)

// SetAdmission puts a group's plan into effect, an entry a class; an empty one admits all. It is kept by reference.
func (r *Router) SetAdmission(g GroupID, plan []Admission) {
	if group := r.groups[g]; group != nil {
		group.plan = plan
	}
}

// admits counts a request and draws whether the plan lets it in. The draw is its caller's and holds for a
// while: who tries again at once gets the same answer, and a stricter plan sheds those of a milder one too.
func (r *Router) admits(now time.Duration, q *Request, g *group) bool {
	who := q.ClientKey
	if who == 0 {
		who = uint64(q.ID)
	}
	h := mix(who)
	heavy := g.draws.note(now, h)
	t := &g.tally[q.Class]
	key := callerKey(q)
	again := !heavy && g.draws.again(now, key)
	if again {
		t.Retries++
	} else {
		t.Offered++
	}
	if len(g.plan) <= q.Class || g.plan[q.Class].Share >= 1 {
		return true
	}
	turn := turnEvery
	if heavy {
		turn = heavyTurn
	}
	epoch := (uint64(now) + h%uint64(turn)) / uint64(turn) // turns come at a time of each caller's own
	if float64(mix(h^epoch)>>11)/(1<<53) < g.plan[q.Class].Share {
		return true
	}
	if !again {
		t.Shed++
		g.draws.refuse(now, key)
	}
	return false
}

// shed turns a request away that the plan doesn't admit, before anything is kept of it.
func (r *Router) shed(q *Request, g *group) {
	hint := time.Duration(0)
	if r.cfg.EnableRetryAfter {
		hint = g.plan[q.Class].RetryAfter
		hint = min(hint/2+time.Duration(mix(uint64(q.ID))%uint64(hint+1)), r.cfg.MaxRetryAfter)
	}
	r.act.Refuse(q.ID, hint)
}

// repeats tells whether the plan allows further attempts.
func (q *request) repeats() bool {
	return len(q.group.plan) <= q.Class || !q.group.plan[q.Class].NoRetries
}
