package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
)

// listOf words a whole list of so many databases.
func listOf(databases int) string {
	entries := make([]string, databases)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"s%d","hostPort":"127.0.0.1:1","cell":%d,"lifecycle":"in_service","weight":1}`, i, i/4)
	}
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
}

// Guards against incident 38: the loop read a list of thousands in one go. It is read beside the loop, and the service's close right behind it
// does not lose it; one that is still being read when the proxy moves to another service is not put into effect.
func TestALongListIsReadBesideTheLoop(t *testing.T) {
	serve := func(databases int) string {
		text := listOf(databases)
		return listen(t, func(conn stdnet.Conn) {
			conn.Read(make([]byte, 4096))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		})
	}
	old, next := serve(4000), serve(3200)
	_, front, loop := proxy(t, "127.0.0.1:1", 4, 4)
	moved := make(chan struct{})
	loop.Post(func() {
		d := NewDiscovery(loop, front.Clock(), front, old, discovery.NoList, 0)
		d.Fetch()
		var look func()
		look = func() {
			if !d.reading {
				loop.Post(look)
				return
			}
			d.Move(next)
			close(moved)
		}
		look()
	})
	<-moved
	known := func() (text string) {
		done := make(chan struct{})
		loop.Post(func() { text = string(front.Figures(nil)); close(done) })
		<-done
		return text
	}
	for end := time.Now().Add(patience); !strings.Contains(known(), "known_databases:3200|g"); {
		if time.Now().After(end) {
			t.Fatalf("the list of the new service is not in effect: %s", known())
		}
	}
	if front.Counters.ListFailures > 0 {
		t.Errorf("%d calls count as failed", front.Counters.ListFailures)
	}
}
