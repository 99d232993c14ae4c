package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/takeover"
)

// Works is a small tier that hands work on: three proxies, one key, one database that remembers it for a while, a client that asks and may ask
// again elsewhere. Every message ever sent may arrive at any time, any number of times, or never; a write that went out may run at once or
// late; a proxy may end or stand still anywhere but between its last look and its write, which the group's memory has to cover.
type Works struct {
	Proxies int
	Repeats int // of the client, each at another proxy
	Crashes int
	Ticks   int // of the clock: a promise lasts for two, and the database remembers for Window
	Window  int
	Late    int  // ticks by which a write may run late
	Renews  bool // owners ask for their promises anew
	Once    bool // messages arrive once at most; else any number of times
	Without takeover.Guards
	letters *post
}

type post struct {
	byKey map[string]uint16
	all   []parcel
}

type parcel struct {
	from, to takeover.Member
	text     takeover.Message
}

const workTick = 100 * time.Millisecond

// sent is a write on its way to the database, or its answer on the way back.
type sentWrite struct {
	by   int // the proxy
	left int // ticks in which it may yet run
	ran  bool
}

type workWorld struct {
	t       *Works
	now     int
	books   []*takeover.Book // nil = it has ended
	net     []uint16
	out     []sentWrite
	applied []int        // ticks at which it was
	waits   map[int]bool // requests that have no answer yet, by id: 10 * proxy + repeat
	heard   []string     // what clients have heard
	asked   int
	crashes int
	broken  string
}

func (t *Works) config() takeover.Config {
	renew := 1000 * workTick
	if t.Renews {
		renew = workTick
	}
	return takeover.Config{Renew: renew, Lease: 2 * workTick, Margin: workTick / 2, Again: 1000 * workTick, Keep: 1000 * workTick, Wait: 1000 * workTick, Without: t.Without}
}

// Start gives the first state: the client has asked at the first proxy.
func (t *Works) Start() State {
	t.letters = &post{byKey: map[string]uint16{}}
	w := &workWorld{t: t, now: 100, waits: map[int]bool{}}
	var members []takeover.Member
	for i := range t.Proxies {
		members = append(members, takeover.Member(i+1))
	}
	for i := range t.Proxies {
		b := takeover.New(t.config())
		b.View(w.at(), takeover.Member(i+1), members, 0)
		b.Belongs(w.at() + 1000*workTick)
		w.books = append(w.books, b)
	}
	w.ask(0)
	return w
}

func (w *workWorld) at() time.Duration { return time.Duration(w.now) * workTick }

func (w *workWorld) clone() *workWorld {
	c := *w
	c.books = slices.Clone(w.books)
	c.net, c.out, c.applied, c.heard = slices.Clone(w.net), slices.Clone(w.out), slices.Clone(w.applied), slices.Clone(w.heard)
	c.waits = map[int]bool{}
	for k := range w.waits {
		c.waits[k] = true
	}
	return &c
}

// with gives a copy in which proxy i may be changed.
func (w *workWorld) with(i int) *workWorld {
	c := w.clone()
	if c.books[i] != nil {
		c.books[i] = w.books[i].Clone()
	}
	return c
}

func (w *workWorld) ask(i int) {
	id := 10*(i+1) + w.asked
	w.asked++
	w.waits[id] = true
	w.books[i].Begin(w.at(), uint64(id), takeover.Work{Key: "k", Digest: 1, Left: 30 * workTick}, takeover.Required)
	w.settle(i)
}

// settle carries out what a proxy wants.
func (w *workWorld) settle(i int) {
	for {
		say, orders := w.books[i].Out()
		if len(say)+len(orders) == 0 {
			w.prune(i)
			return
		}
		for _, s := range say {
			w.post(takeover.Member(i+1), s)
		}
		for _, o := range orders {
			w.do(i, o)
		}
	}
}

