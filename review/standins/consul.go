package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// consul is a stand-in for an agent of Consul: the health entries of services, with blocking queries.
type consul struct {
	address string
	server  *http.Server
	record  *record

	mu       sync.Mutex
	index    uint64
	services map[string][]*database // by the service's name
	draining map[string]bool
	changed  chan struct{}
	written  map[string]uint64 // by service, the greatest index that was written to a caller
}

const consulService = "stok-db"

func startConsul(rec *record, services map[string][]*database) (*consul, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &consul{address: ln.Addr().String(), record: rec, index: 10, services: services, draining: map[string]bool{}, changed: make(chan struct{}), written: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.health)
	c.server = &http.Server{Handler: mux}
	go c.server.Serve(ln)
	return c, nil
}

// change changes the catalogue and answers the queries that wait.
func (c *consul) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}

// drain marks an instance as draining.
func (c *consul) drain(name string) { c.change(func() { c.draining[name] = true }) }

// deregister removes an instance.
func (c *consul) deregister(name string) {
	c.change(func() {
		for service, list := range c.services {
			var left []*database
			for _, db := range list {
				if db.name != name {
					left = append(left, db)
				}
			}
			c.services[service] = left
		}
	})
}

// register adds an instance to a service.
func (c *consul) register(service string, db *database) {
	c.change(func() { c.services[service] = append(c.services[service], db) })
}

// awaitTold waits until the present state has been written to the proxy, and returns when it was seen to be.
func (c *consul) awaitTold() (time.Time, bool) {
	c.mu.Lock()
	index := c.index
	c.mu.Unlock()
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		told := true
		for service := range c.services {
			told = told && c.written[service] >= index
		}
		c.mu.Unlock()
		if told {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// entries returns a service's instances in the form of the API; the lock is held.
func (c *consul) entries(service string) []byte {
	out := []map[string]any{}
	for _, db := range c.services[service] {
		host, port, _ := net.SplitHostPort(db.address)
		number, _ := strconv.Atoi(port)
		tags := []string{}
		if c.draining[db.name] {
			tags = append(tags, "draining")
		}
		out = append(out, map[string]any{
			"Node": map[string]any{"ID": "node-" + db.name, "Node": "host-" + db.name, "Address": host, "Datacenter": "dc1"},
			"Service": map[string]any{"ID": db.name, "Service": service, "Tags": tags, "Address": host, "Port": number,
				"Meta": db.meta(), "Weights": map[string]int{"Passing": 1, "Warning": 1}},
			"Checks": []map[string]any{{"Node": "host-" + db.name, "CheckID": "service:" + db.name, "Name": "alive", "Status": "passing", "ServiceID": db.name, "ServiceName": service}},
		})
	}
	body, _ := json.Marshal(out)
	return body
}

func (c *consul) health(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("name")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	c.mu.Lock()
	index, changed := c.index, c.changed
	c.mu.Unlock()
	if after > 0 && after == index {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
	}
	c.mu.Lock()
	index, body := c.index, c.entries(service)
	c.mu.Unlock()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	c.mu.Lock()
	c.written[service] = max(c.written[service], index)
	c.mu.Unlock()
	c.record.note("consul tells index %d of %s: %s", index, service, body)
}

// meta returns the instance's metadata: its group, its zone and, if it has started during the case, when.
func (db *database) meta() map[string]string {
	meta := map[string]string{"group": strconv.Itoa(db.group), "zone": "merkez-ofis"}
	if !db.startedAt.IsZero() {
		meta["started"] = strconv.FormatInt(db.startedAt.UnixMilli(), 10)
	}
	return meta
}
