package tier

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"havenproxy/internal/wire/tier"
)

// Trouble is what a relay does to a link. The zero value passes all.
type Trouble struct {
	Cut     bool          // nothing comes up, and what is up says nothing any more, either way
	Deaf    bool          // nothing passes from the one that dialled to the one that listens
	Mute    bool          // nor the other way
	Delay   time.Duration // of each frame
	Loss    float64       // part of the frames that don't arrive; with Double and Reorder for links that carry frames alone
	Double  float64       // part that arrive twice
	Reorder float64       // part that arrive behind the next one
	Reset   bool          // connections are reset, once
}

// target is the address that relays lead to. A process has another one after each start; while it has none, relays close what they accept.
type target struct {
	mu      sync.Mutex
	address string
}

func fixedTarget(address string) *target { return &target{address: address} }

func (t *target) get() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

func (t *target) set(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
}

// relay stands on a link between processes and passes what comes, or doesn't. Between processes of the tier it works on whole frames: to lose
// a part of one would be to break the connection, which Reset does. On other links, to databases, the list and clients, it passes bytes.
type relay struct {
	listener net.Listener
	to       *target
	raw      bool

	mu      sync.Mutex
	trouble Trouble
	rng     *rand.Rand
	conns   map[net.Conn]bool
}

func newRelay(to *target, seed uint64, raw bool) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: ln, to: to, raw: raw, rng: rand.New(rand.NewPCG(seed, 0x2e1a)), conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set lets a trouble begin, or end.
func (r *relay) set(t Trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trouble = t; !t.Reset {
		return
	}
	r.trouble.Reset = false
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) now() Trouble {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trouble
}

func (r *relay) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// closed tells that a connection has been reset meanwhile.
func (r *relay) closed(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.conns[c]
}

func (r *relay) close() {
	r.listener.Close()
	r.set(Trouble{Reset: true})
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		go func() {
			r.keep(in)
			defer r.drop(in)
			for r.now().Cut { // it is up as far as the kernel goes, and says nothing
				time.Sleep(20 * time.Millisecond)
			}
			to := r.to.get()
			if to == "" {
				return
			}
			out, err := net.DialTimeout("tcp", to, time.Second)
			if err != nil {
				return
			}
			r.keep(out)
			defer r.drop(out)
			ended := make(chan bool, 2)
			go func() { r.pass(in, out, func(t Trouble) bool { return t.Cut || t.Deaf }); ended <- true }()
			go func() { r.pass(out, in, func(t Trouble) bool { return t.Cut || t.Mute }); ended <- true }()
			<-ended
		}()
	}
}

// pass carries frames one way.
func (r *relay) pass(from, to net.Conn, stopped func(Trouble) bool) {
	var buf []byte
	var held []byte // one that is to arrive behind the next
	chunk := make([]byte, 64<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if r.raw {
			for stopped(r.now()) && !r.closed(from) { // TCP would send it again until the way is free
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(r.now().Delay)
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
			continue
		}
		buf = append(buf, chunk[:n]...)
		for {
			size, err := tier.FrameSize(buf)
			if err != nil {
				return
			}
			if size == 0 || len(buf) < size {
				break
			}
			frame := append([]byte(nil), buf[:size]...)
			buf = append(buf[:0], buf[size:]...)
			t := r.now()
			if stopped(t) || r.chance(t.Loss) {
				continue
			}
			if t.Delay > 0 {
				time.Sleep(t.Delay)
			}
			if held == nil && r.chance(t.Reorder) {
				held = frame
				continue
			}
			out := frame
			if r.chance(t.Double) {
				out = append(append([]byte(nil), frame...), frame...)
			}
			if held != nil {
				out, held = append(out, held...), nil
			}
			if _, err := to.Write(out); err != nil {
				return
			}
		}
	}
}
