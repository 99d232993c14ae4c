package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	ordersService = "orders-db" // group 0
	stockService  = "stock-db"  // group 1
	downTime      = 500 * time.Millisecond
	foreignAfter  = 10 * time.Second
	toldSlack     = 2*time.Second + socketSlack // as much as the rule on drains leaves for a change of the list
)

// replacedAcrossGroups lists two groups in Consul, each as a service. A replica of the first group ends and is removed from the catalogue.
// A new database of the second group then starts at its address, under an id of its own.
func replacedAcrossGroups(env *environment) (bool, error) {
	services := map[string][]*database{}
	var databases []*database
	for i := range 6 {
		group, service := 0, ordersService
		if i >= 3 {
			group, service = 1, stockService
		}
		db, err := startDatabaseAt(env.record, "127.0.0.1:0", fmt.Sprintf("s-%08x", i+1), group, i%3 == 0, 45*time.Millisecond, 64)
		if err != nil {
			return false, err
		}
		defer db.close()
		databases = append(databases, db)
		services[service] = append(services[service], db)
	}
	disco, err := startDiscovery(databases)
	if err != nil {
		return false, err
	}
	defer disco.server.Close()
	agent, err := startConsul(env.record, services)
	if err != nil {
		return false, err
	}
	defer agent.server.Close()
	operatorFile := filepath.Join(env.folder, "operator.star")
	text := fmt.Sprintf("consul(agents = [\"http://%s\"], services = {\"%s\": 0, \"%s\": 1}, alone = True)\n", agent.address, ordersService, stockService)
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
	var mix []request
	for group := range 2 {
		mix = append(mix, request{class: "stok-bakis", wait: 1200 * time.Millisecond, group: group}, request{class: "katalog", wait: 800 * time.Millisecond, group: group},
			request{class: "kayit-yaz", wait: 3 * time.Second, write: true, group: group})
	}
	load := startTraffic(env.record, p.address, "0000", 12, 60*time.Millisecond, mix)
	time.Sleep(steadyBefore)
	replaced := databases[2]
	told := time.Now()
	if env.trouble {
		env.record.note("%s of group 0 ends", replaced.name)
		replaced.close()
		agent.deregister(replaced.name)
		if _, ok := agent.awaitTold(); !ok {
			return false, fmt.Errorf("the proxy doesn't follow Consul")
		}
		time.Sleep(downTime)
		successor, err := startDatabaseAt(env.record, replaced.address, "s-00000007", 1, false, 45*time.Millisecond, 64)
		if err != nil {
			return false, err
		}
		defer successor.close()
		successor.startedAt = time.Now()
		databases = append(databases, successor)
		env.record.note("%s of group 1 starts at its address", successor.name)
		agent.register(stockService, successor)
		at, ok := agent.awaitTold()
		if !ok {
			return false, fmt.Errorf("the proxy doesn't follow Consul")
		}
		told = at
		env.record.noteAt(told, "the proxy has been told of %s", successor.name)
	}
	time.Sleep(foreignAfter)
	got := load.end()
	env.record.say("%d requests: %d served, %d refused, %d failed, %d lost", got.sent, got.served, got.refused, got.failed, got.lost)
	if got.served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	for _, db := range databases {
		if n := load.sources[source{1 - db.group, db.name}]; n > 0 {
			env.record.say("clients of group %d were served %d values of %s, a database of group %d", 1-db.group, n, db.name, db.group)
		}
	}
	foreign := 0
	for _, db := range databases {
		count, last := 0, time.Time{}
		for _, a := range db.arrivals() {
			if a.group != fmt.Sprint(db.group) && a.at.Sub(told) > toldSlack {
				count, last = count+1, a.at
			}
		}
		if foreign += count; count > 0 {
			env.record.say("%s of group %d was sent %d requests of the other group later than %v behind the news, the last %v behind it, and served them",
				db.name, db.group, count, toldSlack, last.Sub(told).Round(time.Millisecond))
		}
	}
	return foreign > 0, nil
}
