package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/takeover"
)

// TakeoverModel is a small tier that takes work over: some proxies, one key, one database that deduplicates for a while, and a client that may
// retry at other proxies. Each message that was sent may arrive at any time, any number of times, or never; a write that was sent may run at
// once or late. A proxy may end, or be paused anywhere except between its last check and its write, which the group's deduplication covers.
type TakeoverModel struct {
	Proxies        int
	Repeats        int // retries of the client
	Crashes        int
	MaxTicks       int  // of the clock; a lease lasts for two
	Window         int  // ticks for which the database remembers a key
	LateTicks      int  // by which a write may run late
	RenewLeases    bool // owners renew their leases
	DeliverOnce    bool // each message arrives once at most; otherwise any number of times
	DisabledGuards takeover.Guards
	letters        *takeoverMessages
}

// takeoverMessages numbers all messages that were ever sent, so that a state is a set of small numbers.
type takeoverMessages struct {
	byKey map[string]uint16
	all   []takeoverEnvelope
}

type takeoverEnvelope struct {
	from, to takeover.Member
	message  takeover.Message
}

// takeoverTick is the step of the model's clock.
const takeoverTick = 100 * time.Millisecond

// write is a write on its way to the database, or its answer on the way back.
type write struct {
	proxy     int // index of the sender
	ticksLeft int // in which it may yet run; -1 = it has not been sent
	ran       bool
}

type takeoverState struct {
	model         *TakeoverModel
	now           int
	registries    []*takeover.Registry // nil = it has ended
	network       []uint16
	writes        []write
	applied       []int        // ticks at which it was
	pending       map[int]bool // requests that have no answer yet, by id: 10 * proxy + repeat
	clientAnswers []string     // what clients have heard
	requests      int
	crashes       int
	broken        string
}

func (t *TakeoverModel) config() takeover.Config {
	renew := 1000 * takeoverTick
	if t.RenewLeases {
		renew = takeoverTick
	}
	return takeover.Config{RenewInterval: renew, Lease: 2 * takeoverTick, ClockMargin: takeoverTick / 2, RetryInterval: 1000 * takeoverTick, Retention: 1000 * takeoverTick, QuorumTimeout: 1000 * takeoverTick, DisabledGuards: t.DisabledGuards}
}

// Start gives the first state: the client has asked at the first proxy.
func (t *TakeoverModel) Start() State {
	t.letters = &takeoverMessages{byKey: map[string]uint16{}}
	w := &takeoverState{model: t, now: 100, pending: map[int]bool{}}
	var members []takeover.Member
	for i := range t.Proxies {
		members = append(members, takeover.Member(i+1))
	}
	for i := range t.Proxies {
		b := takeover.New(t.config())
		b.SetMembers(w.clock(), takeover.Member(i+1), members, 0)
		b.ExtendMembership(w.clock() + 1000*takeoverTick)
		w.registries = append(w.registries, b)
	}
	w.request(0)
	return w
}

func (w *takeoverState) clock() time.Duration { return time.Duration(w.now) * takeoverTick }

func (w *takeoverState) clone() *takeoverState {
	c := *w
	c.registries = slices.Clone(w.registries)
	c.network, c.writes, c.applied, c.clientAnswers = slices.Clone(w.network), slices.Clone(w.writes), slices.Clone(w.applied), slices.Clone(w.clientAnswers)
	c.pending = map[int]bool{}
	for k := range w.pending {
		c.pending[k] = true
	}
	return &c
}

// with gives a copy in which proxy i may be changed.
func (w *takeoverState) cloneFor(i int) *takeoverState {
	c := w.clone()
	if c.registries[i] != nil {
		c.registries[i] = w.registries[i].Clone()
	}
	return c
}

func (w *takeoverState) request(i int) {
	id := 10*(i+1) + w.requests
	w.requests++
	w.pending[id] = true
	w.registries[i].Begin(w.clock(), uint64(id), takeover.Work{Key: "k", Digest: 1, TimeLeft: 30 * takeoverTick}, takeover.Required)
	w.settle(i)
}

// settle carries out what a proxy wants.
func (w *takeoverState) settle(i int) {
	for {
		ready := w.registries[i].TakeReady()
		if ready.Empty() {
			w.prune(i)
			return
		}
		for _, s := range ready.Messages {
			w.send(takeover.Member(i+1), s)
		}
		for _, o := range ready.Actions {
			w.act(i, o)
		}
	}
}

