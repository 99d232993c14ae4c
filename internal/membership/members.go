package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Members is the merged view with what it is made of. It is not safe for concurrent use; times must not go back.
type Members struct {
	config    Config
	sources   []*source
	byID      map[string]*Member // by any id that it bears
	byAddress map[string]*Member // by address
	order     []*Member          // in the order of their coming
	view      *immutable.SortedMap[string, Entry]
	dirty     []*Member
	changed   []Entry
	version   uint64
}

// Member is one database.
type Member struct {
	Entry
	members      *Members
	reports      []report // by source
	ids          []string
	lastAlive    time.Duration // the last sign of life; 0 = none
	silent       bool
	absentSince  time.Duration // since when no catalogue lists it; 0 = one does
	failingSince time.Duration // since when all that list it call it critical; 0 = not all do
	renamedAt    time.Duration // when a new id came at its address; 0 = that is settled
	newID        string        // that id
	queued       bool
}

// report is what a catalogue says of a member.
type report struct {
	Fact
	listed         bool
	unchangedSince time.Duration // it has said so
	delistedAt     time.Duration // it listed it until then; 0 = it never did
	penalty        float64
	penaltyAt      time.Duration // when the penalty was reckoned
	damped         bool
}

type source struct {
	name         string
	trust        Trust
	hasAnswered  bool // it has answered
	lastContact  time.Duration
	index        uint64
	behind       time.Duration
	failures     int
	lastErr      string
	skipped      int
	listed       int
	doubtedSince time.Duration // since when; 0 = it is not
	listedBefore int           // how many it listed before the doubt
	doubts       int
	dropped      bool
}

// New returns an empty view.
func New(cfg Config) *Members {
	return &Members{config: cfg.WithDefaults(), byID: map[string]*Member{}, byAddress: map[string]*Member{}, view: immutable.NewSortedMap[string, Entry](nil)}
}

// Configure replaces the settings.
func (m *Members) Configure(cfg Config) { m.config = cfg.WithDefaults() }

// AddCatalogue registers a catalogue before its first Update, or changes how far it is trusted.
func (m *Members) AddCatalogue(name string, t Trust) {
	if t.Weight == 0 {
		t.Weight = 0.8
	}
	if s := m.sourceIndex(name); s >= 0 {
		m.sources[s].trust, m.sources[s].dropped = t, false
		return
	}
	m.sources = append(m.sources, &source{name: name, trust: t})
}

func (m *Members) sourceIndex(name string) int {
	return slices.IndexFunc(m.sources, func(s *source) bool { return s.name == name })
}

// DropCatalogue removes a catalogue that another replaces. Its members are treated as no longer listed.
func (m *Members) DropCatalogue(now time.Duration, name string) {
	i := m.sourceIndex(name)
	if i < 0 || m.sources[i].dropped {
		return
	}
	m.sources[i].dropped, m.sources[i].listed, m.sources[i].hasAnswered = true, 0, false
	for _, x := range m.order {
		if s := x.report(i); s.listed {
			s.listed, s.delistedAt = false, now
			x.enqueue()
		}
	}
	m.processQueue(now)
}

// CatalogueFailed records that a catalogue could not be queried. Its last reports stay in force and lose weight with time.
func (m *Members) CatalogueFailed(now time.Duration, name string, why string) {
	if i := m.sourceIndex(name); i >= 0 {
		m.sources[i].failures++
		m.sources[i].lastErr = why
	}
	m.processQueue(now)
}

