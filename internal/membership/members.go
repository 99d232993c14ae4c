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
	cfg     Config
	sources []*source
	byID    map[string]*Member // by any id that it bears
	byPlace map[string]*Member // by address
	order   []*Member          // in the order of their coming
	view    *immutable.SortedMap[string, Entry]
	dirty   []*Member
	changed []Entry
	version uint64
}

// Member is one database.
type Member struct {
	Entry
	m       *Members
	said    []saying // by source
	ids     []string
	heard   time.Duration // the last sign of life; 0 = none
	silent  bool
	absent  time.Duration // since when no catalogue lists it; 0 = one does
	failing time.Duration // since when all that list it call it critical; 0 = not all do
	renamed time.Duration // when a new id came at its address; 0 = that is settled
	newID   string        // that id
	queued  bool
}

// saying is what a source says of a member.
type saying struct {
	Fact
	lists   bool
	since   time.Duration // it has said so
	lostAt  time.Duration // it listed it until then; 0 = it never did
	penalty float64
	at      time.Duration // when the penalty was reckoned
	damped  bool
}

type source struct {
	name     string
	trust    Trust
	known    bool // it has answered
	contact  time.Duration
	index    uint64
	behind   time.Duration
	failures int
	lastErr  string
	skipped  int
	listed   int
	doubted  time.Duration // since when; 0 = it is not
	before   int           // how many it listed before the doubt
	doubts   int
	dropped  bool
}

// New makes an empty view.
func New(cfg Config) *Members {
	return &Members{cfg: cfg.WithDefaults(), byID: map[string]*Member{}, byPlace: map[string]*Member{}, view: immutable.NewSortedMap[string, Entry](nil)}
}

// Configure puts other settings into force.
func (m *Members) Configure(cfg Config) { m.cfg = cfg.WithDefaults() }

// Source names a catalogue before its first news, or changes how far it goes.
func (m *Members) Source(name string, t Trust) {
	if t.Weight == 0 {
		t.Weight = 0.8
	}
	if s := m.source(name); s >= 0 {
		m.sources[s].trust, m.sources[s].dropped = t, false
		return
	}
	m.sources = append(m.sources, &source{name: name, trust: t})
}

func (m *Members) source(name string) int {
	return slices.IndexFunc(m.sources, func(s *source) bool { return s.name == name })
}

// Drop takes a catalogue's word out: another takes its place. Its members stay as those do that vanish.
func (m *Members) Drop(now time.Duration, name string) {
	i := m.source(name)
	if i < 0 || m.sources[i].dropped {
		return
	}
	m.sources[i].dropped, m.sources[i].listed, m.sources[i].known = true, 0, false
	for _, x := range m.order {
		if s := x.say(i); s.lists {
			s.lists, s.lostAt = false, now
			x.queue()
		}
	}
	m.settle(now)
}

// Failed notes that a catalogue could not be asked. What it said stands, and loses weight.
func (m *Members) Failed(now time.Duration, name string, why string) {
	if i := m.source(name); i >= 0 {
		m.sources[i].failures++
		m.sources[i].lastErr = why
	}
	m.settle(now)
}

