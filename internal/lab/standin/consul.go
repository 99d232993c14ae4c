package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/logic"
)

// Consul is a stand-in for an agent's HTTP API, as far as health and catalogue entries of services go: blocking queries, the headers
// that come with them, the token, and, at a test's wish, wrong and late data. What is true is the fleet's to say.
type Consul struct {
	w       *World
	Address string
	srv     *http.Server

	mu      sync.Mutex
	changed chan struct{}
	index   uint64
	lies    Lies
	token   string
	calls   int
}

// Lies are what the stand-in tells otherwise than it is.
type Lies struct {
	Frozen  bool                               // it goes on telling what it told when this began
	Down    bool                               // 500, as without a leader
	Cut     bool                               // its answers end in the middle
	AtOnce  bool                               // blocking queries are answered at once
	Health  map[int]string                     // of members: "passing", "critical", "maintenance"
	Missing map[int]bool                       // members that it leaves out
	Roles   map[int]string                     // role tags; otherwise none are told
	Entry   func(member int, e map[string]any) // changes an entry before it goes out
	held    []byte
}

// NewConsul starts an agent on a port of its own. Its service is "db"; the token may be empty.
func NewConsul(w *World, token string) (*Consul, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Consul{w: w, Address: ln.Addr().String(), changed: make(chan struct{}), index: 10, token: token}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.health)
	mux.HandleFunc("GET /v1/catalog/services", c.services)
	c.srv = &http.Server{Handler: mux}
	w.done.Add(1)
	go func() { defer w.done.Done(); c.srv.Serve(ln) }()
	return c, nil
}

// Close ends it and its connections.
func (c *Consul) Close() { c.srv.Close() }

// Calls counts the calls so far.
func (c *Consul) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Tell changes what it tells, and lets those that wait know.
func (c *Consul) Tell(change func(*Lies)) {
	body := c.entries()
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.lies.Frozen
	if change != nil {
		change(&c.lies)
	}
	if c.lies.Frozen && !was {
		c.lies.held = body
	}
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Reindex sets the index, as a restored cluster does.
func (c *Consul) Reindex(index uint64) {
	c.Tell(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = index
}

// entries are the instances as they are to be told, in the API's form.
func (c *Consul) entries() []byte {
	c.mu.Lock()
	lies := c.lies
	c.mu.Unlock()
	if lies.Frozen && lies.held != nil {
		return lies.held
	}
	out := []map[string]any{}
	c.w.With(func(now time.Duration, f *fleet.Fleet) {
		list, _, _ := f.List(now)
		for _, e := range list {
			m := f.Members()[e.Member]
			if e.State == logic.Gone || lies.Missing[e.Member] {
				continue
			}
			host, port, _ := net.SplitHostPort(c.w.databases[e.Member].address)
			n, _ := strconv.Atoi(port)
			status, check := "passing", "service:db"
			if s, ok := lies.Health[e.Member]; ok {
				if status = s; s == "maintenance" {
					status, check = "critical", "_service_maintenance:db"
				}
			}
			meta := map[string]string{"group": strconv.Itoa(m.Group), "zone": c.w.zone(m.Zone)}
			if e.Started > 0 {
				meta["started"] = strconv.FormatInt(c.w.Unix(e.Started).UnixMilli(), 10)
			}
			tags := []string{}
			if r, ok := lies.Roles[e.Member]; ok {
				tags = append(tags, r)
			}
			if e.State == logic.Draining {
				tags = append(tags, "draining")
			}
			id := fmt.Sprintf("db-%d", e.Member)
			entry := map[string]any{
				"Node":    map[string]any{"ID": fmt.Sprintf("node-%d", e.Member), "Node": fmt.Sprintf("host%d", e.Member), "Address": host, "Datacenter": "dc1"},
				"Service": map[string]any{"ID": id, "Service": "db", "Tags": tags, "Address": host, "Port": n, "Meta": meta, "Weights": map[string]int{"Passing": 1, "Warning": 1}},
				"Checks":  []map[string]any{{"Node": fmt.Sprintf("host%d", e.Member), "CheckID": check, "Name": "alive", "Status": status, "ServiceID": id, "ServiceName": "db"}},
			}
			if lies.Entry != nil {
				lies.Entry(e.Member, entry)
			}
			out = append(out, entry)
		}
	})
	body, _ := json.Marshal(out)
	return body
}

func (c *Consul) allowed(out http.ResponseWriter, r *http.Request) bool {
	c.mu.Lock()
	c.calls++
	down := c.lies.Down
	c.mu.Unlock()
	switch {
	case c.token != "" && r.Header.Get("X-Consul-Token") != c.token:
		http.Error(out, "Permission denied: token with AccessorID '00000000-0000-0000-0000-000000000002' lacks permission 'service:read' on \"db\"", http.StatusForbidden)
	case down:
		http.Error(out, "No cluster leader", http.StatusInternalServerError)
	default:
		return true
	}
	return false
}

func (c *Consul) head(out http.ResponseWriter, index uint64) {
	h := out.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
}

func (c *Consul) health(out http.ResponseWriter, r *http.Request) {
	if !c.allowed(out, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	list := c.w.list
	for done := false; ; {
		fresh := list.wait()
		c.mu.Lock()
		index, changed, lies := c.index, c.changed, c.lies
		c.mu.Unlock()
		if after == 0 || index != after || lies.AtOnce || done {
			body := []byte("[]")
			if r.PathValue("name") == "db" {
				body = c.entries()
			}
			c.head(out, index)
			if lies.Cut {
				out.Header().Set("Content-Length", strconv.Itoa(len(body)))
				out.Write(body[:len(body)/2])
				return
			}
			out.Write(body)
			return
		}
		select {
		case <-changed:
		case <-fresh: // the fleet's own list has news
			c.mu.Lock()
			c.index++
			c.mu.Unlock()
		case <-end.C:
			done = true
		case <-r.Context().Done():
			return
		case <-c.w.stop:
			return
		}
	}
}

func (c *Consul) services(out http.ResponseWriter, r *http.Request) {
	if !c.allowed(out, r) {
		return
	}
	c.mu.Lock()
	index := c.index
	tags := []string{}
	for _, t := range c.lies.Roles {
		if !strings.Contains(strings.Join(tags, ","), t) {
			tags = append(tags, t)
		}
	}
	c.mu.Unlock()
	c.head(out, index)
	json.NewEncoder(out).Encode(map[string][]string{"consul": {}, "db": tags})
}