// Update handles a catalogue's answer.
func (m *Members) Update(now time.Duration, name string, n News) {
	i := m.sourceIndex(name)
	if i < 0 || m.sources[i].dropped {
		return
	}
	src := m.sources[i]
	if n.NoLead && !src.trust.Binding { // nobody answers for what it says; but a drain is believed of anybody
		src.failures++
		src.lastErr = "it knows of no leader"
		n.Whole = false
		n.Facts = slices.DeleteFunc(slices.Clone(n.Facts), func(f Fact) bool { return f.Health < Draining || f.Health == Terminated })
		for _, f := range n.Facts {
			if x := m.byID[f.ID]; x != nil && x.Address == f.Address {
				x.receive(now, i, f)
			}
		}
		m.processQueue(now)
		return
	}
	src.hasAnswered, src.lastContact, src.index, src.behind, src.failures = true, now, n.Index, n.Behind, 0
	src.skipped += n.Skipped
	was := src.listed
	seen := map[*Member]bool{}
	for _, f := range n.Facts {
		if f.Health == Terminated {
			if x := m.byID[f.ID]; x != nil {
				x.delist(now, i)
				x.report(i).Health = Terminated
			}
			continue
		}
		if _, err := netip.ParseAddrPort(f.Address); err != nil && !src.trust.Binding {
			src.skipped++ // a name, which nobody looks up here
			continue
		}
		x := m.find(now, i, f)
		if x == nil || seen[x] { // two nodes with one address, or an id given twice: the first one counts
			src.skipped++
			continue
		}
		seen[x] = true
		x.receive(now, i, f)
	}
	vanished := 0
	if n.Whole {
		for _, x := range m.order {
			if x.report(i).listed && !seen[x] {
				vanished++
			}
		}
		// Doubt comes before the members lose their places, so that none is dropped by what is doubted.
		if !src.trust.Binding && was >= m.config.Least && float64(vanished) > m.config.Panic*float64(was) && src.doubtedSince == 0 {
			src.doubtedSince, src.listedBefore = now, was
			src.doubts++
		}
		for _, x := range m.order {
			if x.report(i).listed && !seen[x] {
				x.delist(now, i)
			}
		}
	}
	src.listed = 0
	for _, x := range m.order {
		if x.report(i).listed {
			src.listed++
		}
	}
	if src.doubtedSince > 0 && float64(src.listed) >= (1-m.config.Panic/2)*float64(src.listedBefore) {
		m.endDoubt(now, i)
	}
	m.processQueue(now)
}

// believe ends the doubt in a catalogue. What it doesn't list counts as lost from now on.
func (m *Members) endDoubt(now time.Duration, i int) {
	m.sources[i].doubtedSince = 0
	for _, x := range m.order {
		if s := x.report(i); !s.listed && s.delistedAt > 0 {
			s.delistedAt = now
			x.enqueue()
		}
	}
}

// find gives the member that a fact is about, or makes it. A known id is that member, wherever it is now. A new id at an old address
// is the same process if its connections say so; until they have had the time to, it is in use as it was.
func (m *Members) find(now time.Duration, i int, f Fact) *Member {
	if x := m.byID[f.ID]; x != nil {
		if x.Address != f.Address {
			if other := m.byAddress[f.Address]; other != nil && other != x && other.Entry.State != Gone {
				return nil // another has that place
			}
			delete(m.byAddress, x.Address)
			m.byAddress[f.Address] = x
			if s := x.report(i); s.listed && (f.Started == 0 || f.Started != s.Started) { // a process doesn't move: this is another, and cold
				x.markStarted(now)
			}
		}
		return x
	}
	if x := m.byAddress[f.Address]; x != nil {
		listed := false // by this source, under another id, in an answer of today
		for k := range x.reports {
			listed = listed || k == i && x.reports[k].listed && x.reports[k].ID != f.ID && !m.sources[i].trust.Binding
		}
		switch {
		case x.Entry.State == Gone && !x.inUse():
			m.forget(x)
		case m.sources[i].trust.Binding: // its ids are what they are
			break
		case listed && x.renamedAt > 0 && x.newID != f.ID:
			return nil
		case i != x.firstSource(): // another catalogue has its own names for it
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		case x.renamedAt == 0:
			x.renamedAt, x.newID = now, f.ID
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		default:
			return x
		}
	}
	x := &Member{members: m, ids: []string{f.ID}}
	x.Entry = Entry{ID: f.ID, Address: f.Address}
	m.byID[f.ID], m.byAddress[f.Address] = x, x
	m.order = append(m.order, x)
	return x
}

// first is the source that named the member first.
func (x *Member) firstSource() int {
	for i := range x.reports {
		if x.reports[i].listed || x.reports[i].delistedAt > 0 {
			return i
		}
	}
	return -1
}

