package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consulAgent is a stand-in for a Consul agent's HTTP API: the health of one service, with blocking queries.
type consulAgent struct {
	address string
	record  *recorder

	mu      sync.Mutex
	index   int
	entries []map[string]any
	changed chan struct{}
	silent  chan struct{}        // closed when the calls under way have fallen silent; later calls have another one
	asked   time.Time            // when the last blocking query began to wait
	toldAt  map[string]time.Time // when an answer was written that says that a database is in maintenance
}

func startConsul(record *recorder) (*consulAgent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &consulAgent{address: listener.Addr().String(), record: record, index: 10, changed: make(chan struct{}), silent: make(chan struct{}), toldAt: map[string]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(a.serve)}
	go server.Serve(listener)
	return a, nil
}

func (a *consulAgent) add(db *database, group int) {
	host, port, _ := net.SplitHostPort(db.address)
	number, _ := strconv.Atoi(port)
	a.entries = append(a.entries, map[string]any{
		"Node": map[string]any{"Node": "node-" + db.name, "Address": host, "Datacenter": "dc1"},
		"Service": map[string]any{"ID": db.name, "Service": "stok-db", "Address": host, "Port": number, "Tags": []string{},
			"Meta": map[string]any{"group": fmt.Sprint(group), "zone": "merkez-ofis"}, "Weights": map[string]any{"Passing": 1, "Warning": 1}},
		"Checks": []any{map[string]any{"CheckID": "service:" + db.name, "Status": "passing"}}})
}

// maintenanceCheck is the start of the check by which Consul marks a service in maintenance.
const maintenanceCheck = "_service_maintenance:"

// maintain puts a database into maintenance, as `consul maint -enable -service=ID` does.
func (a *consulAgent) maintain(id string) {
	a.change(func() {
		for _, entry := range a.entries {
			if serviceID(entry) == id {
				entry["Checks"] = append(entry["Checks"].([]any), map[string]any{"CheckID": maintenanceCheck + id, "Status": "critical"})
			}
		}
	})
	a.record.logf("consul: %s is in maintenance", id)
}

func serviceID(entry map[string]any) string { return entry["Service"].(map[string]any)["ID"].(string) }

func (a *consulAgent) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	a.index++
	close(a.changed)
	a.changed = make(chan struct{})
}

// silence has the calls under way fall silent; new ones are answered.
func (a *consulAgent) silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.silent)
	a.silent = make(chan struct{})
	a.record.logf("consul: the open calls fall silent")
}

// lastCall returns when the last blocking query began to wait; false = there was none.
func (a *consulAgent) lastCall() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked, !a.asked.IsZero()
}

// told returns when the proxy was told that a database is in maintenance; false = it was not.
func (a *consulAgent) told(id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.toldAt[id]
	return at, ok
}

func (a *consulAgent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	index, changed, silent := a.index, a.changed, a.silent
	a.mu.Unlock()
	if asked, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil && asked >= index {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil {
			wait = 5 * time.Minute
		}
		a.mu.Lock()
		a.asked = time.Now()
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-silent:
			<-r.Context().Done() // the connection stays open, and nothing comes
			return
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.Itoa(a.index))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
	text, _ := json.Marshal(a.entries)
	w.Write(text)
	a.record.logf("consul has written index %d, %d instances", a.index, len(a.entries))
	for _, entry := range a.entries {
		id := serviceID(entry)
		if _, known := a.toldAt[id]; !known && strings.Contains(fmt.Sprint(entry["Checks"]), maintenanceCheck) {
			a.toldAt[id] = time.Now()
		}
	}
}

// load asks a proxy at a steady rate until stop is closed.
func (r *rig) load(address string, every time.Duration, stop <-chan struct{}, text func(id string) string) *sync.WaitGroup {
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			running.Add(1)
			go func() {
				defer running.Done()
				c, err := dialClient(address)
				if err != nil {
					r.logf("client: %v", err)
					return
				}
				defer c.conn.Close()
				id := newID()
				a, err := c.ask(text(id))
				r.logf("client id=%s: code %q error %v", id, a.code, err)
			}()
		}
	}()
	return &running
}

const (
	drainGrace   = 2 * time.Second        // safety.stop_sending_within
	socketsSlack = 50 * time.Millisecond  // by which every time limit is longer on sockets
	networkSlack = 150 * time.Millisecond // for this machine's own delays; a proxy may be held up for so long
)

// consulSettings are the words of consul() in the operator's file beside agents and services.
type consulSettings string

// consulScene is a proxy that reads Consul's catalogue, under a steady load of reads.
type consulScene struct {
	databases []*database
	agent     *consulAgent
	before    int // statements that db2 got before the disruption
	end       chan struct{}
	running   *sync.WaitGroup
}

// startConsulScene starts it and lets it run for some seconds.
func (r *rig) startConsulScene(settings consulSettings) (*consulScene, error) {
	databases, d, err := r.group(3, 30*time.Millisecond)
	if err != nil {
		return nil, err
	}
	agent, err := startConsul(r.recorder)
	if err != nil {
		return nil, err
	}
	for _, db := range databases {
		agent.add(db, 0)
	}
	operator := filepath.Join(r.dir, "operator.star")
	text := fmt.Sprintf("consul(agents = [\"http://%s\"], services = {\"stok-db\": 0}%s)\n", agent.address, settings)
	if err := os.WriteFile(operator, []byte(text), 0o644); err != nil {
		return nil, err
	}
	p, err := newProxy("n0", r.dir, d, kereste(1), r.recorder)
	if err != nil {
		return nil, err
	}
	p.env = []string{"HAVEN_OPERATOR=" + operator}
	if err := r.startProxy(p); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s := &consulScene{databases: databases, agent: agent, end: make(chan struct{})}
	s.running = r.load(p.listen, 20*time.Millisecond, s.end, func(id string) string { return readText(id, "katalog", 800) })
	time.Sleep(3 * time.Second)
	if s.before = len(databases[2].statements()); s.before == 0 {
		s.stop()
		return nil, errors.New("db2 got nothing before the disruption")
	}
	return s, nil
}

// stop ends the load.
func (s *consulScene) stop() {
	close(s.end)
	s.running.Wait()
}