func (w *takeoverState) send(from takeover.Member, s takeover.Envelope) {
	m := s.Message
	text := []byte{byte(from), byte(s.To), byte(m.Kind), byte(m.Epoch), byte(m.Owner), byte(m.OwnerCount)}
	text = binary.AppendUvarint(text, m.Seq)
	text = binary.AppendVarint(text, int64(m.Age/takeoverTick))
	if m.Expired {
		text = append(text, 'l')
	}
	if m.Sent {
		text = append(text, 's')
	}
	if m.Work != nil {
		text = binary.AppendVarint(append(text, 'w'), int64(m.Work.TimeLeft/takeoverTick))
	}
	if m.Result != nil {
		text = append(text, 'r', byte(m.Result.Outcome))
	}
	id, ok := w.model.letters.byKey[string(text)]
	if !ok {
		id = uint16(len(w.model.letters.all))
		w.model.letters.byKey[string(text)] = id
		w.model.letters.all = append(w.model.letters.all, takeoverEnvelope{from, s.To, m})
	}
	if i, there := slices.BinarySearch(w.network, id); !there {
		w.network = slices.Insert(w.network, i, id)
	}
}

// prune takes out messages that change nothing any more: without, each state would be many.
func (w *takeoverState) prune(i int) {
	w.network = slices.DeleteFunc(w.network, func(id uint16) bool {
		p := w.model.letters.all[id]
		return int(p.to) == i+1 && (w.registries[i] == nil || w.registries[i].Ignores(p.message))
	})
}

// do carries an order out, as a proxy does: the look at the promise and the write are one step.
func (w *takeoverState) act(i int, o takeover.Action) {
	switch o.Kind {
	case takeover.Send:
		again := o.TakenOver != nil && o.TakenOver.MayHaveBeenSent
		window := time.Duration(w.model.Window) * takeoverTick
		if again && !w.model.DisabledGuards.Has(takeover.NoWindowCheck) && o.TakenOver.SinceFirstSend+time.Duration(w.model.LateTicks)*takeoverTick >= window {
			// It can't be under way any more when the group forgets its key.
			w.registries[i].Complete(w.clock(), o.Key, takeover.Result{Outcome: takeover.Unknown})
			return
		}
		w.writes = append(w.writes, write{proxy: i, ticksLeft: -1})
	case takeover.Answer, takeover.Reject, takeover.FailUnknown, takeover.Conflict:
		if !w.pending[int(o.ID)] {
			w.broken = fmt.Sprintf("request %d is answered twice, or was never asked", o.ID)
			return
		}
		delete(w.pending, int(o.ID))
		what := map[takeover.ActionKind]string{takeover.Answer: "served", takeover.Reject: "refused", takeover.FailUnknown: "failed", takeover.Conflict: "clash"}[o.Kind]
		w.clientAnswers = append(w.clientAnswers, what)
		switch {
		case what == "served" && len(w.applied) == 0:
			w.broken = "a client hears that it was served, and it was not applied"
		case what == "refused" && len(w.applied) > 0:
			w.broken = "a client hears that it was refused, and it was applied"
		case what != "served" && slices.Contains(w.clientAnswers[:len(w.clientAnswers)-1], "served"):
			w.broken = "a client hears another outcome behind served: " + what
		}
	}
}

func (w *takeoverState) apply() {
	if n := len(w.applied); n > 0 && w.now-w.applied[n-1] < w.model.Window {
		return // a repeat, dropped
	}
	if w.applied = append(w.applied, w.now); len(w.applied) > 1 {
		w.broken = fmt.Sprintf("it was applied at %v", w.applied)
	}
	if slices.Contains(w.clientAnswers, "refused") {
		w.broken = "it was applied, and a client has heard that it was refused"
	}
}

// AppendTo implements State.
func (w *takeoverState) AppendTo(dst []byte) []byte {
	for i, b := range w.registries {
		if dst = append(dst, byte(i)); b != nil {
			dst = b.AppendState(dst, w.clock(), 60*takeoverTick)
		}
	}
	for _, id := range w.network {
		dst = binary.AppendUvarint(dst, uint64(id)+1)
	}
	dst = append(dst, 0)
	for _, s := range w.writes {
		dst = append(dst, 'o', byte(s.proxy), byte(s.ticksLeft+1))
		if s.ran {
			dst = append(dst, 'r')
		}
	}
	for _, at := range w.applied {
		dst = append(dst, 'a', byte(w.now-at))
	}
	for _, id := range []int{10, 11, 12, 20, 21, 22, 30, 31, 32} {
		if w.pending[id] {
			dst = append(dst, 'w', byte(id))
		}
	}
	for _, h := range w.clientAnswers {
		dst = append(dst, h[0])
	}
	return append(dst, byte(w.requests), byte(w.crashes), byte(w.now-100), byte(len(w.broken)))
}

