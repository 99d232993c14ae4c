package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

func init() { cases["same-ids"] = playSameIDs }

const sameIDRequests = 100 // of each group

// serviceCatalogue is a stand-in for a Consul agent that never changes: the entries of each service.
type serviceCatalogue map[string][]map[string]any

const catalogueIndex = 10

// ServeHTTP answers for one service; a blocking query waits, as there is never any news.
func (c serviceCatalogue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if index, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil && index >= catalogueIndex {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil {
			wait = 5 * time.Minute
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("X-Consul-Index", strconv.Itoa(catalogueIndex))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
	json.NewEncoder(w).Encode(c[strings.TrimPrefix(r.URL.Path, "/v1/health/service/")])
}

// playSameIDs has two services of three databases each, one of each group, whose instances bear the same ids on
// different nodes: Consul asks that an id is unique for its agent only.
func playSameIDs(r *rig) error {
	services := []string{"orders-db", "stock-db"} // of group 0 and of group 1
	catalogue := serviceCatalogue{}
	groups := make([][]*database, len(services))
	for g, service := range services {
		for i := range 3 {
			db, err := startDatabase(fmt.Sprintf("%s-%d", service, i), i == 0, 20*time.Millisecond, r.recorder)
			if err != nil {
				return err
			}
			groups[g] = append(groups[g], db)
			host, port, _ := net.SplitHostPort(db.address)
			number, _ := strconv.Atoi(port)
			id := db.name
			if r.trouble {
				id = fmt.Sprintf("db-%d", i)
			}
			catalogue[service] = append(catalogue[service], map[string]any{
				"Node": map[string]any{"Node": "node-" + db.name, "Address": host, "Datacenter": "dc1"},
				"Service": map[string]any{"ID": id, "Service": service, "Address": host, "Port": number, "Tags": []string{},
					"Meta": map[string]any{"zone": "merkez-ofis"}, "Weights": map[string]any{"Passing": 1, "Warning": 1}},
				"Checks": []any{map[string]any{"CheckID": "service:" + id, "Status": "passing"}}})
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(listener, catalogue)
	d, err := startDiscovery(nil)
	if err != nil {
		return err
	}
	operator := filepath.Join(r.dir, "operator.star")
	text := fmt.Sprintf("consul(agents = [\"http://%s\"], services = {%q: 0, %q: 1}, alone = True)\n", listener.Addr(), services[0], services[1])
	if err := os.WriteFile(operator, []byte(text), 0o644); err != nil {
		return err
	}
	p, err := newProxy("n0", r.dir, d, kereste(1), r.recorder)
	if err != nil {
		return err
	}
	p.env = []string{"HAVEN_OPERATOR=" + operator}
	if err := r.startProxy(p); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for range sameIDRequests {
		for g := range services {
			for _, text := range []string{readText(newID(), "katalog", 800), writeText(newID(), "kayit-yaz", 3000)} {
				c, err := dialClient(p.listen)
				if err != nil {
					return err
				}
				a, err := c.ask(strings.Replace(text, "cluster=0", fmt.Sprintf("cluster=%d", g), 1))
				r.logf("client of group %d: code %q, value %q, error %v", g, a.code, a.value, err)
				c.conn.Close()
			}
		}
	}
	foreign, writes := 0, 0
	for g := range services {
		for _, db := range groups[g] {
			for _, s := range db.statements() {
				if s.hints["cluster"] != strconv.Itoa(g) {
					if foreign++; s.isWrite() {
						writes++
					}
				}
			}
		}
	}
	r.sayf("%d statements, %d of them writes, went to a database of the other group", foreign, writes)
	if foreign > 0 {
		return errBroken("requests went to databases of another group")
	}
	return nil
}
