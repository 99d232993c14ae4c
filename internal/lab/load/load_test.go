package load

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a proxy of a few lines: what it answers to a statement is the test's to say; nothing = it stays silent.
func server(t *testing.T, answer func(st pg.Statement) []byte) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var buf []byte
				chunk := make([]byte, 4096)
				opened := false
				for {
					n, err := c.Read(chunk)
					if err != nil {
						return
					}
					buf = append(buf, chunk[:n]...)
					for {
						if !opened {
							_, n, err := pg.NextStartup(buf)
							if n == 0 || err != nil {
								break
							}
							opened, buf = true, buf[n:]
							c.Write(pg.AppendStartupResponse(nil))
							continue
						}
						m, n, err := pg.Next(buf)
						if n == 0 || err != nil {
							break
						}
						text, _ := pg.QueryText(m)
						st, err := pg.ParseStatement(string(text))
						if err != nil {
							return
						}
						buf = buf[n:]
						c.Write(answer(st))
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func row(value string) []byte {
	return pg.AppendResultSet(nil, []string{"val"}, [][]string{{value}}, "SELECT 1", 1<<16)
}

func config(address string) Config {
	return Config{Address: address, Seed: 3, Groups: 2, For: 300 * time.Millisecond, Sockets: 20, Sessions: 10,
		Rate: func(time.Duration) float64 { return 1000 }, Classes: []Class{
			{Class: logic.Class{Name: "look", Read: logic.Any, Aim: 20 * time.Second, Limit: 40 * time.Second, Worth: 1}, Share: 3},
			{Class: logic.Class{Name: "write", Read: logic.Write, Aim: 20 * time.Second, Limit: 40 * time.Second, Worth: 2}, Share: 1}}}
}

// Every request has one outcome; the schedule is the seed's, whatever the answers are.
func TestEveryRequestEndsOnceAndTheScheduleIsTheSeeds(t *testing.T) {
	address := server(t, func(st pg.Statement) []byte {
		switch st.Session % 4 {
		case 0:
			return pg.AppendRefused(nil, time.Millisecond)
		case 1:
			return pg.AppendFailed(nil)
		}
		return row(st.ID + "@1")
	})
	var offered [2]int
	for i := range offered {
		r, err := Run(context.Background(), config(address))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Classes {
			offered[i] += c.Offered
			sum := 0
			for _, n := range c.Outcomes {
				sum += n
			}
			if sum != c.Offered || c.Outcomes["in aim"] == 0 || c.Outcomes["refused"]+c.Outcomes["failed"] == 0 {
				t.Errorf("%s: %+v of %d", c.Name, c.Outcomes, c.Offered)
			}
		}
		if len(r.Faults) > 0 {
			t.Error(r.Faults)
		}
	}
	if offered[0] != offered[1] || offered[0] < 200 {
		t.Errorf("%d and %d requests from one seed", offered[0], offered[1])
	}
}

func TestWrongAndOldAnswersAreFound(t *testing.T) {
	cfg := config(server(t, func(st pg.Statement) []byte {
		if st.Class == "write" {
			return row("another@1")
		}
		return row(st.ID + "@1") // 1970
	}))
	cfg.Classes[0].Read, cfg.Classes[0].MaxAge = logic.Bounded, time.Second
	r, err := Run(context.Background(), cfg)
	if err != nil || r.Faults["an answer to another request"] != r.Classes[1].Offered || r.Faults["data older than its class allows"] != r.Classes[0].Offered {
		t.Errorf("%v, %v", r.Faults, err)
	}
}

// Refused clients come again as often as they are told to, and each has one end all the same.
func TestRefusedClientsTryAgain(t *testing.T) {
	cfg := config(server(t, func(pg.Statement) []byte { return pg.AppendRefused(nil, time.Millisecond) }))
	cfg.Retry = Retry{Most: 2, Honour: true}
	r, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Classes {
		if c.Refusals != 3*c.Offered || c.Outcomes["refused"] != c.Offered {
			t.Errorf("%s: %d refusals of %d requests, %v", c.Name, c.Refusals, c.Offered, c.Outcomes)
		}
	}
}

// Those that find no socket in their time are counted as that, and those that get no answer as silent.
func TestWhatCouldNotBeSentIsCounted(t *testing.T) {
	cfg := config(server(t, func(pg.Statement) []byte { return nil }))
	cfg.Sockets = 2
	for i := range cfg.Classes {
		cfg.Classes[i].Limit = 50 * time.Millisecond
	}
	r, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Classes {
		if c.Outcomes["unsent"]+c.Outcomes["silent"] != c.Offered || c.Outcomes["unsent"] == 0 {
			t.Errorf("%s: %v of %d", c.Name, c.Outcomes, c.Offered)
		}
	}
}

func TestABadLoadIsRefused(t *testing.T) {
	if _, err := Run(context.Background(), Config{}); err == nil || !strings.Contains(err.Error(), "shares") {
		t.Error(err)
	}
}
