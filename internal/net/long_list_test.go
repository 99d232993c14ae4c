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

// listOf returns a full list of so many databases, whose names share a prefix.
func listOf(prefix string, databases int) string {
	entries := make([]string, databases)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"%s%d","hostPort":"127.0.0.1:1","cell":%d,"lifecycle":"in_service","weight":1}`, prefix, i, i/4)
	}
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
}

// Guards against incident 38: the loop parsed a list of thousands in one go. It is parsed outside the loop, and is
// not lost when the service closes the connection right after it; a list that is still being parsed when the proxy
// switches to another service is not put into effect.
func TestLongListIsParsedOutsideTheLoop(t *testing.T) {
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
	_, engine, loop := startProxy(t, "127.0.0.1:1", 4, 4)
	moved := make(chan struct{})
	loop.Post(func() {
		d := NewDiscovery(loop, engine.Clock(), engine, old, discovery.NoGeneration, 0)
		d.Fetch()
		var inspect func()
		inspect = func() {
			if !d.parsing {
				loop.Post(inspect)
				return
			}
			d.SetAddress(next)
			close(moved)
		}
		inspect()
	})
	<-moved
	inspect := func() (metrics, logged string, failures uint64) {
		done := make(chan struct{})
		loop.Post(func() {
			metrics, logged, failures = string(engine.AppendMetrics(nil)), log.String(), engine.Counters.ListFailures
			close(done)
		})
		<-done
		return metrics, logged, failures
	}
	metrics, logged, failures := inspect()
	for end := time.Now().Add(testTimeout); !strings.Contains(metrics, "known_databases:4000|g"); metrics, logged, failures = inspect() {
		if time.Now().After(end) {
			t.Fatalf("the list of the new service is not in effect: %s", metrics)
		}
	}
	if strings.Contains(logged, "name=old") || !strings.Contains(logged, "name=next") {
		t.Error("the list of the previous service was put into effect")
	}
	if failures > 0 {
		t.Errorf("%d calls were counted as failed", failures)
	}
}
