package standin

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"havenproxy/internal/lab/fleet"
	"havenproxy/logic"
)

// The official client reads the stand-in: entries, checks, the headers, blocking queries, the token and what it refuses.
func TestConsulForItsOwnClient(t *testing.T) {
	w, err := New(fleet.Config{Groups: 2, Members: 2, Classes: []fleet.Class{{Class: logic.Class{Name: "a"}, Work: fleet.Span{From: 1, To: 2}}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	c, err := NewConsul(w, "secret")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	client := func(token string) *api.Client {
		k, err := api.NewClient(&api.Config{Address: c.Address, Token: token})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	k := client("secret")
	list, meta, err := k.Health().Service("db", "", false, nil)
	if err != nil || len(list) != 4 || meta.LastIndex < 1 || !meta.KnownLeader {
		t.Fatalf("%d entries, %+v, %v", len(list), meta, err)
	}
	if e := list[3]; e.Service.ID != "db-3" || e.Service.Meta["group"] != "1" || e.Checks.AggregatedStatus() != api.HealthPassing || e.Service.Port == 0 {
		t.Errorf("%+v", e)
	}
	// A blocking query waits, and comes back with the news.
	done := make(chan struct{})
	go func() {
		defer close(done)
		news, m2, err := k.Health().Service("db", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: time.Minute})
		if err != nil || m2.LastIndex == meta.LastIndex || news[1].Checks.AggregatedStatus() != api.HealthMaint || len(news) != 3 {
			t.Errorf("%d entries, %+v, %v", len(news), m2, err)
		}
	}()
	for c.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	c.Tell(func(l *Lies) { l.Health, l.Missing = map[int]string{1: "maintenance"}, map[int]bool{3: true} })
	<-done
	if _, m3, err := k.Health().Service("db", "", false, &api.QueryOptions{WaitIndex: c.index, WaitTime: time.Millisecond}); err != nil || m3.LastIndex != c.index {
		t.Errorf("the end of the wait: %+v, %v", m3, err)
	}
	if list, _, err := k.Health().Service("other", "", false, nil); err != nil || len(list) != 0 {
		t.Error(list, err)
	}
	if s, _, err := k.Catalog().Services(nil); err != nil || s["db"] == nil {
		t.Error(s, err)
	}
	if _, _, err := client("wrong").Health().Service("db", "", false, nil); err == nil || !strings.Contains(err.Error(), "403") {
		t.Error(err)
	}
	c.Tell(func(l *Lies) { l.Down = true })
	if _, _, err := k.Health().Service("db", "", false, nil); err == nil || !strings.Contains(err.Error(), "No cluster leader") {
		t.Error(err)
	}
	c.Tell(func(l *Lies) { l.Down, l.Cut = false, true })
	if _, _, err := k.Health().Service("db", "", false, nil); err == nil {
		t.Error("half an answer passed")
	}
}