func (w *workWorld) post(from takeover.Member, s takeover.Say) {
	m := s.Message
	text := []byte{byte(from), byte(s.To), byte(m.Kind), byte(m.Epoch), byte(m.Owner), byte(m.Owners)}
	text = binary.AppendUvarint(text, m.Seq)
	text = binary.AppendVarint(text, int64(m.Age/workTick))
	if m.Lapsed {
		text = append(text, 'l')
	}
	if m.Sent {
		text = append(text, 's')
	}
	if m.Work != nil {
		text = binary.AppendVarint(append(text, 'w'), int64(m.Work.Left/workTick))
	}
	if m.Result != nil {
		text = append(text, 'r', byte(m.Result.Outcome))
	}
	id, ok := w.t.letters.byKey[string(text)]
	if !ok {
		id = uint16(len(w.t.letters.all))
		w.t.letters.byKey[string(text)] = id
		w.t.letters.all = append(w.t.letters.all, parcel{from, s.To, m})
	}
	if i, there := slices.BinarySearch(w.net, id); !there {
		w.net = slices.Insert(w.net, i, id)
	}
}

// prune takes out messages that change nothing any more: without, each state would be many.
func (w *workWorld) prune(i int) {
	w.net = slices.DeleteFunc(w.net, func(id uint16) bool {
		p := w.t.letters.all[id]
		return int(p.to) == i+1 && (w.books[i] == nil || w.books[i].Deaf(p.text))
	})
}

// do carries an order out, as a proxy does: the look at the promise and the write are one step.
func (w *workWorld) do(i int, o takeover.Order) {
	switch o.Do {
	case takeover.Go:
		again := o.Run != nil && o.Run.May
		window := time.Duration(w.t.Window) * workTick
		if again && !w.t.Without.Has(takeover.NoWindow) && o.Run.First+time.Duration(w.t.Late)*workTick >= window {
			// It can't be under way any more when the group forgets its key.
			w.books[i].Ended(w.at(), o.Key, takeover.Result{Outcome: takeover.Unknown})
			return
		}
		w.out = append(w.out, sentWrite{by: i, left: -1})
	case takeover.Answer, takeover.Refuse, takeover.Give, takeover.Clash:
		if !w.waits[int(o.ID)] {
			w.broken = fmt.Sprintf("request %d is answered twice, or was never asked", o.ID)
			return
		}
		delete(w.waits, int(o.ID))
		what := map[takeover.Do]string{takeover.Answer: "served", takeover.Refuse: "refused", takeover.Give: "failed", takeover.Clash: "clash"}[o.Do]
		w.heard = append(w.heard, what)
		switch {
		case what == "served" && len(w.applied) == 0:
			w.broken = "a client hears that it was served, and it was not applied"
		case what == "refused" && len(w.applied) > 0:
			w.broken = "a client hears that it was refused, and it was applied"
		case what != "served" && slices.Contains(w.heard[:len(w.heard)-1], "served"):
			w.broken = "a client hears another outcome behind served: " + what
		}
	}
}

func (w *workWorld) apply() {
	if n := len(w.applied); n > 0 && w.now-w.applied[n-1] < w.t.Window {
		return // a repeat, dropped
	}
	if w.applied = append(w.applied, w.now); len(w.applied) > 1 {
		w.broken = fmt.Sprintf("it was applied at %v", w.applied)
	}
	if slices.Contains(w.heard, "refused") {
		w.broken = "it was applied, and a client has heard that it was refused"
	}
}

// AppendTo implements State.
func (w *workWorld) AppendTo(dst []byte) []byte {
	for i, b := range w.books {
		if dst = append(dst, byte(i)); b != nil {
			dst = b.AppendState(dst, w.at(), 60*workTick)
		}
	}
	for _, id := range w.net {
		dst = binary.AppendUvarint(dst, uint64(id)+1)
	}
	dst = append(dst, 0)
	for _, s := range w.out {
		dst = append(dst, 'o', byte(s.by), byte(s.left+1))
		if s.ran {
			dst = append(dst, 'r')
		}
	}
	for _, at := range w.applied {
		dst = append(dst, 'a', byte(w.now-at))
	}
	for _, id := range []int{10, 11, 12, 20, 21, 22, 30, 31, 32} {
		if w.waits[id] {
			dst = append(dst, 'w', byte(id))
		}
	}
	for _, h := range w.heard {
		dst = append(dst, h[0])
	}
	return append(dst, byte(w.asked), byte(w.crashes), byte(w.now-100), byte(len(w.broken)))
}

