// Package standin puts the fleet's model behind sockets on loopback, on the real clock: databases that speak
// PostgreSQL, version 3, and the service that lists them. It is a codec: what a database does, when it answers and
// what the list tells is the model's to say.
package standin

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/logic"
)

// World is a fleet on the real clock.
type World struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	start time.Time
	wake  chan struct{}
	stop  chan struct{}
	done  sync.WaitGroup

	cfg       fleet.Config
	mysql     bool
	databases []*database
	list      *lister
	lists     []*lister // further ones
	traffic   traffic
	accepted  atomic.Uint64 // connections to databases that speak PostgreSQL
	log       func(at time.Duration, text string)
}

// Option changes what New starts.
type Option func(*World)

// MySQL lets the databases speak MySQL.
func MySQL(on bool) Option { return func(w *World) { w.mysql = on } }

// New starts a fleet's databases and its list, each on a port of its own on 127.0.0.1. log may be nil.
func New(cfg fleet.Config, log func(at time.Duration, text string), options ...Option) (*World, error) {
	w := &World{start: time.Now(), wake: make(chan struct{}, 1), stop: make(chan struct{}), cfg: cfg, log: log}
	for _, o := range options {
		o(w)
	}
	var err error
	w.fleet, err = fleet.New(cfg, 0, fleet.Observer{
		Liveness: func(m int, l fleet.Liveness) { w.databases[m].turn(l) },
		Listed: func() {
			w.list.news()
			for _, l := range w.lists {
				l.news()
			}
		},
		Log: func(at time.Duration, text string) {
			if w.log != nil {
				w.log(at, text)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	for _, m := range w.fleet.Members() {
		port, err := reservePort()
		if err != nil {
			w.Close()
			return nil, err
		}
		db := &database{w: w, id: m.ID, port: port, address: port.address, conns: map[*session]struct{}{}}
		w.databases = append(w.databases, db)
		if err := db.listen(); err != nil {
			w.Close()
			return nil, err
		}
	}
	if w.list, err = newLister(w, nil); err != nil {
		w.Close()
		return nil, err
	}
	w.done.Add(1)
	go w.run()
	return w, nil
}

// Now is the model's clock; it starts at 0.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Unix places a moment of the model's clock in Unix time.
func (w *World) Unix(at time.Duration) time.Time { return w.start.Add(at) }

// Accepted tells how many connections the databases that speak PostgreSQL have accepted.
func (w *World) Accepted() uint64 { return w.accepted.Load() }

// Discovery is the address of the list's service.
func (w *World) Discovery() string { return w.list.address }

// Address is that of a database.
func (w *World) Address(member int) string { return w.databases[member].address }

// With lets f look at the fleet, or change it, at the present.
func (w *World) With(f func(now time.Duration, fl *fleet.Fleet)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	w.fleet.Advance(now)
	f(now, w.fleet)
	w.stir()
}

// Inject lets a fault happen now.
func (w *World) Inject(x fleet.Fault) (err error) {
	w.With(func(now time.Duration, fl *fleet.Fleet) { err = fl.Inject(now, x) })
	return err
}

// stir lets the clockwork look again when the next event is due; the lock is held.
func (w *World) stir() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run carries out the model's events in real time.
func (w *World) run() {
	defer w.done.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		w.mu.Lock()
		w.fleet.Advance(w.Now())
		next, ok := w.fleet.Next()
		w.mu.Unlock()
		if ok {
			timer.Reset(max(next-w.Now(), 0))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// Close ends all listeners and connections.
func (w *World) Close() {
	close(w.stop)
	w.mu.Lock()
	for _, db := range w.databases {
		db.shut()
		db.port.release()
	}
	w.mu.Unlock()
	if w.list != nil {
		w.list.close()
	}
	for _, l := range w.lists {
		l.close()
	}
	w.done.Wait()
}

// reset ends a connection as a dying process does, with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (w *World) warn(what string, err error) { slog.Warn("stand-in", "what", what, "error", err) }

// LifecycleOf words a member's state as discovery does.
func LifecycleOf(s logic.MemberState) string {
	return map[logic.MemberState]string{logic.Ready: "in_service", logic.Draining: "terminating", logic.Gone: "terminated"}[s]
}
