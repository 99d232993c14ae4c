package load

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// metronome asks each 10 ms, on the dot.
type metronome struct {
	next  time.Duration
	until time.Duration
}

func (m *metronome) Next() (arrivals.Request, bool) {
	at := m.next
	m.next += 10 * time.Millisecond
	return arrivals.Request{At: at, Session: 1 + int(at/(10*time.Millisecond))%50}, at < m.until
}

// pipes is a proxy in memory that answers at once, but for a second in which it stands still: what comes meanwhile, and
// whatever is asked, is answered at its end.
type pipes struct {
	start       time.Time
	from, until time.Duration
	mu          sync.Mutex
	open        []net.Conn
}

func (p *pipes) dial(time.Time) (net.Conn, error) {
	own, theirs := net.Pipe()
	p.mu.Lock()
	p.open = append(p.open, theirs)
	p.mu.Unlock()
	go p.serve(theirs)
	return own, nil
}

func (p *pipes) stall() {
	if at := time.Since(p.start); at >= p.from && at < p.until {
		time.Sleep(p.until - at)
	}
}

func (p *pipes) serve(c net.Conn) {
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
		if !opened {
			_, n, err := pg.NextStartup(buf)
			if n == 0 || err != nil {
				return
			}
			opened, buf = true, buf[n:]
			p.stall()
			c.Write(pg.AppendStartupResponse(nil))
		}
		for {
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
			p.stall()
			c.Write(served1(st.ID))
		}
	}
}

func served1(id string) []byte {
	value := id + "@1"
	row := append([]byte{0, 1, 0, 0, byte(len(value) >> 8), byte(len(value))}, value...)
	out := append([]byte{'D', 0, 0, byte((len(row) + 4) >> 8), byte(len(row) + 4)}, row...)
	return pg.AppendReadyForQuery(append(out, "C\x00\x00\x00\x0dSELECT 1\x00"...))
}

// A proxy that stalls for exactly a second, from 4 s to 5 s of a run of 10 s, asked each 10 ms: 1,000 requests. All but those due
// in the stall are answered at once: 0 ms, which the histogram keeps as 0.001. Those due at 4.00, 4.01 ... 4.99 s wait for 1000,
// 990 ... 10 ms: 100 requests. So by rank, of 1,000: the 500th waits 0; the 950th is the 50th of the 100, 500 ms; the 990th is
// the 90th of them, 900 ms; the 999th is the 99th, 990 ms; the last 1000 ms. These hold with one socket and with many: clients
// wait either way. The generator that counts from when a request goes out sees, with one socket, one request of 1000 ms and 999
// of 0: its 99th and 99.9th percentiles are 0. Time is the bubble's own, so nothing here hangs on the machine.
func TestAStallIsChargedToAllWhomItMadeWait(t *testing.T) {
	for _, sockets := range []int{1, 200} {
		synctest.Test(t, func(t *testing.T) {
			p := &pipes{start: time.Now(), from: 4 * time.Second, until: 5 * time.Second}
			r, err := Run(context.Background(), Config{Dial: p.dial, Seed: 1, Groups: 1, For: 10 * time.Second, Sockets: sockets,
				Arrivals: &metronome{until: 10 * time.Second},
				Classes:  []Class{{Class: logic.Class{Name: "katalog", Read: logic.Any, Aim: 200 * time.Millisecond, Limit: 5 * time.Second, Worth: 1}, Share: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range p.open {
				c.Close()
			}
			c := r.Class("katalog")
			near := func(name string, got, want float64) {
				if math.Abs(got-want) > want/500+0.0015 { // three digits of the histogram
					t.Errorf("%d sockets: %s is %v ms, by hand %v", sockets, name, got, want)
				}
			}
			if c.Offered != 1000 || c.Outcomes[Names[InAim]] != 920 || c.Outcomes[Names[Late]] != 80 { // 210 ms and more are late: 80 of the 100
				t.Errorf("%d sockets: %+v", sockets, c.Outcomes)
			}
			near("p50", c.P50, 0.001)
			near("p95", quantile(c.due, 95), 500)
			near("p99", c.P99, 900)
			near("p99.9", c.P999, 990)
			near("the longest", float64(c.due.Max())/1e3, 1000)
			if sockets == 1 {
				near("uncorrected p99", c.SentP99, 0.001)
				near("uncorrected p99.9", c.SentP999, 0.001)
				near("wait for a socket, p99", r.WaitP99, 890) // the first of the hundred has the socket, the 89th behind it waits for 1000-890+... its rank is 990
			} else {
				near("uncorrected p99", c.SentP99, 900) // with a socket for each, nobody waits for one
			}
			if len(r.Marked) != 0 || r.LateMax > 0.002 {
				t.Errorf("%d sockets: marked %v, late by %v ms", sockets, r.Marked, r.LateMax)
			}
			tenths := 0
			for i, x := range r.Tenths[:100] {
				if x.Offered != 10 {
					t.Fatalf("%d requests in tenth %d", x.Offered, i)
				}
				if x.Longest > 1 {
					tenths++
				}
			}
			if near("the longest of the stall's first tenth", r.Tenths[40].Longest, 1000); tenths != 10 {
				t.Errorf("%d tenths of a second with long answers", tenths)
			}
		})
	}
}

// Where the generator could not keep its schedule the run is marked.
func TestARunThatCouldNotKeepItsScheduleIsMarked(t *testing.T) {
	r := newRecorder(Config{For: time.Second, Classes: []Class{{Class: logic.Class{Name: "a"}}}})
	for i := range 100 {
		r.lateness(time.Duration(i) * time.Millisecond / 10)
	}
	if x := r.result(); len(x.Marked) != 1 {
		t.Errorf("%v", x.Marked)
	}
	r = newRecorder(Config{For: time.Second, Classes: []Class{{Class: logic.Class{Name: "a"}}}})
	r.classes[0].Outcomes[Names[Unsent]] = 3
	if x := r.result(); len(x.Marked) != 1 || x.Marked[0][:10] != "3 requests" {
		t.Errorf("%v", x.Marked)
	}
}