// News takes in a catalogue's answer.
func (m *Members) News(now time.Duration, name string, n News) {
	i := m.source(name)
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
				x.take(now, i, f)
			}
		}
		m.settle(now)
		return
	}
	src.known, src.contact, src.index, src.behind, src.failures = true, now, n.Index, n.Behind, 0
	src.skipped += n.Skipped
	was := src.listed
	seen := map[*Member]bool{}
	for _, f := range n.Facts {
		if f.Health == Terminated {
			if x := m.byID[f.ID]; x != nil {
				x.lose(now, i)
				x.say(i).Health = Terminated
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
		x.take(now, i, f)
	}
	vanished := 0
	if n.Whole {
		for _, x := range m.order {
			if x.say(i).lists && !seen[x] {
				vanished++
			}
		}
		// Doubt comes before the members lose their places, so that none is dropped by what is doubted.
		if !src.trust.Binding && was >= m.cfg.Least && float64(vanished) > m.cfg.Panic*float64(was) && src.doubted == 0 {
			src.doubted, src.before = now, was
			src.doubts++
		}
		for _, x := range m.order {
			if x.say(i).lists && !seen[x] {
				x.lose(now, i)
			}
		}
	}
	src.listed = 0
	for _, x := range m.order {
		if x.say(i).lists {
			src.listed++
		}
	}
	if src.doubted > 0 && float64(src.listed) >= (1-m.cfg.Panic/2)*float64(src.before) {
		m.believe(now, i)
	}
	m.settle(now)
}

// believe ends the doubt in a catalogue. What it doesn't list counts as lost from now on.
func (m *Members) believe(now time.Duration, i int) {
	m.sources[i].doubted = 0
	for _, x := range m.order {
		if s := x.say(i); !s.lists && s.lostAt > 0 {
			s.lostAt = now
			x.queue()
		}
	}
}

// find gives the member that a fact is about, or makes it. A known id is that member, wherever it is now. A new id at an old address
// is the same process if its connections say so; until they have had the time to, it is in use as it was.
func (m *Members) find(now time.Duration, i int, f Fact) *Member {
	if x := m.byID[f.ID]; x != nil {
		if x.Address != f.Address {
			if other := m.byPlace[f.Address]; other != nil && other != x && other.Entry.State != Gone {
				return nil // another has that place
			}
			delete(m.byPlace, x.Address)
			m.byPlace[f.Address] = x
			if s := x.say(i); s.lists && (f.Started == 0 || f.Started != s.Started) { // a process doesn't move: this is another, and cold
				x.begin(now)
			}
		}
		return x
	}
	if x := m.byPlace[f.Address]; x != nil {
		listed := false // by this source, under another id, in an answer of today
		for k := range x.said {
			listed = listed || k == i && x.said[k].lists && x.said[k].ID != f.ID && !m.sources[i].trust.Binding
		}
		switch {
		case x.Entry.State == Gone && !x.inUse():
			m.forget(x)
		case m.sources[i].trust.Binding: // its ids are what they are
			break
		case listed && x.renamed > 0 && x.newID != f.ID:
			return nil
		case i != x.first(): // another catalogue has its own names for it
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		case x.renamed == 0:
			x.renamed, x.newID = now, f.ID
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		default:
			return x
		}
	}
	x := &Member{m: m, ids: []string{f.ID}}
	x.Entry = Entry{ID: f.ID, Address: f.Address}
	m.byID[f.ID], m.byPlace[f.Address] = x, x
	m.order = append(m.order, x)
	return x
}

// first is the source that named the member first.
func (x *Member) first() int {
	for i := range x.said {
		if x.said[i].lists || x.said[i].lostAt > 0 {
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
	if m.byPlace[x.Address] == x {
		delete(m.byPlace, x.Address)
	}
	m.order = slices.DeleteFunc(m.order, func(y *Member) bool { return y == x })
}

// begin notes that a member's process is taken to have started just now: what was seen of an earlier one is void.
func (x *Member) begin(now time.Duration) {
	x.Begun, x.heard, x.silent = now, 0, false
}

// inUse tells whether a member is in the view.
func (x *Member) inUse() bool {
	_, ok := x.m.view.Get(x.ID)
	return ok
}

// say gives a source's place with a member.
func (x *Member) say(i int) *saying {
	for len(x.said) <= i {
		x.said = append(x.said, saying{})
	}
	return &x.said[i]
}

// better tells healths that let a member in from those that don't.
func (h Health) better() bool { return h == Passing || h == Warning }

// take notes what a source says.
func (x *Member) take(now time.Duration, i int, f Fact) {
	s := x.say(i)
	if !s.lists && s.lostAt > 0 || s.lists && s.Health.better() != f.Health.better() && f.Health < Draining && s.Health < Draining {
		x.flap(now, s)
	}
	if !s.lists || s.Health != f.Health || s.Role != f.Role {
		s.since = now
	}
	if f.Started > 0 && f.Started > s.Started && s.Started > 0 {
		x.heard, x.silent = 0, false // another process: what was seen of the old one is void
	}
	s.Fact, s.lists = f, true
	x.queue()
}

// lose notes that a source lists a member no more.
func (x *Member) lose(now time.Duration, i int) {
	s := x.say(i)
	if s.lists {
		s.lists, s.lostAt, s.since = false, now, now
		x.flap(now, s)
		x.queue()
	}
}

// flap adds a penalty for a change, over what time has left of the earlier ones.
func (x *Member) flap(now time.Duration, s *saying) {
	c := &x.m.cfg
	s.penalty = min(s.decayed(now, c.Half)+c.Flap, c.Most)
	s.at = now
	if s.penalty > c.Suppress {
		s.damped = true
	}
}

func (s *saying) decayed(now, half time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.at)/float64(half))
}

// Heard notes a sign of life of a member, on a connection that was up since opened (0 = not told).
func (m *Members) Heard(now time.Duration, id string, opened time.Duration) {
	x := m.byID[id]
	if x == nil {
		return
	}
	fresh := x.silent || x.heard == 0 || now-x.heard > m.cfg.Answers
	x.heard, x.silent = now, false
	if x.renamed > 0 && opened > 0 && opened < x.renamed { // the connection has outlived the change of names
		x.renamed = 0
		fresh = true
	}
	if fresh {
		x.queue()
		m.settle(now)
	}
}

// Silent notes that a member owes answers and gives none.
func (m *Members) Silent(now time.Duration, id string) {
	if x := m.byID[id]; x != nil && !x.silent {
		x.silent = true
		x.queue()
		m.settle(now)
	}
}

// Tick moves on what moves by time alone. It need not come more often than some ten times a second.
func (m *Members) Tick(now time.Duration) {
	for i, s := range m.sources {
		if s.doubted > 0 && now-s.doubted >= m.cfg.PanicFor {
			m.believe(now, i)
		}
	}
	for _, x := range m.order {
		if x.waits() {
			x.queue()
		}
	}
	m.settle(now)
}

// waits tells of a member whose state may change by time alone.
func (x *Member) waits() bool {
	if x.absent > 0 || x.failing > 0 || x.renamed > 0 || x.Entry.State == Gone {
		return true
	}
	return slices.ContainsFunc(x.said, func(s saying) bool { return s.damped })
}

func (x *Member) queue() {
	if !x.queued {
		x.queued = true
		x.m.dirty = append(x.m.dirty, x)
	}
}

func (x *Member) answers(now time.Duration) bool {
	return x.heard > 0 && !x.silent && now-x.heard <= x.m.cfg.Answers
}

// settle decides all members that something has happened to.
func (m *Members) settle(now time.Duration) {
	list := m.dirty
	m.dirty = nil
	for _, x := range list {
		x.queued = false
		if x.renamed > 0 && now-x.renamed >= m.cfg.Same {
			m.replace(now, x)
			continue
		}
		m.judge(now, x)
	}
}

// judge decides one member, and puts what comes of it into the view.
func (m *Members) judge(now time.Duration, x *Member) {
	x.Entry.State, x.Entry.Why = x.decide(now)
	x.describe(now)
	m.publish(x)
}

// replace lets a new id at an old address be a new database: no connection from before has answered.
func (m *Members) replace(now time.Duration, x *Member) {
	id, began, said := x.newID, x.renamed, x.said
	x.renamed = 0
	x.Entry.State, x.Entry.Why = Gone, "another id has its address"
	m.publish(x)
	m.forget(x)
	for i := range said {
		if !said[i].lists || said[i].ID != id {
			continue
		}
		y := m.find(now, i, said[i].Fact)
		if y == nil { // another has taken the address meanwhile
			continue
		}
		y.take(now, i, said[i].Fact)
		y.Begun = began
		m.judge(now, y)
	}
}

// decide says what becomes of a member, and why.
func (x *Member) decide(now time.Duration) (State, string) {
	c := &x.m.cfg
	listed, passing, critical, doubted, damped := "", "", "", "", ""
	lost := time.Duration(0)
	for i := range x.said {
		s, src := &x.said[i], x.m.sources[i]
		if s.damped && s.decayed(now, c.Half) < c.Reuse {
			s.damped = false
		}
		switch {
		case s.lists && (s.Health == Draining || s.Health == Maintenance): // whatever else is said
			return Drains, src.name + " says " + s.Health.String()
		case s.lists && src.trust.Binding:
			return Ready, src.name + " lists it"
		case !s.lists && src.trust.Binding && s.lostAt > 0 && !src.dropped:
			return Gone, src.name + " lists it no more"
		case s.damped && !src.dropped:
			damped = src.name
		case s.lists && s.Health.better():
			listed, passing = src.name, src.name
		case s.lists:
			listed, critical = src.name, src.name
		case src.doubted > 0 && s.lostAt >= src.doubted:
			doubted = src.name
		}
		if !s.lists {
			lost = max(lost, s.lostAt)
		}
	}
	if x.absent = 0; listed == "" && damped == "" && doubted == "" {
		x.absent = lost
	}
	if x.failing = cmp.Or(x.failing, now); critical == "" || passing != "" {
		x.failing = 0
	}
	answers := x.answers(now)
	was, inUse := x.m.view.Get(x.ID)
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
	case critical != "" && inUse && now-x.failing < c.Failing:
		return Ready, critical + " says critical, for now"
	case critical != "" || damped != "":
		return Gone, "it doesn't answer, and " + cmp.Or(critical, damped) + " says no better"
	case answers && now-x.absent < c.Keep:
		return Ready, "it answers, though nobody lists it"
	case inUse && now-x.absent < c.Lost:
		return Ready, "it was listed a moment ago"
	}
	return Gone, "nobody lists it"
}