func (m *Members) forget(x *Member) {
	for _, id := range x.ids {
		if m.byID[id] == x {
			delete(m.byID, id)
		}
	}
	if m.byAddress[x.Address] == x {
		delete(m.byAddress, x.Address)
	}
	m.order = slices.DeleteFunc(m.order, func(y *Member) bool { return y == x })
}

// begin notes that a member's process is taken to have started just now: what was seen of an earlier one is void.
func (x *Member) markStarted(now time.Duration) {
	x.Begun, x.lastAlive, x.silent = now, 0, false
}

// inUse tells whether a member is in the view.
func (x *Member) inUse() bool {
	_, ok := x.members.view.Get(x.ID)
	return ok
}

// say gives a source's place with a member.
func (x *Member) report(i int) *report {
	for len(x.reports) <= i {
		x.reports = append(x.reports, report{})
	}
	return &x.reports[i]
}

// better tells healths that let a member in from those that don't.
func (h Health) admits() bool { return h == Passing || h == Warning }

// take notes what a source says.
func (x *Member) receive(now time.Duration, i int, f Fact) {
	s := x.report(i)
	if !s.listed && s.delistedAt > 0 || s.listed && s.Health.admits() != f.Health.admits() && f.Health < Draining && s.Health < Draining {
		x.addPenalty(now, s)
	}
	if !s.listed || s.Health != f.Health || s.Role != f.Role {
		s.unchangedSince = now
	}
	if f.Started > 0 && f.Started > s.Started && s.Started > 0 {
		x.lastAlive, x.silent = 0, false // another process: what was seen of the old one is void
	}
	s.Fact, s.listed = f, true
	x.enqueue()
}

// lose notes that a source lists a member no more.
func (x *Member) delist(now time.Duration, i int) {
	s := x.report(i)
	if s.listed {
		s.listed, s.delistedAt, s.unchangedSince = false, now, now
		x.addPenalty(now, s)
		x.enqueue()
	}
}

// flap adds a penalty for a change, over what time has left of the earlier ones.
func (x *Member) addPenalty(now time.Duration, s *report) {
	c := &x.members.config
	s.penalty = min(s.decayedPenalty(now, c.Half)+c.Flap, c.Most)
	s.penaltyAt = now
	if s.penalty > c.Suppress {
		s.damped = true
	}
}

func (s *report) decayedPenalty(now, half time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.penaltyAt)/float64(half))
}

// MarkAlive records that a member answered, on a connection that has been up since opened (0 = unknown).
func (m *Members) MarkAlive(now time.Duration, id string, opened time.Duration) {
	x := m.byID[id]
	if x == nil {
		return
	}
	fresh := x.silent || x.lastAlive == 0 || now-x.lastAlive > m.config.Answers
	x.lastAlive, x.silent = now, false
	if x.renamedAt > 0 && opened > 0 && opened < x.renamedAt { // the connection has outlived the change of names
		x.renamedAt = 0
		fresh = true
	}
	if fresh {
		x.enqueue()
		m.processQueue(now)
	}
}

// MarkSilent records that a member owes answers and gives none.
func (m *Members) MarkSilent(now time.Duration, id string) {
	if x := m.byID[id]; x != nil && !x.silent {
		x.silent = true
		x.enqueue()
		m.processQueue(now)
	}
}

// Tick does what is due by the clock. Ten calls a second are enough.
func (m *Members) Tick(now time.Duration) {
	for i, s := range m.sources {
		if s.doubtedSince > 0 && now-s.doubtedSince >= m.config.PanicFor {
			m.endDoubt(now, i)
		}
	}
	for _, x := range m.order {
		if x.isTimeDependent() {
			x.enqueue()
		}
	}
	m.processQueue(now)
}

// waits tells of a member whose state may change by time alone.
func (x *Member) isTimeDependent() bool {
	if x.absentSince > 0 || x.failingSince > 0 || x.renamedAt > 0 || x.Entry.State == Gone {
		return true
	}
	return slices.ContainsFunc(x.reports, func(s report) bool { return s.damped })
}

func (x *Member) enqueue() {
	if !x.queued {
		x.queued = true
		x.members.dirty = append(x.members.dirty, x)
	}
}

