package logic

import "time"

// Admission plans for reduced service: which requests are refused before a member is chosen. Other packages make
// the plans; this one applies them and selects the clients that are refused.

// Admission states how a group's requests of one class are treated.
type Admission struct {
	Share      float64       // fraction of requests that is admitted, 0 to 1
	NoRetries  bool          // no attempts after the first
	RetryAfter time.Duration // hint to refused clients
}

const (
	redrawInterval      = 15 * time.Second       // interval at which each client is drawn anew, so that none is refused for a whole day
	heavyRedrawInterval = 250 * time.Millisecond // the same for clients that send much of a group's traffic: they are admitted in part
)

// SetAdmission sets a group's admission plan, with one entry per class; an empty plan admits everything. The slice
// is kept, not copied.
func (r *Router) SetAdmission(g GroupID, plan []Admission) {
	if group := r.groups[g]; group != nil {
		group.admission = plan
	}
}

// admits counts a request and reports whether the plan admits it. The decision is made per client and holds for
// some time: a client that retries at once gets the same result, and a stricter plan refuses all clients that a
// milder one refuses.
func (r *Router) admits(now time.Duration, q *Request, g *group) bool {
	client := q.ClientKey
	if client == 0 {
		client = uint64(q.ID)
	}
	clientHash := splitmix64(client)
	heavy := g.demand.countRequest(now, clientHash)
	counts := &g.counts[q.Class]
	key := demandKey(q)
	isRepeat := !heavy && g.demand.recentlyRefused(now, key)
	if isRepeat {
		counts.Retries++
	} else {
		counts.Offered++
	}
	if len(g.admission) <= q.Class || g.admission[q.Class].Share >= 1 {
		return true
	}
	interval := redrawInterval
	if heavy {
		interval = heavyRedrawInterval
	}
	epoch := (uint64(now) + clientHash%uint64(interval)) / uint64(interval) // clients are drawn anew at different times
	if float64(splitmix64(clientHash^epoch)>>11)/(1<<53) < g.admission[q.Class].Share {
		return true
	}
	if !isRepeat {
		counts.Shed++
		g.demand.recordRefusal(now, key)
	}
	return false
}

// shed refuses a request that the plan does not admit, without keeping any state of it.
func (r *Router) shed(q *Request, g *group) {
	retryAfter := time.Duration(0)
	if r.cfg.EnableRetryAfter {
		retryAfter = g.admission[q.Class].RetryAfter
		retryAfter = min(retryAfter/2+time.Duration(splitmix64(uint64(q.ID))%uint64(retryAfter+1)), r.cfg.MaxRetryAfter)
	}
	r.actions.Refuse(q.ID, retryAfter)
}

// retriesAllowed reports whether the plan allows further attempts.
func (q *request) retriesAllowed() bool {
	return len(q.group.admission) <= q.Class || !q.group.admission[q.Class].NoRetries
}