// Broken implements State.
func (w *takeoverState) Broken() string { return w.broken }

// Next implements State.
func (w *takeoverState) Next(yield func(string, State)) {
	for n, id := range w.network {
		p := w.model.letters.all[id]
		i := int(p.to) - 1
		if w.registries[i] == nil {
			continue
		}
		c := w.cloneFor(i)
		if w.model.DeliverOnce {
			c.network = slices.Delete(c.network, n, n+1)
		}
		c.registries[i].Receive(c.clock(), p.from, p.message)
		c.settle(i)
		yield(fmt.Sprintf("%d hears %s of %d (epoch %d, ask %d)", i+1, takeoverMessageNames[p.message.Kind], p.from, p.message.Epoch, p.message.Seq), c)
	}
	for n, s := range w.writes {
		if s.ticksLeft < 0 && !s.ran && w.registries[s.proxy] != nil { // the look and the write
			c := w.cloneFor(s.proxy)
			if c.registries[s.proxy].MaySend(c.clock(), "k") {
				c.writes[n].ticksLeft = w.model.LateTicks
				yield(fmt.Sprintf("%d sends", s.proxy+1), c)
			} else {
				c.writes = slices.Delete(c.writes, n, n+1)
				yield(fmt.Sprintf("%d finds its promise ended and sends nothing", s.proxy+1), c)
			}
		}
		if s.ticksLeft >= 0 && !s.ran {
			c := w.clone()
			c.apply()
			c.writes[n].ran = true
			yield(fmt.Sprintf("what %d sent runs", s.proxy+1), c)
		}
		if s.ran && w.registries[s.proxy] != nil {
			c := w.cloneFor(s.proxy)
			c.writes = slices.Delete(c.writes, n, n+1)
			c.registries[s.proxy].Complete(c.clock(), "k", takeover.Result{Outcome: takeover.Served})
			c.settle(s.proxy)
			yield(fmt.Sprintf("%d has the answer", s.proxy+1), c)
		}
	}
	if w.requests <= w.model.Repeats {
		for i, b := range w.registries {
			if b != nil {
				c := w.cloneFor(i)
				c.request(i)
				yield(fmt.Sprintf("the client asks again at %d", i+1), c)
			}
		}
	}
	if w.crashes < w.model.Crashes {
		for i, b := range w.registries {
			if b != nil {
				c := w.clone()
				c.registries[i] = nil
				c.crashes++
				c.prune(i)
				yield(fmt.Sprintf("%d ends", i+1), c)
			}
		}
	}
	if w.now-100 < w.model.MaxTicks {
		c := w.clone()
		c.now++
		for n := len(c.writes) - 1; n >= 0; n-- { // a write that has not run by now won't any more
			if c.writes[n].ticksLeft >= 0 && !c.writes[n].ran {
				if c.writes[n].ticksLeft--; c.writes[n].ticksLeft < 0 {
					c.writes = slices.Delete(c.writes, n, n+1)
				}
			}
		}
		yield("the clock goes on", c)
	}
	// Each proxy looks at its clock when it comes to it: one that stands still doesn't.
	for i, b := range w.registries {
		if b == nil {
			continue
		}
		c := w.cloneFor(i)
		before := b.AppendState(nil, w.clock(), 60*takeoverTick)
		c.registries[i].Tick(c.clock())
		if isReady(c.registries[i]) || string(before) != string(c.registries[i].AppendState(nil, c.clock(), 60*takeoverTick)) {
			c.settle(i)
			yield(fmt.Sprintf("%d looks at its clock", i+1), c)
		}
	}
}

// isReady reports whether a registry has something to be carried out, without taking it.
func isReady(r *takeover.Registry) bool { return !r.Clone().TakeReady().Empty() }

var takeoverMessageNames = map[takeover.Kind]string{takeover.Store: "take", takeover.TakeOver: "claim", takeover.Renew: "renew", takeover.Stored: "held", takeover.NotOwner: "other",
	takeover.NotFound: "unheard", takeover.Full: "full", takeover.Complete: "end", takeover.Query: "look", takeover.MarkSent: "sure", takeover.Discard: "drop"}
