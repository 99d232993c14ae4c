package healthcheck

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// Relay is a planner's side: it takes the proxies' reports, and sends each link what has changed. It draws no conclusion of its own but
// which checkers are silent, so that a planner that is wrong can at most withhold. All of it is soft state.
type Relay struct {
	config    Config
	freshness freshness
	origins   map[subset.ProxyID]*origin
	latest    map[reportKey]stored
	ailing    map[subset.DatabaseID]int // how many of latest call a database anything but alive
	log       []Change                  // what has changed, the oldest first
	base      int                       // how many entries have been cut off the front of log
	links     map[subset.ProxyID]*link
	ticked    time.Duration
}

// silenceGrain is how often it is looked up who is silent.
const silenceGrain = 500 * time.Millisecond

// reportKey names what there is one newest report of.
type reportKey struct {
	origin   subset.ProxyID
	database subset.DatabaseID
}

// stored is the newest report of an origin on a database.
type stored struct {
	report Report
	logged int // the entry of the log that tells of its status and role, counted from the beginning; notLogged = none does
}

const notLogged = -1

// origin is a proxy as a source of heartbeats.
type origin struct {
	heard  time.Duration
	silent bool
}

// link is one proxy's, as it is sent to.
type link struct {
	budget  byteBudget
	sent    int      // entries of the log, counted from its beginning
	backlog []Change // what was known before the link began
	last    time.Duration
}

// maxLog is how many entries are kept for links that lag behind. A link that lags further behind begins anew.
const maxLog = 16384

// NewRelay makes one that has heard of no proxy. Of the config it needs the plan, and the epoch of the planner's process.
func NewRelay(config Config) *Relay {
	return &Relay{config: config, freshness: newFreshness(config.disabled), origins: map[subset.ProxyID]*origin{},
		latest: map[reportKey]stored{}, ailing: map[subset.DatabaseID]int{}, links: map[subset.ProxyID]*link{}}
}

// Attach begins a link to a proxy: what is known goes out first, deaths before all else, at the pace of the budget.
func (r *Relay) Attach(now time.Duration, id subset.ProxyID) {
	l := &link{budget: newByteBudget(r.config.Plan.BytesPerSecond), sent: r.base + len(r.log)}
	if r.config.has(guardSnapshot) {
		l.backlog = r.snapshot(now)
	}
	r.links[id] = l
}

// Detach ends a link.
func (r *Relay) Detach(id subset.ProxyID) { delete(r.links, id) }

// snapshot gives what a new link has to know: silent checkers, what is not alive (it is refreshed), and what
// has changed lately.
func (r *Relay) snapshot(now time.Duration) (changes []Change) {
	for _, id := range slices.Sorted(maps.Keys(r.origins)) {
		if r.origins[id].silent {
			changes = append(changes, Change{CheckerSilent, Report{Origin: id}})
		}
	}
	silent := len(changes)
	for _, s := range r.latest {
		recent := now-s.report.ObservedAt <= ReportTTL && (s.logged != notLogged || r.ailing[s.report.Database] > 0)
		if s.report.Status != Alive || recent {
			changes = append(changes, Change{ReportChanged, s.report})
		}
	}
	slices.SortFunc(changes[silent:], func(x, y Change) int {
		return cmp.Or(cmp.Compare(y.Report.Status, x.Report.Status), cmp.Compare(x.Report.Database, y.Report.Database),
			cmp.Compare(x.Report.Origin, y.Report.Origin))
	})
	return changes
}

// Receive takes a proxy's message.
func (r *Relay) Receive(now time.Duration, m Message) {
	if m.Epoch < r.freshness.epochs[m.From] && r.freshness.has(guardEpoch) {
		r.freshness.counters.StaleEpoch++
		return
	}
	o := r.origins[m.From]
	if o == nil {
		o = &origin{}
		r.origins[m.From] = o
	}
	if o.heard = now; o.silent {
		o.silent = false
		r.append(Change{CheckerResumed, Report{Origin: m.From}})
	}
	for _, report := range m.Reports {
		r.receive(now, m, report)
	}
}

func (r *Relay) receive(now time.Duration, m Message, report Report) {
	if report.Origin != m.From { // a proxy speaks to a planner for itself only
		r.freshness.counters.ForeignOrigin++
		return
	}
	key := keyOf(report)
	var known *Report
	next := stored{report, notLogged}
	if k, ok := r.latest[key]; ok {
		known, next.logged = &k.report, k.logged
	}
	ok, _ := r.freshness.accept(now, report, known)
	if !ok {
		return
	}
	news := r.isNews(report, known)
	r.drop(key)
	if report.Status != Alive {
		r.ailing[report.Database]++
	}
	if news {
		next.logged = r.base + len(r.log)
	}
	r.latest[key] = next
	if news {
		r.append(Change{ReportChanged, report})
	}
}

