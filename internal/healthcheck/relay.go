package healthcheck

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// Relay implements a planner's part of shared health checking: it receives the proxies' reports and sends each connected proxy what has
// changed. Its only conclusion is which checkers are silent, so a faulty planner can at most withhold reports. All of its state is soft.
type Relay struct {
	config           Config
	filter           reportFilter
	origins          map[subset.ProxyID]*originState
	latest           map[reportKey]storedReport
	unhealthyReports map[subset.DatabaseID]int // number of reports in latest other than Alive, by database
	log              []Change                  // changes, oldest first
	logStart         int                       // number of entries removed from the front of log
	links            map[subset.ProxyID]*relayLink
	lastTick         time.Duration
}

// silenceCheckInterval is how often the relay checks for silent checkers.
const silenceCheckInterval = 500 * time.Millisecond

// reportKey identifies the origin and the database of a report.
type reportKey struct {
	origin   subset.ProxyID
	database subset.DatabaseID
}

// storedReport is the newest report of an origin about a database.
type storedReport struct {
	report   Report
	logIndex int // index, counted from the first entry ever, of the log entry with its status and role, or notLogged
}

// notLogged is the log index of a report that no log entry contains.
const notLogged = -1

// originState is the state of a proxy as a source of heartbeats.
type originState struct {
	lastHeard time.Duration
	silent    bool
}

// relayLink is the connection to one proxy.
type relayLink struct {
	budget    byteBudget
	nextIndex int      // index of the next log entry to send, counted from the first entry ever
	backlog   []Change // changes from before the connection was opened
	lastSent  time.Duration
}

// maxLogEntries is how many log entries are kept for connections that lag behind. A connection that lags further is restarted with a
// snapshot.
const maxLogEntries = 16384

// NewRelay returns a relay that has not heard from any proxy. It uses Plan and Epoch of the config; Epoch is that of the planner's process.
func NewRelay(config Config) *Relay {
	return &Relay{config: config, filter: newReportFilter(config.disabled), origins: map[subset.ProxyID]*originState{},
		latest: map[reportKey]storedReport{}, unhealthyReports: map[subset.DatabaseID]int{}, links: map[subset.ProxyID]*relayLink{}}
}

// Attach starts a connection to a proxy. The known state is sent first, deaths before everything else, within the byte budget.
func (r *Relay) Attach(now time.Duration, id subset.ProxyID) {
	l := &relayLink{budget: newByteBudget(r.config.Plan.BytesPerSecond), nextIndex: r.logStart + len(r.log)}
	if r.config.enabled(guardSnapshot) {
		l.backlog = r.snapshot(now)
	}
	r.links[id] = l
}

// Detach ends the connection to a proxy.
func (r *Relay) Detach(id subset.ProxyID) { delete(r.links, id) }