// Broken implements State.
func (w *workWorld) Broken() string { return w.broken }

// Next implements State.
func (w *workWorld) Next(yield func(string, State)) {
	for n, id := range w.net {
		p := w.t.letters.all[id]
		i := int(p.to) - 1
		if w.books[i] == nil {
			continue
		}
		c := w.with(i)
		if w.t.Once {
			c.net = slices.Delete(c.net, n, n+1)
		}
		c.books[i].Heard(c.at(), p.from, p.text)
		c.settle(i)
		yield(fmt.Sprintf("%d hears %s of %d (epoch %d, ask %d)", i+1, kindNames[p.text.Kind], p.from, p.text.Epoch, p.text.Seq), c)
	}
	for n, s := range w.out {
		if s.left < 0 && !s.ran && w.books[s.by] != nil { // the look and the write
			c := w.with(s.by)
			if c.books[s.by].MaySend(c.at(), "k") {
				c.out[n].left = w.t.Late
				yield(fmt.Sprintf("%d sends", s.by+1), c)
			} else {
				c.out = slices.Delete(c.out, n, n+1)
				yield(fmt.Sprintf("%d finds its promise ended and sends nothing", s.by+1), c)
			}
		}
		if s.left >= 0 && !s.ran {
			c := w.clone()
			c.apply()
			c.out[n].ran = true
			yield(fmt.Sprintf("what %d sent runs", s.by+1), c)
		}
		if s.ran && w.books[s.by] != nil {
			c := w.with(s.by)
			c.out = slices.Delete(c.out, n, n+1)
			c.books[s.by].Ended(c.at(), "k", takeover.Result{Outcome: takeover.Served})
			c.settle(s.by)
			yield(fmt.Sprintf("%d has the answer", s.by+1), c)
		}
	}
	if w.asked <= w.t.Repeats {
		for i, b := range w.books {
			if b != nil {
				c := w.with(i)
				c.ask(i)
				yield(fmt.Sprintf("the client asks again at %d", i+1), c)
			}
		}
	}
	if w.crashes < w.t.Crashes {
		for i, b := range w.books {
			if b != nil {
				c := w.clone()
				c.books[i] = nil
				c.crashes++
				c.prune(i)
				yield(fmt.Sprintf("%d ends", i+1), c)
			}
		}
	}
	if w.now-100 < w.t.Ticks {
		c := w.clone()
		c.now++
		for n := len(c.out) - 1; n >= 0; n-- { // a write that has not run by now won't any more
			if c.out[n].left >= 0 && !c.out[n].ran {
				if c.out[n].left--; c.out[n].left < 0 {
					c.out = slices.Delete(c.out, n, n+1)
				}
			}
		}
		yield("the clock goes on", c)
	}
	// Each proxy looks at its clock when it comes to it: one that stands still doesn't.
	for i, b := range w.books {
		if b == nil {
			continue
		}
		c := w.with(i)
		before := b.AppendState(nil, w.at(), 60*workTick)
		c.books[i].Tick(c.at())
		if say, orders := peek(c.books[i]); say+orders > 0 || string(before) != string(c.books[i].AppendState(nil, c.at(), 60*workTick)) {
			c.settle(i)
			yield(fmt.Sprintf("%d looks at its clock", i+1), c)
		}
	}
}

func peek(b *takeover.Book) (int, int) {
	c := b.Clone()
	say, orders := c.Out()
	return len(say), len(orders)
}

var kindNames = map[takeover.Kind]string{takeover.Take: "take", takeover.Claim: "claim", takeover.Renew: "renew", takeover.Held: "held", takeover.Other: "other",
	takeover.Unheard: "unheard", takeover.Full: "full", takeover.End: "end", takeover.Look: "look", takeover.Sure: "sure", takeover.Drop: "drop"}
