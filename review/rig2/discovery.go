package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// list is discovery's whole list.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in for the list service; it always answers with the whole list.
type discovery struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	list    list
	changed chan struct{}
}

func startDiscovery(instances []instance) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), list: list{41, true, instances}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(listener)
	return d, nil
}

func (d *discovery) snapshot() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.list
	l.Instances = append([]instance(nil), l.Instances...)
	return l, d.changed
}

// set changes the lifecycle of a database.
func (d *discovery) set(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list.Instances {
		if d.list.Instances[i].ID == id {
			d.list.Instances[i].Lifecycle = lifecycle
		}
	}
	d.list.Generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	l, changed := d.snapshot()
	if after, err := strconv.Atoi(r.URL.Query().Get("after")); err == nil && after >= l.Generation {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		l, _ = d.snapshot()
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}