// snapshot returns the changes that a new connection is sent first: silent checkers, reports other than Alive (which are refreshed), and
// reports that have changed recently.
func (r *Relay) snapshot(now time.Duration) (changes []Change) {
	for _, id := range slices.Sorted(maps.Keys(r.origins)) {
		if r.origins[id].silent {
			changes = append(changes, Change{CheckerSilent, Report{Origin: id}})
		}
	}
	silent := len(changes)
	for _, s := range r.latest {
		recent := now-s.report.ObservedAt <= ReportTTL && (s.logIndex != notLogged || r.unhealthyReports[s.report.Database] > 0)
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

// Receive processes a message of a proxy.
func (r *Relay) Receive(now time.Duration, message Message) {
	if message.Epoch < r.filter.epochs[message.From] && r.filter.enabled(guardEpoch) {
		r.filter.counters.StaleEpoch++
		return
	}
	origin := r.origins[message.From]
	if origin == nil {
		origin = &originState{}
		r.origins[message.From] = origin
	}
	if origin.lastHeard = now; origin.silent {
		origin.silent = false
		r.append(Change{CheckerResumed, Report{Origin: message.From}})
	}
	for _, report := range message.Reports {
		r.receiveReport(now, message, report)
	}
}

// receiveReport stores a report of a message, and appends it to the log if it must be sent to all proxies.
func (r *Relay) receiveReport(now time.Duration, message Message, report Report) {
	if report.Origin != message.From { // proxies send planners only their own reports
		r.filter.counters.ForeignOrigin++
		return
	}
	key := keyOf(report)
	var known *Report
	next := storedReport{report, notLogged}
	if stored, ok := r.latest[key]; ok {
		known, next.logIndex = &stored.report, stored.logIndex
	}
	ok, _ := r.filter.accept(now, report, known)
	if !ok {
		return
	}
	changed := r.changesState(report, known)
	r.removeReport(key)
	if report.Status != Alive {
		r.unhealthyReports[report.Database]++
	}
	if changed {
		next.logIndex = r.logStart + len(r.log)
	}
	r.latest[key] = next
	if changed {
		r.append(Change{ReportChanged, report})
	}
}

// changesState reports whether a report must be sent to all proxies. A refreshed report need not be: while digests arrive, earlier reports
// remain valid. Nor must a checker's first report that a database is alive, unless another one says otherwise: in a starting tier every such
// report would go to every proxy. The first report of a checker that started before this planner is always sent, since the checker may have
// reported something else to the previous planner.
func (r *Relay) changesState(report Report, known *Report) bool {
	if known != nil {
		return known.Status != report.Status || known.Role != report.Role
	}
	mayDifferFromEarlierReport := report.Epoch < r.config.Epoch
	return report.Status != Alive || r.unhealthyReports[report.Database] > 0 || mayDifferFromEarlierReport
}

// removeReport discards the newest report of an origin about a database.
func (r *Relay) removeReport(key reportKey) {
	if s, ok := r.latest[key]; ok && s.report.Status != Alive {
		if r.unhealthyReports[key.database]--; r.unhealthyReports[key.database] == 0 {
			delete(r.unhealthyReports, key.database)
		}
	}
	delete(r.latest, key)
}

// removeReports discards all reports of an origin.
func (r *Relay) removeReports(id subset.ProxyID) {
	for key := range r.latest {
		if key.origin == id {
			r.removeReport(key)
		}
	}
}

// RemoveProxy discards the state of a proxy that has left the tier. It does not end its connection.
func (r *Relay) RemoveProxy(id subset.ProxyID) {
	delete(r.origins, id)
	r.removeReports(id)
}

// Tick detects silent checkers. The reports of a silent checker are discarded; it sends new ones when it returns.
func (r *Relay) Tick(now time.Duration) {
	if now-r.lastTick < silenceCheckInterval {
		return
	}
	r.lastTick = now
	for _, id := range slices.Sorted(maps.Keys(r.origins)) {
		if o := r.origins[id]; !o.silent && now-o.lastHeard > CheckerTimeout {
			o.silent = true
			r.append(Change{CheckerSilent, Report{Origin: id}})
			if r.config.enabled(guardSilence) {
				r.removeReports(id)
			}
		}
	}
}

// NextDigest returns the digest to send to a proxy now, and false if there is none.
func (r *Relay) NextDigest(now time.Duration, id subset.ProxyID) (Digest, bool) {
	l := r.links[id]
	if l == nil {
		return Digest{}, false
	}
	l.budget.refill(now)
	if l.nextIndex < r.logStart { // entries that it has not been sent have been removed from the log
		r.Attach(now, id)
		r.links[id].budget, l = l.budget, r.links[id]
	}
	r.skipSuperseded(l)
	pending := len(l.backlog) + r.logStart + len(r.log) - l.nextIndex
	if pending == 0 && now-l.lastSent < HeartbeatInterval {
		return Digest{}, false
	}
	n := min(pending, MaxChanges)
	if r.config.enabled(guardBytes) {
		if n = l.budget.maxEntries(ChangeBytes, n); n < 0 || n == 0 && pending > 0 && now-l.lastSent < HeartbeatInterval {
			return Digest{}, false
		}
	}
	changes := r.takeChanges(l, n)
	l.budget.consume(ChangeBytes, len(changes))
	l.lastSent = now
	return Digest{changes}, true
}

// skipSuperseded skips log entries that newer ones replace, so that a connection that lags is sent only the newest report of each origin
// and database.
func (r *Relay) skipSuperseded(l *relayLink) {
	for l.nextIndex < r.logStart+len(r.log) && r.superseded(l.nextIndex) {
		l.nextIndex++
	}
}

// superseded reports whether a log entry has been replaced by a later one, or its report discarded.
func (r *Relay) superseded(entry int) bool {
	change := r.log[entry-r.logStart]
	return change.Kind == ReportChanged && r.latest[keyOf(change.Report)].logIndex != entry
}

// keyOf returns the key under which a report is stored.
func keyOf(r Report) reportKey { return reportKey{r.Origin, r.Database} }

// takeChanges removes at most n pending changes of a connection and returns them. Log entries precede the backlog, except for the silent
// checkers at the head of the backlog.
func (r *Relay) takeChanges(l *relayLink, n int) (changes []Change) {
	for len(changes) < n && len(l.backlog) > 0 && l.backlog[0].Kind == CheckerSilent {
		changes = append(changes, l.backlog[0])
		l.backlog = l.backlog[1:]
	}
	for r.skipSuperseded(l); len(changes) < n && l.nextIndex < r.logStart+len(r.log); r.skipSuperseded(l) {
		change := r.log[l.nextIndex-r.logStart]
		if change.Kind == ReportChanged {
			change.Report = r.latest[keyOf(change.Report)].report // includes refreshes since the entry was made
		}
		changes = append(changes, change)
		l.nextIndex++
	}
	older := l.backlog[:min(len(l.backlog), n-len(changes))]
	l.backlog = l.backlog[len(older):]
	return append(changes, older...)
}

// append adds an entry to the log. If the log has grown to twice maxLogEntries, the older half is removed.
func (r *Relay) append(change Change) {
	r.log = append(r.log, change)
	if len(r.log) < 2*maxLogEntries {
		return
	}
	removed := len(r.log) - maxLogEntries
	r.log = slices.Clone(r.log[removed:])
	r.logStart += removed
}

// Counters returns the counts of accepted and rejected reports.
func (r *Relay) Counters() Counters { return r.filter.counters }