// isNews tells whether a report is to be sent to all. A refreshed one is not: as long as digests come, what was sent before stands. Nor
// is the first report of a checker that a database is alive, as long as nobody says otherwise: a tier that starts would send all of them
// to all.
func (r *Relay) isNews(report Report, known *Report) bool {
	if known != nil {
		return known.Status != report.Status || known.Role != report.Role
	}
	mayHaveToldOtherwise := report.Epoch < r.config.Epoch // to the planner before this one
	return report.Status != Alive || r.ailing[report.Database] > 0 || mayHaveToldOtherwise
}

// drop forgets the newest report of an origin on a database.
func (r *Relay) drop(key reportKey) {
	if s, ok := r.latest[key]; ok && s.report.Status != Alive {
		if r.ailing[key.database]--; r.ailing[key.database] == 0 {
			delete(r.ailing, key.database)
		}
	}
	delete(r.latest, key)
}

// dropAll forgets all reports of an origin.
func (r *Relay) dropAll(id subset.ProxyID) {
	for key := range r.latest {
		if key.origin == id {
			r.drop(key)
		}
	}
}

// RemoveProxy drops a proxy that has left the tier.
func (r *Relay) RemoveProxy(id subset.ProxyID) {
	delete(r.origins, id)
	r.dropAll(id)
}

// Tick finds out who is silent. What a silent checker reported is dropped: it reports anew when it is back.
func (r *Relay) Tick(now time.Duration) {
	if now-r.ticked < silenceGrain {
		return
	}
	r.ticked = now
	for _, id := range slices.Sorted(maps.Keys(r.origins)) {
		if o := r.origins[id]; !o.silent && now-o.heard > CheckerTimeout {
			o.silent = true
			r.append(Change{CheckerSilent, Report{Origin: id}})
			if r.config.has(guardSilence) {
				r.dropAll(id)
			}
		}
	}
}

// NextDigest gives the digest to be sent to a proxy now; false = there is none.
func (r *Relay) NextDigest(now time.Duration, id subset.ProxyID) (Digest, bool) {
	l := r.links[id]
	if l == nil {
		return Digest{}, false
	}
	l.budget.fill(now)
	if l.sent < r.base { // what it lacks has been cut off
		r.Attach(now, id)
		r.links[id].budget, l = l.budget, r.links[id]
	}
	r.skipSuperseded(l)
	waiting := len(l.backlog) + r.base + len(r.log) - l.sent
	if waiting == 0 && now-l.last < HeartbeatInterval {
		return Digest{}, false
	}
	n := min(waiting, MaxChanges)
	if r.config.has(guardBytes) {
		if n = l.budget.entries(ChangeBytes, n); n < 0 || n == 0 && waiting > 0 && now-l.last < HeartbeatInterval {
			return Digest{}, false
		}
	}
	changes := r.takeFor(l, n)
	l.budget.spend(ChangeBytes, len(changes))
	l.last = now
	return Digest{changes}, true
}

// skipSuperseded passes over what a newer entry of the log replaces, so that a link that lags is sent each report once, the newest.
func (r *Relay) skipSuperseded(l *link) {
	for l.sent < r.base+len(r.log) && r.superseded(l.sent) {
		l.sent++
	}
}

// superseded tells whether a later entry, or none at all, holds what this one told.
func (r *Relay) superseded(entry int) bool {
	change := r.log[entry-r.base]
	return change.Kind == ReportChanged && r.latest[keyOf(change.Report)].logged != entry
}

func keyOf(r Report) reportKey { return reportKey{r.Origin, r.Database} }

// takeFor takes at most n changes off what waits for a link. A change since the link began outranks the backlog, save for what the backlog says
// of who is silent, which it begins with.
func (r *Relay) takeFor(l *link, n int) (changes []Change) {
	for len(changes) < n && len(l.backlog) > 0 && l.backlog[0].Kind == CheckerSilent {
		changes = append(changes, l.backlog[0])
		l.backlog = l.backlog[1:]
	}
	for r.skipSuperseded(l); len(changes) < n && l.sent < r.base+len(r.log); r.skipSuperseded(l) {
		change := r.log[l.sent-r.base]
		if change.Kind == ReportChanged {
			change.Report = r.latest[keyOf(change.Report)].report // as refreshed since
		}
		changes = append(changes, change)
		l.sent++
	}
	older := l.backlog[:min(len(l.backlog), n-len(changes))]
	l.backlog = l.backlog[len(older):]
	return append(changes, older...)
}

// append adds to the log, and cuts off what no link needs, or what is too much.
func (r *Relay) append(c Change) {
	r.log = append(r.log, c)
	if len(r.log) < 2*maxLog {
		return
	}
	cut := len(r.log) - maxLog
	r.log = slices.Clone(r.log[cut:])
	r.base += cut
}

// Counters gives what has been accepted and dropped.
func (r *Relay) Counters() Counters { return r.freshness.counters }