func (x *Member) isAlive(now time.Duration) bool {
	return x.lastAlive > 0 && !x.silent && now-x.lastAlive <= x.members.config.Answers
}

// settle decides all members that something has happened to.
func (m *Members) processQueue(now time.Duration) {
	list := m.dirty
	m.dirty = nil
	for _, x := range list {
		x.queued = false
		if x.renamedAt > 0 && now-x.renamedAt >= m.config.Same {
			m.replace(now, x)
			continue
		}
		m.reevaluate(now, x)
	}
}

// judge decides one member, and puts what comes of it into the view.
func (m *Members) reevaluate(now time.Duration, x *Member) {
	x.Entry.State, x.Entry.Why = x.decide(now)
	x.describe(now)
	m.publish(x)
}

// replace lets a new id at an old address be a new database: no connection from before has answered.
func (m *Members) replace(now time.Duration, x *Member) {
	id, began, said := x.newID, x.renamedAt, x.reports
	x.renamedAt = 0
	x.Entry.State, x.Entry.Why = Gone, "another id has its address"
	m.publish(x)
	m.forget(x)
	for i := range said {
		if !said[i].listed || said[i].ID != id {
			continue
		}
		y := m.find(now, i, said[i].Fact)
		if y == nil { // another has taken the address meanwhile
			continue
		}
		y.receive(now, i, said[i].Fact)
		y.Begun = began
		m.reevaluate(now, y)
	}
}

// decide says what becomes of a member, and why.
func (x *Member) decide(now time.Duration) (State, string) {
	c := &x.members.config
	listed, passing, critical, doubted, damped := "", "", "", "", ""
	lost := time.Duration(0)
	for i := range x.reports {
		s, src := &x.reports[i], x.members.sources[i]
		if s.damped && s.decayedPenalty(now, c.Half) < c.Reuse {
			s.damped = false
		}
		switch {
		case s.listed && (s.Health == Draining || s.Health == Maintenance): // whatever else is said
			return Drains, src.name + " says " + s.Health.String()
		case s.listed && src.trust.Binding:
			return Ready, src.name + " lists it"
		case !s.listed && src.trust.Binding && s.delistedAt > 0 && !src.dropped:
			return Gone, src.name + " lists it no more"
		case s.damped && !src.dropped:
			damped = src.name
		case s.listed && s.Health.admits():
			listed, passing = src.name, src.name
		case s.listed:
			listed, critical = src.name, src.name
		case src.doubtedSince > 0 && s.delistedAt >= src.doubtedSince:
			doubted = src.name
		}
		if !s.listed {
			lost = max(lost, s.delistedAt)
		}
	}
	if x.absentSince = 0; listed == "" && damped == "" && doubted == "" {
		x.absentSince = lost
	}
	if x.failingSince = cmp.Or(x.failingSince, now); critical == "" || passing != "" {
		x.failingSince = 0
	}
	answers := x.isAlive(now)
	was, inUse := x.members.view.Get(x.ID)
	inUse = inUse && was.State == Ready
	switch {
	case passing != "":
		return Ready, passing + " says passing"
	case answers && critical != "":
		return Ready, "it answers, though " + critical + " says critical"
	case damped != "" && (answers || inUse && !x.silent):
		return Ready, damped + " flaps, and is not followed"
	case doubted != "" && inUse:
		return Ready, doubted + " has lost too many at once to be believed"
	case critical != "" && inUse && now-x.failingSince < c.Failing:
		return Ready, critical + " says critical, for now"
	case critical != "" || damped != "":
		return Gone, "it doesn't answer, and " + cmp.Or(critical, damped) + " says no better"
	case answers && now-x.absentSince < c.Keep:
		return Ready, "it answers, though nobody lists it"
	case inUse && now-x.absentSince < c.Lost:
		return Ready, "it was listed a moment ago"
	}
	return Gone, "nobody lists it"
}

