package virtual

import (
	"strconv"
	"time"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/history"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

func (w *world) schedule() {
	source := w.cfg.Arrivals
	if source == nil {
		source = arrivals.New(arrivals.Config{Seed: w.cfg.Seed, Rate: w.cfg.Rate, For: w.cfg.For, Shares: w.cfg.Shares, Groups: w.cfg.Fleet.Groups,
			Sessions: w.cfg.Sessions, HotSession: w.cfg.HotSession})
	}
	var slot state.Deadline // one is planned at a time
	var plan func()
	plan = func() {
		if in, more := source.Next(); more {
			w.todo.Set(&slot, base+in.At, func() {
				w.arrive(in)
				plan()
			})
		}
	}
	plan()
}

// elected notes a new primary.
func (w *world) elected(m int, r logic.Role) {
	if r == logic.RolePrimary {
		g := w.fleet.Members()[m].Group
		w.newest[g] = len(w.res.Switches)
		w.res.Switches = append(w.res.Switches, Election{At: w.clock.now - base, Group: g, Member: m})
	}
}

// election is that of a member which has just become primary.
func (w *world) election(m int) *Election {
	if i, ok := w.newest[w.fleet.Members()[m].Group]; ok && w.res.Switches[i].Member == m {
		return &w.res.Switches[i]
	}
	return nil
}

type request struct {
	w       *world
	n       *node
	class   int
	group   int
	session uint64
	hot     bool
	key     string
	due     time.Duration
	until   time.Duration
	tries   int
	over    bool
	id      logic.RequestID
	called  time.Duration // the try in hand
	inHand  bool          // a proxy has it
	served  int           // the database that answered last
	luck    float64       // its work, within its class's span: the same under every variant
}

func (w *world) arrive(in arrivals.Request) {
	class := in.Class
	r := &request{w: w, class: class, group: in.Group, due: w.clock.now, luck: in.Luck, hot: in.Session == 0}
	if w.cfg.Record && w.cfg.Fleet.Classes[class].Read == logic.Write {
		w.ids++
		r.key = strconv.FormatUint(w.ids, 10)
	}
	if r.n = w.living(w.home(in.Group, in.Session)); in.Roam < w.cfg.Roam {
		r.n = w.living(int(in.To) % len(w.nodes))
	}
	r.session = uint64(r.group)<<32 + uint64(in.Session)*0x9e3779b97f4a7c15 + 1
	c := &w.cfg.Fleet.Classes[class]
	r.until = r.due + c.Limit
	w.open++
	w.asked += c.Worth
	w.res.Classes[class].Offered++
	w.watched[class] = append(w.watched[class], r)
	r.try()
}

// watch finds requests whose answer never comes, a second after the end of their time.
func (w *world) watch() {
	for class, list := range w.watched {
		n := 0
		for ; n < len(list) && (list[n].over || w.clock.now >= list[n].until+time.Second); n++ {
			if r := list[n]; !r.over {
				r.record(history.Unanswered)
				r.end(&w.res.Classes[class].Silent, 0)
			}
			list[n] = nil
		}
		w.watched[class] = list[n:]
	}
	w.at(w.clock.now+100*time.Millisecond, w.watch)
}

func (r *request) try() {
	w := r.w
	w.res.Classes[r.class].Tries++
	r.tries++
	r.called, r.inHand = w.clock.now, true
	if r.n.dead { // refused a connection
		r.lost()
		return
	}
	r.n.act(RequestWork, func() {
		c := &w.cfg.Fleet.Classes[r.class]
		in := state.Request{Class: c.Name, Wait: r.until - w.clock.now, Session: r.session, Group: r.group, Command: command{r}, Caller: r}
		if at := w.after[r.session]; at > 0 && c.Read == logic.Session {
			in.LastCommit = int64((w.clock.Unix() - w.clock.now + at) / time.Millisecond)
		}
		if in.Wait <= 0 {
			r.Refused(0)
			return
		}
		r.id, _ = r.n.front.Submit(in)
	})
}

// record notes the end of a try to write.
func (r *request) record(e history.End) {
	if r.key != "" {
		r.w.res.Writes = append(r.w.res.Writes, history.Write{Key: r.key, Group: r.group, Call: r.called, Return: r.w.clock.now, End: e})
	}
}

func (r *request) end(count *int, part float64) {
	if r.over {
		return
	}
	r.over = true
	*count++
	r.w.open--
	r.w.worth += part * r.w.cfg.Fleet.Classes[r.class].Worth
	r.w.series.end(r, part)
	b := &r.w.res.BySession[1]
	if r.hot {
		b = &r.w.res.BySession[0]
	}
	b.Offered++
	if part == 1 {
		b.InAim++
	}
}

// Served implements state.Caller.
func (r *request) Served([]byte) {
	k := &r.w.res.Classes[r.class]
	c := &r.w.cfg.Fleet.Classes[r.class]
	r.inHand = false
	r.record(history.Served)
	if c.Read == logic.Write {
		r.w.after[r.session] = r.w.clock.now
		if e := r.w.election(r.served); e != nil && e.First == 0 {
			e.First = r.w.clock.now - base - e.At
		}
	}
	if r.w.clock.now-r.due <= c.Aim {
		r.end(&k.InAim, 1)
		return
	}
	r.end(&k.Late, c.Late)
}

// Refused implements state.Caller.
func (r *request) Refused(comeBack time.Duration) {
	w := r.w
	r.inHand = false
	r.record(history.Refused)
	wait := w.cfg.RetryWait
	if w.cfg.Honour {
		wait = max(wait, comeBack)
	}
	if r.tries > w.cfg.Retries || w.clock.now+wait >= r.until {
		r.end(&w.res.Classes[r.class].Refused, 0)
		return
	}
	w.at(w.clock.now+max(wait, time.Millisecond), r.try)
}

// Failed implements state.Caller.
func (r *request) Failed() {
	r.inHand = false
	r.record(history.Failed)
	r.end(&r.w.res.Classes[r.class].Failed, 0)
}

// BadRequest implements state.Caller.
func (r *request) BadRequest([]byte) { r.Failed() }

type command struct{ r *request }

// AppendTo implements state.Command; nothing is written here.
func (command) AppendTo(dst []byte, _ time.Duration) []byte { return dst }
