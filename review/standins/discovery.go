package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is a database as discovery lists it.
type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// list is an answer of discovery.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in for the platform's discovery service. It always answers with the whole list.
type discovery struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	list    list
	changed chan struct{}
}

func startDiscovery(databases []*database) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: ln.Addr().String(), list: list{Generation: 1, Reset: true, Instances: []instance{}}, changed: make(chan struct{})}
	for _, db := range databases {
		d.list.Instances = append(d.list.Instances, instance{ID: db.name, Address: db.address, Zone: "merkez-ofis", Machine: "standart-3c", Group: db.group, Lifecycle: "in_service", Weight: 1})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.endpoints)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(ln)
	return d, nil
}

func (d *discovery) snapshot() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	copied := d.list
	copied.Instances = append([]instance{}, d.list.Instances...)
	return copied, d.changed
}

func (d *discovery) endpoints(w http.ResponseWriter, r *http.Request) {
	current, changed := d.snapshot()
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if r.URL.Query().Has("after") && after >= current.Generation && wait > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		}
		current, _ = d.snapshot()
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(current)
}
