package hostile

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"havenproxy/internal/wire/pg"
)

// blockSize is how many bytes of messages a flooding client writes at once.
const blockSize = 32 << 10

// retryPause is how long a hostile client waits after a connection that was refused or has ended.
const retryPause = 2 * time.Millisecond

// The messages by which PostgreSQL clients ask for encryption or to cancel, by the codes of the protocol.
const (
	encryptionCode = 80877103
	cancelCode     = 80877102
)

// block appends one message of a flood.
type block func(t *Target, rng *rand.Rand, dst []byte) []byte

func emptyQueries(_ *Target, _ *rand.Rand, dst []byte) []byte { return pg.AppendQuery(dst, "") }

// request appends a request with a new id.
func request(t *Target, rng *rand.Rand, dst []byte, class string, group int, wait time.Duration) []byte {
	return pg.AppendQuery(dst, t.statement(fmt.Sprintf("%016x", rng.Uint64()), class, group, rng.Uint64(), wait))
}

func expiredRequests(t *Target, rng *rand.Rand, dst []byte) []byte {
	return request(t, rng, dst, clientClass, rng.IntN(t.Model.Groups), time.Duration(rng.IntN(3))*time.Millisecond)
}

func newGroups(t *Target, rng *rand.Rand, dst []byte) []byte {
	return request(t, rng, dst, clientClass, 1000+rng.IntN(1<<30), clientWait)
}

func newSessions(t *Target, rng *rand.Rand, dst []byte) []byte {
	return request(t, rng, dst, "kendi-siparis", rng.IntN(t.Model.Groups), 300*time.Millisecond)
}

func sameID(t *Target, rng *rand.Rand, dst []byte) []byte {
	return pg.AppendQuery(dst, t.statement("5a5e1d", clientClass, 0, rng.Uint64(), clientWait))
}

// connect opens a PostgreSQL connection and sends the startup message.
func connect(ctx context.Context, t *Target) net.Conn {
	conn := dial(ctx, t.Postgres)
	if conn == nil {
		return nil
	}
	conn.Write(pg.AppendStartup(nil, "client", "core"))
	return conn
}

// flood sends messages on one connection as fast as it takes them; read says whether the answers are read.
func flood(message block, read bool) attack {
	return func(ctx context.Context, t *Target, rng *rand.Rand) {
		for ctx.Err() == nil {
			if conn := connect(ctx, t); conn != nil {
				floodOn(ctx, conn, func(dst []byte) []byte { return message(t, rng, dst) }, read)
				conn.Close()
			}
			sleep(ctx, retryPause)
		}
	}
}

