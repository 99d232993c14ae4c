package net

import (
	"bytes"
	"fmt"
	stdnet "net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// startProxyWithSpy is startProxy with an opener whose connections the test can look at.
func startProxyWithSpy(t *testing.T, member string) (*Server, *state.Engine, *openerSpy) {
	t.Helper()
	clock := state.NewClock()
	spy := &openerSpy{Databases: &Databases{ConnectTimeout: testTimeout}}
	engine, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: testTimeout}, clock, spy)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(clock, &engine.Deadlines)
	spy.Loop, spy.Counters = loop, &engine.Counters
	server := NewServer(loop, clock, engine, 8, 1, 32<<20)
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	loop.Post(func() {
		engine.Start(nopWatcher{}, state.List{Entries: []state.Entry{{Name: "m", Address: member, State: logic.Ready}}})
	})
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() { loop.Post(func() { server.Drain(); loop.Stop() }); <-done })
	return server, engine, spy
}

// bytesArrived returns the bytes that have arrived on the newest connection to a database, and that the loop has not read.
func (s *openerSpy) bytesArrived() int {
	for i := len(s.opened) - 1; i >= 0; i-- {
		if conn := s.opened[i].socket; conn != nil && conn.active() {
			return conn.unread()
		}
	}
	return 0
}

// TestSpoiltEndOfLongValueFreesItsConnection guards against long answers that are spoilt behind their row and keep their connection's
// slot for ever: after as many as there are slots, nothing was served any more. Their clients got no byte of an answer either.
func TestSpoiltEndOfLongValueFreesItsConnection(t *testing.T) {
	const spoiltAnswers = 3
	noise := bytes.Repeat([]byte{0xff, 0x07, 0x00}, 130)
	for name, tail := range map[string][]byte{
		"noise":          noise,
		"second row":     longRowAnswer(10)[len(description):],
		"error":          pg.AppendError(nil, "XX000", "broken"),
		"second command": []byte("C\x00\x00\x00\x0dSELECT 1\x00C\x00\x00\x00\x0dSELECT 1\x00"),
	} {
		t.Run(name, func(t *testing.T) {
			var spoilt atomic.Int64
			var spy *openerSpy
			address := databaseStub(t, func(c stdnet.Conn, text string) bool {
				if spoilt.Load() >= spoiltAnswers {
					return echoQuery(c, text)
				}
				spoilt.Add(1)
				whole := longRowAnswer(70000)
				answer := append(whole[:len(whole)-len("C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I"):len(whole)], tail...)
				held := make(chan struct{})
				spy.Loop.Post(func() { // until the whole answer has arrived, so that it is handled in one call
					close(held)
					for end := time.Now().Add(testTimeout); spy.bytesArrived() < len(answer) && time.Now().Before(end); {
						time.Sleep(50 * time.Microsecond)
					}
				})
				<-held
				_, err := c.Write(answer)
				return err == nil
			})
			s, engine, opener := startProxyWithSpy(t, address)
			spy = opener
			c := dial(t, s)
			c.conn.Write(pg.AppendStartup(nil, "client", "core"))
			c.readTypes(len(welcome))
			ask := func(key string) (types string) {
				c.conn.Write(pg.AppendQuery(nil, query(key)))
				for !strings.HasSuffix(types, "Z") && !strings.HasSuffix(types, "!") {
					next, _ := c.readTypes(1)
					types += next
				}
				return types
			}
			served, asked := false, 0
			for end := time.Now().Add(testTimeout); !served && time.Now().Before(end); { // while its breaker is open, requests are refused
				asked++
				answer := ask(fmt.Sprint(asked))
				if answer != "EZ" && answer != "DCZ" {
					t.Fatalf("after %d spoilt answers: %q", spoilt.Load(), answer)
				}
				served = answer == "DCZ"
			}
			if n := spoilt.Load(); !served || n != spoiltAnswers {
				t.Errorf("served %v after %d spoilt answers", served, n)
			}
			counts := make(chan [2]int)
			opener.Loop.Post(func() { counts <- [2]int{engine.Pending(), engine.Connections()} })
			if x := <-counts; x[0] != 0 || x[1] > 1 {
				t.Errorf("%d pending, %d connections", x[0], x[1])
			}
		})
	}
}

// TestBrokenValueKeepsOtherAnswers guards against a value that breaks before its turn taking along the answers of its connection's other
// commands: all of them got a close and no byte.
func TestBrokenValueKeepsOtherAnswers(t *testing.T) {
	for _, size := range []int{300, 20 << 10, 60 << 10} { // what was sent of 1 MiB; all of it is held
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			ended := make(chan struct{})
			s, engine, loop := startProxy(t, databaseStub(t, func(c stdnet.Conn, text string) bool {
				if strings.Contains(text, "'2b'") {
					c.Write(longRowAnswer(1 << 20)[:size])
					close(ended)
					return false
				}
				if strings.Contains(text, "'1a'") {
					<-ended
					time.Sleep(10 * time.Millisecond) // a margin: if the end is seen later, the test shows nothing
				}
				return echoQuery(c, text)
			}), 8, 1)
			c := dial(t, s)
			c.conn.Write(slices.Concat(pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, query("1a")), pg.AppendQuery(nil, query("2b")), pg.AppendQuery(nil, query("3c"))))
			types, bodies := c.readTypes(len(welcome) + 8)
			if got := strings.TrimPrefix(types, welcome); got != "DCZEZDCZ" || !strings.Contains(bodies[len(bodies)-3], "'3c'") {
				t.Errorf("answers %q to a read, a broken one and a read", got)
			}
			counts := make(chan [2]int)
			loop.Post(func() { counts <- [2]int{engine.Pending(), engine.Connections()} })
			if x := <-counts; x[0] != 0 || x[1] > 2 {
				t.Errorf("%d pending, %d connections", x[0], x[1])
			}
		})
	}
}
