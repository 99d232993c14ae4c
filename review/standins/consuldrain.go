package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	drainGrace   = 2 * time.Second // of the rule on drains, in the settings
	socketSlack  = 50 * time.Millisecond
	steadyBefore = 3 * time.Second
	drainTime    = 1500 * time.Millisecond // from the drain to the removal from the catalogue
	steadyAfter  = 10 * time.Second
)

// drainThenDeregister lists the databases in Consul. One replica is marked as draining there, and is removed from the catalogue a little
// later, while its process still finishes its work.
func drainThenDeregister(env *environment) (bool, error) {
	return consulDrain(env, "True", true)
}

// consulDrain plays a drain that Consul tells. alone is the setting of that name: whether the platform's list has no word.
func consulDrain(env *environment, alone string, deregister bool) (bool, error) {
	var databases []*database
	for i := range 4 {
		db, err := startDatabase(env.record, fmt.Sprintf("s-%08x", i+1), i == 0, 45*time.Millisecond, 16)
		if err != nil {
			return false, err
		}
		defer db.close()
		databases = append(databases, db)
	}
	disco, err := startDiscovery(databases)
	if err != nil {
		return false, err
	}
	defer disco.server.Close()
	agent, err := startConsul(env.record, map[string][]*database{consulService: databases})
	if err != nil {
		return false, err
	}
	defer agent.server.Close()
	operatorFile := filepath.Join(env.folder, "operator.star")
	text := fmt.Sprintf("consul(agents = [\"http://%s\"], services = {\"%s\": 0}, alone = %s)\n", agent.address, consulService, alone)
	if err := os.WriteFile(operatorFile, []byte(text), 0o600); err != nil {
		return false, err
	}
	known, _ := disco.snapshot()
	p, err := startProxy(env.root, env.folder, disco.address, operatorFile, known)
	if err != nil {
		return false, err
	}
	defer p.stop()
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	if _, ok := agent.awaitTold(); !ok {
		return false, fmt.Errorf("the proxy doesn't ask Consul")
	}
	load := startTraffic(env.record, p.address, "0000", 12, 60*time.Millisecond, []request{
		{class: "stok-bakis", wait: 1200 * time.Millisecond}, {class: "katalog", wait: 800 * time.Millisecond}, {class: "kayit-yaz", wait: 3 * time.Second, write: true}})
	time.Sleep(steadyBefore)
	leaving := databases[2]
	var told time.Time
	if env.trouble {
		agent.drain(leaving.name)
		at, ok := agent.awaitTold()
		if !ok {
			return false, fmt.Errorf("the proxy doesn't follow Consul")
		}
		told = at
		env.record.noteAt(told, "the proxy has been told that %s drains", leaving.name)
		if deregister {
			time.Sleep(drainTime)
			agent.deregister(leaving.name)
			agent.awaitTold()
			env.record.note("the proxy has been told that %s is gone", leaving.name)
		}
	}
	time.Sleep(steadyAfter)
	got := load.end()
	env.record.say("%d requests: %d served, %d refused, %d failed, %d lost", got.sent, got.served, got.refused, got.failed, got.lost)
	if got.served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	if !env.trouble {
		return false, nil
	}
	late := 0
	var first, last time.Duration
	for _, a := range leaving.arrivals() {
		if since := a.at.Sub(told); since > drainGrace+socketSlack {
			if late++; first == 0 {
				first = since
			}
			last = since
		}
	}
	env.record.say("%s got %d requests later than %v behind the news of its drain, from %v to %v behind it", leaving.name, late, drainGrace+socketSlack,
		first.Round(time.Millisecond), last.Round(time.Millisecond))
	return late > 0, nil
}