// floodOn writes messages to a connection until it or the context ends.
func floodOn(ctx context.Context, conn net.Conn, message func([]byte) []byte, read bool) {
	if read {
		go io.Copy(io.Discard, conn)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	for out := []byte(nil); ; out = out[:0] {
		for len(out) < blockSize {
			out = message(out)
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// singleBytes sends empty queries byte by byte.
func singleBytes(ctx context.Context, t *Target, _ *rand.Rand) {
	conn := connect(ctx, t)
	if conn == nil {
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	message := pg.AppendQuery(nil, "")
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(message) {
		if _, err := conn.Write(message[i : i+1]); err != nil {
			return
		}
	}
}

// exchange is what a client does on a connection before it leaves it.
type exchange func(t *Target, rng *rand.Rand, conn net.Conn)

// repeat connects again and again, in several loops; reset says whether it resets the connections.
func repeat(loops int, reset bool, client exchange) attack {
	return func(ctx context.Context, t *Target, rng *rand.Rand) {
		together(loops, rng, func(rng *rand.Rand) {
			for ctx.Err() == nil {
				conn := dial(ctx, t.Postgres)
				if conn == nil {
					sleep(ctx, retryPause)
					continue
				}
				conn.SetDeadline(time.Now().Add(time.Second))
				client(t, rng, conn)
				if reset {
					conn.SetLinger(0)
				}
				conn.Close()
			}
		})
	}
}

func nothing(*Target, *rand.Rand, net.Conn) {}

func startupAndRequest(t *Target, rng *rand.Rand, conn net.Conn) {
	conn.Write(newSessions(t, rng, pg.AppendStartup(nil, "client", "core")))
}

// readToEnd reads until the proxy closes.
func readToEnd(conn net.Conn) { io.Copy(io.Discard, conn) }

func malformedQuery(_ *Target, _ *rand.Rand, conn net.Conn) {
	conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "SELECT nothing that can be routed"))
	readToEnd(conn)
}

func newClass(t *Target, rng *rand.Rand, conn net.Conn) {
	conn.Write(request(t, rng, pg.AppendStartup(nil, "client", "core"), fmt.Sprintf("class-%x", rng.Uint64()), 0, clientWait))
	readToEnd(conn)
}

func terminate(_ *Target, _ *rand.Rand, conn net.Conn) {
	conn.Write(append(pg.AppendStartup(nil, "client", "core"), 'X', 0, 0, 0, 4))
	readToEnd(conn)
}

// startupOf returns a startup message of a code without parameters.
func startupOf(code uint32, rest int) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(8+rest))
	return append(binary.BigEndian.AppendUint32(out, code), make([]byte, rest)...)
}

func cancelRequest(_ *Target, _ *rand.Rand, conn net.Conn) {
	conn.Write(startupOf(cancelCode, 8))
	readToEnd(conn)
}

// encryptionRequests asks for encryption again and again, which the proxy refuses each time.
func encryptionRequests(_ *Target, _ *rand.Rand, conn net.Conn) {
	go io.Copy(io.Discard, conn)
	out := []byte(strings.Repeat(string(startupOf(encryptionCode, 0)), blockSize/8))
	for {
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// crowd holds many connections; each client connects again when its own has ended.
func crowd(n int, client func(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn)) attack {
	return crowdAt(func(t *Target) string { return t.Postgres }, n, client)
}

func crowdAt(address func(*Target) string, n int, client func(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn)) attack {
	return func(ctx context.Context, t *Target, rng *rand.Rand) {
		together(n, rng, func(rng *rand.Rand) {
			for ctx.Err() == nil {
				conn := dial(ctx, address(t))
				if conn == nil {
					sleep(ctx, crowdPause)
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				client(ctx, t, rng, conn)
				stop()
				conn.Close()
				sleep(ctx, crowdPause)
			}
		})
	}
}

// crowdPause is how long a client of a crowd waits before it connects again.
const crowdPause = 50 * time.Millisecond

func silence(_ context.Context, _ *Target, _ *rand.Rand, conn net.Conn) { readToEnd(conn) }

// writePieces writes a message in pieces.
func writePieces(ctx context.Context, conn net.Conn, message []byte, size int, pause time.Duration) error {
	for len(message) > 0 && ctx.Err() == nil {
		n, err := conn.Write(message[:min(size, len(message))])
		if err != nil {
			return err
		}
		message = message[n:]
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// piecewiseQuery sends each request in pieces.
func piecewiseQuery(size int, pause time.Duration) func(context.Context, *Target, *rand.Rand, net.Conn) {
	return func(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn) {
		go io.Copy(io.Discard, conn)
		conn.Write(pg.AppendStartup(nil, "client", "core"))
		for writePieces(ctx, conn, newSessions(t, rng, nil), size, pause) == nil {
		}
	}
}

// largeStatement is a request of some 60 KB.
func largeStatement(t *Target, rng *rand.Rand, padding string) []byte {
	text := t.statement(fmt.Sprintf("%016x", rng.Uint64()), clientClass, 0, rng.Uint64(), clientWait)
	return pg.AppendQuery(nil, "/* "+padding+" */"+text)
}

func largePieces(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn) {
	go io.Copy(io.Discard, conn)
	conn.Write(pg.AppendStartup(nil, "client", "core"))
	for writePieces(ctx, conn, largeStatement(t, rng, strings.Repeat("x", 60_000)), 200, 2*time.Millisecond) == nil {
	}
}

// manyFields sends statements with thousands of fields in their comments, at full speed.
func manyFields(ctx context.Context, _ *Target, _ *rand.Rand, conn net.Conn) {
	conn.Write(pg.AppendStartup(nil, "client", "core"))
	message := pg.AppendQuery(nil, "SELECT 1 /* "+strings.Repeat("x=,", 12_000)+"c=katalog */")
	floodOn(ctx, conn, func(dst []byte) []byte { return append(dst, message...) }, true)
}

func halfStartup(ctx context.Context, _ *Target, _ *rand.Rand, conn net.Conn) {
	writePieces(ctx, conn, startupOf(196608, 9_000)[:8_000], 100, 10*time.Millisecond)
	readToEnd(conn)
}

// pipelines sends requests ahead without end and reads the answers.
func pipelines(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn) {
	conn.Write(pg.AppendStartup(nil, "client", "core"))
	floodOn(ctx, conn, func(dst []byte) []byte { return newSessions(t, rng, dst) }, true)
}

// expiredCrowd sends requests that have no time left, ahead without end.
func expiredCrowd(ctx context.Context, t *Target, rng *rand.Rand, conn net.Conn) {
	conn.Write(pg.AppendStartup(nil, "client", "core"))
	floodOn(ctx, conn, func(dst []byte) []byte { return expiredRequests(t, rng, dst) }, true)
}