// describe fills in what the view tells of a member, from the weightiest source that lists it.
func (x *Member) describe(now time.Duration) {
	best, weight := -1, -1.0
	role, roleWeight := NoRole, 0.0
	for i := range x.said {
		s, src := &x.said[i], x.m.sources[i]
		if !s.lists && s.lostAt == 0 {
			continue
		}
		w := src.weight(now, x.m.cfg.Decay)
		if !s.lists {
			w /= 100 // what it last said, where nobody says more
		}
		if w > weight {
			best, weight = i, w
		}
		if s.lists && s.Role != NoRole && w > roleWeight {
			role, roleWeight = s.Role, w
		}
	}
	if best < 0 {
		return
	}
	f := &x.said[best].Fact
	x.Address, x.Zone, x.Group, x.Weight, x.Role = f.Address, f.Zone, f.Group, f.Weight, role
	x.Started = max(x.Started, f.Started)
}

// weight is that of a source's word: less, the longer it has not been heard.
func (s *source) weight(now, half time.Duration) float64 {
	if !s.known || s.dropped {
		return 0
	}
	return s.trust.Weight * math.Exp2(-float64(now-s.contact+s.behind)/float64(half))
}

// publish puts a member's change into the view. One that is gone, and that nobody lists any more, is forgotten.
func (m *Members) publish(x *Member) {
	was, in := m.view.Get(x.ID)
	switch {
	case x.State == Gone:
		if in {
			m.view = m.view.Delete(x.ID)
			m.change(x)
		}
		if x.absent > 0 {
			m.forget(x)
		}
	case !in || !same(x.Entry, was):
		m.view = m.view.Set(x.ID, x.Entry)
		m.change(x)
	}
}