// describe fills in what the view tells of a member, from the weightiest source that lists it.
func (x *Member) describe(now time.Duration) {
	best, weight := -1, -1.0
	role, roleWeight := NoRole, 0.0
	for i := range x.reports {
		s, src := &x.reports[i], x.members.sources[i]
		if !s.listed && s.delistedAt == 0 {
			continue
		}
		w := src.weight(now, x.members.config.Decay)
		if !s.listed {
			w /= 100 // what it last said, where nobody says more
		}
		if w > weight {
			best, weight = i, w
		}
		if s.listed && s.Role != NoRole && w > roleWeight {
			role, roleWeight = s.Role, w
		}
	}
	if best < 0 {
		return
	}
	f := &x.reports[best].Fact
	x.Address, x.Zone, x.Group, x.Weight, x.Role = f.Address, f.Zone, f.Group, f.Weight, role
	x.Started = max(x.Started, f.Started)
}

// weight is that of a source's word: less, the longer it has not been heard.
func (s *source) weight(now, half time.Duration) float64 {
	if !s.hasAnswered || s.dropped {
		return 0
	}
	return s.trust.Weight * math.Exp2(-float64(now-s.lastContact+s.behind)/float64(half))
}

// publish puts a member's change into the view. One that is gone, and that nobody lists any more, is forgotten.
func (m *Members) publish(x *Member) {
	was, in := m.view.Get(x.ID)
	switch {
	case x.State == Gone:
		if in {
			m.view = m.view.Delete(x.ID)
			m.recordChange(x)
		}
		if x.absentSince > 0 {
			m.forget(x)
		}
	case !in || !sameEntry(x.Entry, was):
		m.view = m.view.Set(x.ID, x.Entry)
		m.recordChange(x)
	}
}

func (m *Members) recordChange(x *Member) {
	m.version++
	m.changed = append(m.changed, x.Entry)
}

// same tells whether nothing has changed that anybody acts on.
func sameEntry(a, b Entry) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Group == b.Group && a.State == b.State && a.Role == b.Role && a.Weight == b.Weight &&
		a.Started == b.Started && a.Begun == b.Begun && a.Why == b.Why
}

// TakeChanges returns the members that have changed since the last call, in the order of their changes.
func (m *Members) TakeChanges() []Entry {
	out := m.changed
	m.changed = nil
	return out
}

// View returns the members in use and the version of the view. It is a persistent map that never changes: a holder reads one version
// without a lock or a copy.
func (m *Members) View() (*immutable.SortedMap[string, Entry], uint64) { return m.view, m.version }

// Explain returns all that is known of each member, for operators, sorted by group and ID.
func (m *Members) Explain(now time.Duration) (out []Entry) {
	for _, x := range m.order {
		e := x.Entry
		for i := range x.reports {
			s, src := &x.reports[i], m.sources[i]
			if !s.listed && s.delistedAt == 0 || src.dropped {
				continue
			}
			what := s.Health.String()
			if s.Role != NoRole {
				what += ", " + s.Role.String()
			}
			if !s.listed {
				what = "not listed"
			}
			if s.damped {
				what += fmt.Sprintf(", damped (%.0f)", s.decayedPenalty(now, m.config.Half))
			}
			e.Facts = append(e.Facts, Known{Source: src.name, What: what, Age: now - s.unchangedSince, Confidence: src.weight(now, m.config.Decay)})
		}
		if x.lastAlive > 0 {
			k := Known{Source: "seen", What: "answers", Age: now - x.lastAlive, Confidence: 1}
			if x.silent {
				k.What = "silent"
			}
			e.Facts = append(e.Facts, k)
		}
		slices.SortStableFunc(e.Facts, func(a, b Known) int { return cmp.Compare(b.Confidence, a.Confidence) })
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Catalogues returns the state of each catalogue, for operators.
func (m *Members) Catalogues(now time.Duration) (out []Catalogue) {
	for i, s := range m.sources {
		if s.dropped {
			continue
		}
		c := Catalogue{Name: s.name, Members: s.listed, Index: s.index, Contact: now - s.lastContact, Behind: s.behind, Failures: s.failures,
			Doubted: s.doubtedSince > 0, Doubts: s.doubts, Skipped: s.skipped, LastError: s.lastErr}
		if !s.hasAnswered {
			c.Contact = -1
		}
		for _, x := range m.order {
			if x.report(i).damped {
				c.Suppressed++
			}
		}
		out = append(out, c)
	}
	return out
}
