package net

import (
	"bytes"
	"fmt"
	"log/slog"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
)

// listOf words a whole list of so many databases, whose names begin alike.
func listOf(prefix string, databases int) string {
	entries := make([]string, databases)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"%s%d","hostPort":"127.0.0.1:1","cell":%d,"lifecycle":"in_service","weight":1}`, prefix, i, i/4)
	}
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
}

// Guards against incident 38: the loop read a list of thousands in one go. It is read beside the loop, and the service's close right behind it
// does not lose it; one that is still being read when the proxy moves to another service is not put into effect.
func TestALongListIsReadBesideTheLoop(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	serve := func(prefix string, databases int) string {
		text := listOf(prefix, databases)
		return listen(t, func(conn stdnet.Conn) {
			conn.Read(make([]byte, 4096))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		})
	}
	old, next := serve("old", 3200), serve("next", 4000)
	_, engine, loop := proxy(t, "127.0.0.1:1", 4, 4)
	moved := make(chan struct{})
	loop.Post(func() {
		d := NewDiscovery(loop, engine.Clock(), engine, old, discovery.NoList, 0)
		d.Fetch()
		var look func()
		look = func() {
			if !d.parsing {
				loop.Post(look)
				return
			}
			d.SetAddress(next)
			close(moved)
		}
		look()
	})
	<-moved
	look := func() (figures, logged string, failures uint64) {
		done := make(chan struct{})
		loop.Post(func() {
			figures, logged, failures = string(engine.AppendMetrics(nil)), log.String(), engine.Counters.ListFailures
			close(done)
		})
		<-done
		return figures, logged, failures
	}
	figures, logged, failures := look()
	for end := time.Now().Add(patience); !strings.Contains(figures, "known_databases:4000|g"); figures, logged, failures = look() {
		if time.Now().After(end) {
			t.Fatalf("the list of the new service is not in effect: %s", figures)
		}
	}
	if strings.Contains(logged, "name=old") || !strings.Contains(logged, "name=next") {
		t.Error("the list of the service before was put into effect")
	}
	if failures > 0 {
		t.Errorf("%d calls count as failed", failures)
	}
}
