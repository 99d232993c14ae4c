package tier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"havenproxy/internal/wire/pg"
)

// History gives what all clients have seen so far, and how many requests were refused or lost.
func (b *Bench) History() (seen []Seen, refused, lost int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.history), b.refused, b.lost
}

// Reasons tells how many requests were refused with which words.
func (b *Bench) Reasons() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.reasons)
}

// Ask lets clients ask all proxies until the context ends: one connection each, one request behind the other.
func (b *Bench) Ask(ctx context.Context, each int, pause time.Duration) (wait func()) {
	var all sync.WaitGroup
	for i, p := range b.Proxies {
		for k := range each {
			all.Add(1)
			go func() {
				defer all.Done()
				b.client(ctx, p, fmt.Sprintf("%d-%d", i, k), pause)
			}()
		}
	}
	return all.Wait
}

const askFor = 1500 * time.Millisecond

func (b *Bench) client(ctx context.Context, p *Process, name string, pause time.Duration) {
	var conn net.Conn
	var r *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", p.Front, time.Second); err != nil {
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err = conn.Write(pg.AppendStartup(nil, "client", "core")); err == nil {
				err = welcome(r)
			}
			if err != nil { // nobody is behind the relay, or it ends: nothing has been asked
				conn.Close()
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second)) // a proxy that stands still answers what waits in its socket once it wakes
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* id=%s-%d,c=stok-bakis,d=%d,cluster=0 */", n, name, n, askFor.Milliseconds())
		s := Seen{Proxy: p.Name, Taken: time.Since(b.began)}
		_, err := conn.Write(pg.AppendQuery(nil, text))
		told, code := false, ""
		if err == nil {
			s.Policy, told, code, err = answer(r)
		}
		s.Answered = time.Since(b.began)
		b.mu.Lock()
		switch {
		case err != nil:
			b.lost++
		case told:
			b.history = append(b.history, s)
		case code != "":
			b.refused++
			b.reasons[code]++
		}
		b.mu.Unlock()
		if err != nil {
			conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
	if conn != nil {
		conn.Close()
	}
}

// welcome reads up to the end of a proxy's greeting.
func welcome(r *bufio.Reader) error {
	for {
		head, err := r.Peek(5)
		if err != nil {
			return err
		}
		n := int(head[1])<<24 | int(head[2])<<16 | int(head[3])<<8 | int(head[4])
		if n < 4 || n > 1<<20 {
			return fmt.Errorf("a message of %d bytes", n)
		}
		kind := head[0]
		if _, err := r.Discard(n + 1); err != nil || kind == 'Z' {
			return err
		}
	}
}

// reason gives an error's code and text.
func reason(fields []byte) string {
	code, text := "", ""
	for _, f := range bytes.Split(fields, []byte{0}) {
		switch {
		case len(f) > 1 && f[0] == 'C':
			code = string(f[1:])
		case len(f) > 1 && f[0] == 'M':
			text = string(f[1:])
		}
	}
	return code + ": " + text
}

// answer reads up to the end of the next answer that holds one: the welcome ends with ReadyForQuery too, and has no row and no error.
func answer(r *bufio.Reader) (policy uint64, told bool, code string, err error) {
	var body []byte
	for some := false; ; {
		head, err := r.Peek(5)
		if err != nil {
			return 0, false, "", err
		}
		n := int(head[1])<<24 | int(head[2])<<16 | int(head[3])<<8 | int(head[4])
		if n < 4 || n > 1<<20 {
			return 0, false, "", fmt.Errorf("a message of %d bytes", n)
		}
		body = append(body[:0], make([]byte, n+1)...)
		if _, err := io.ReadFull(r, body); err != nil {
			return 0, false, "", err
		}
		switch body[0] {
		case 'S':
			if name, value, ok := bytes.Cut(body[5:], []byte{0}); ok && string(name) == "policy" {
				policy, _ = strconv.ParseUint(string(bytes.TrimRight(value, "\x00")), 10, 64)
				told = true
			}
		case 'D':
			some = true
		case 'E':
			some, code = true, reason(body[5:])
		case 'Z':
			if some {
				return policy, told, code, nil
			}
		}
	}
}

// errNotListening tells that a process has not reported its addresses yet, or has ended.
var errNotListening = errors.New("the process doesn't listen")

// once asks one thing on a connection of its own, through no relay.
func (b *Bench) once(p *Process) (policy uint64, told bool, code string, err error) {
	address := p.listens.get()
	if address == "" {
		return 0, false, "", errNotListening
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * askFor))
	text := fmt.Sprintf("SELECT val FROM state WHERE uid = '01' /* id=%x,c=stok-bakis,d=%d,cluster=0 */", time.Now().UnixNano(), askFor.Milliseconds())
	if _, err := conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), text)); err != nil {
		return 0, false, "", err
	}
	return answer(bufio.NewReader(conn))
}
