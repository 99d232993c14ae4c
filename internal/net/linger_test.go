package net

import (
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// TestLingeringFloodIsReadInParts guards against a client that goes on sending at full speed after its connection was shut down: the loop read
// and dropped all of it, for 0.2 s at a time.
func TestLingeringFloodIsReadInParts(t *testing.T) {
	s, engine, loop := startProxy(t, "127.0.0.1:1", 8, 1)
	p := dial(t, s)
	begun := time.Now()
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "not to be routed"))
	rest := make([]byte, 1<<20)
	for {
		if _, err := p.conn.Write(rest); err != nil { // the proxy has closed the connection
			break
		}
	}
	most := readSize * (2 + uint64(time.Since(begun)/lingerReadPause))
	if discarded := onLoop(loop, func() uint64 { return engine.Counters.DiscardedBytes }); discarded > most {
		t.Errorf("%d bytes were read and dropped, want %d at most", discarded, most)
	}
}
