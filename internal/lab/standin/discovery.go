package standin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
)

// lister is the service that lists the databases.
type lister struct {
	w       *World
	address string
	alias   func(member int) string // where it says that databases are; nil = where they are
	srv     *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed when there is news
}

func newLister(w *World, alias func(member int) string) (*lister, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lister{w: w, address: ln.Addr().String(), alias: alias, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", l.serve)
	l.srv = &http.Server{Handler: mux}
	w.done.Add(1)
	go func() { defer w.done.Done(); l.srv.Serve(countedListener{ln, &w.traffic}) }()
	return l, nil
}

func (l *lister) close() { l.srv.Close() }

func (l *lister) news() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *lister) wait() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Listing gives the list as the service tells it now, as JSON, and whether it answers.
func (w *World) Listing() (out []byte, generation int64, ok bool) { return w.listing(nil) }

// List starts one more service that lists the databases, at addresses of its own, such as those of relays before them. ListingAs gives what
// it tells.
func (w *World) List(alias func(member int) string) (address string, err error) {
	l, err := newLister(w, alias)
	if err != nil {
		return "", err
	}
	w.With(func(time.Duration, *fleet.Fleet) { w.lists = append(w.lists, l) })
	return l.address, nil
}

// ListingAs gives the list with other addresses.
func (w *World) ListingAs(alias func(member int) string) []byte {
	out, _, _ := w.listing(alias)
	return out
}

func (w *World) listing(alias func(member int) string) (out []byte, generation int64, ok bool) {
	w.With(func(now time.Duration, f *fleet.Fleet) {
		var entries []fleet.Entry
		entries, generation, ok = f.List(now)
		var instances []Instance
		for _, e := range entries {
			m, at := f.Members()[e.Member], w.databases[e.Member].address
			if alias != nil {
				at = alias(e.Member)
			}
			in := Instance{ID: InstanceID(e.Member), Address: at, Zone: w.zone(m.Zone),
				Machine: "lab", Group: m.Group, Lifecycle: LifecycleOf(e.State), Weight: 1}
			if e.Started > 0 {
				in.StartedMs = w.Unix(e.Started).UnixMilli()
			}
			if in.Lifecycle != "terminated" {
				instances = append(instances, in)
			}
		}
		out = EncodeList(generation, true, instances)
	})
	return out, generation, ok
}

func (w *World) zone(i int) string {
	if len(w.cfg.Zones) == 0 {
		return "a"
	}
	return w.cfg.Zones[i]
}

func (l *lister) serve(out http.ResponseWriter, r *http.Request) {
	l.w.traffic[ListTraffic].read.add(1, 0)
	defer l.w.traffic[ListTraffic].written.add(1, 0)
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	defer end.Stop()
	for {
		changed := l.wait()
		body, generation, ok := l.w.listing(l.alias)
		if !ok {
			http.Error(out, "down", http.StatusServiceUnavailable)
			return
		}
		if !watch || generation > after {
			out.Header().Set("Content-Type", "application/json")
			out.Write(body)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			out.Write(EncodeList(generation, false, nil))
			return
		case <-r.Context().Done():
			return
		case <-l.w.stop:
			return
		}
	}
}
