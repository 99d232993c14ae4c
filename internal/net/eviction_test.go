package net

import (
	stdnet "net"
	"testing"

	"havenproxy/internal/wire/pg"
)

// queuedCallbacks returns the number of callbacks that wait for the loop.
func queuedCallbacks(l *Loop) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Guards against a hang for good (issue 49): a new client is accepted while the queries of all silent clients wait in
// the loop's queue behind it, so that none of them may be evicted to make room. All are answered.
func TestNewClientAmidUnhandledFirstQueries(t *testing.T) {
	const clients = 44
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), clients, 1)
	var silent []*testConn
	for range clients/maxSilentFraction + 1 {
		p := dial(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		p.readTypes(len(welcome))
		silent = append(silent, p)
	}
	release := holdLoop(loop)
	newcomer, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer newcomer.Close()
	for queuedCallbacks(loop) < 1 {
	}
	for _, p := range silent {
		p.conn.Write(pg.AppendQuery(nil, ""))
	}
	for queuedCallbacks(loop) < 1+len(silent) {
	}
	release()
	for i, p := range silent {
		if types, _ := p.readTypes(2); types != "IZ" {
			t.Errorf("client %d of %d got %q, want its answer", i, len(silent), types)
		}
	}
	newcomer.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
	if types, _ := (&testConn{conn: newcomer}).readTypes(len(welcome) + 2); types != welcome+"IZ" {
		t.Errorf("the new client got %q", types)
	}
}