func (m *Members) change(x *Member) {
	m.version++
	m.changed = append(m.changed, x.Entry)
}

// same tells whether nothing has changed that anybody acts on.
func same(a, b Entry) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Group == b.Group && a.State == b.State && a.Role == b.Role && a.Weight == b.Weight &&
		a.Started == b.Started && a.Begun == b.Begun && a.Why == b.Why
}

// Changes gives the members that have changed since the last call, in the order of their changes.
func (m *Members) Changes() []Entry {
	out := m.changed
	m.changed = nil
	return out
}

// View gives the members in use as they are now. It shares what it can with the views before and behind it, and never changes: who
// holds it reads one version, without a lock or a copy.
func (m *Members) View() (*immutable.SortedMap[string, Entry], uint64) { return m.view, m.version }

// Explain gives all that is known of each member, to be shown.
func (m *Members) Explain(now time.Duration) (out []Entry) {
	for _, x := range m.order {
		e := x.Entry
		for i := range x.said {
			s, src := &x.said[i], m.sources[i]
			if !s.lists && s.lostAt == 0 || src.dropped {
				continue
			}
			what := s.Health.String()
			if s.Role != NoRole {
				what += ", " + s.Role.String()
			}
			if !s.lists {
				what = "not listed"
			}
			if s.damped {
				what += fmt.Sprintf(", damped (%.0f)", s.decayed(now, m.cfg.Half))
			}
			e.Facts = append(e.Facts, Known{Source: src.name, What: what, Age: now - s.since, Confidence: src.weight(now, m.cfg.Decay)})
		}
		if x.heard > 0 {
			k := Known{Source: "seen", What: "answers", Age: now - x.heard, Confidence: 1}
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

// Catalogues gives the sources, to be shown.
func (m *Members) Catalogues(now time.Duration) (out []Catalogue) {
	for i, s := range m.sources {
		if s.dropped {
			continue
		}
		c := Catalogue{Name: s.name, Members: s.listed, Index: s.index, Contact: now - s.contact, Behind: s.behind, Failures: s.failures,
			Doubted: s.doubted > 0, Doubts: s.doubts, Skipped: s.skipped, LastError: s.lastErr}
		if !s.known {
			c.Contact = -1
		}
		for _, x := range m.order {
			if x.say(i).damped {
				c.Suppressed++
			}
		}
		out = append(out, c)
	}
	return out
}
