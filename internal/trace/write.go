package trace

import (
	"crypto/rand"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Config says what is kept.
type Config struct {
	File     string
	Sample   float64 // part of the sessions; 1
	MaxBytes int64   // bytes of the file; 64 MiB
	Salt     Salt    // nil = a new one that nobody ever sees
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	if c.Sample == 0 {
		c.Sample = 1
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = 64 << 20
	}
	if len(c.Salt) == 0 {
		c.Salt = make([]byte, 32)
		rand.Read(c.Salt) // never fails (Go 1.24)
	}
	return c
}

// What may wait for the disk, in blocks and bytes. More is dropped and counted: who takes requests never waits.
const (
	maxWaitingBlocks = 512
	maxWaitingBytes  = 256 << 10
)

// flushAfter is how much of a trace is lost at most where its program is killed, beside what the disk still owes.
const flushInterval = time.Second

// Writer writes a trace beside its caller. Its methods come from one goroutine, the one that takes requests.
type Writer struct {
	cfg          Config
	startedAt    time.Duration
	enc          encoder
	hasher       *hasher
	blocks       chan []byte
	done         sync.WaitGroup
	out          io.WriteCloser
	bytesLeft    int64
	full         bool
	bytesWaiting atomic.Int64 // bytes that wait for the disk

	Recorded       uint64 // records
	Dropped        uint64 // those of blocks that the disk was too slow for, or that came when the file was full
	recordsInBlock uint64
	blockStart     time.Duration // when the first record of the block in hand came
	failed         atomic.Pointer[error]
}

// Create begins a file in the place of a former one of that name, which may still be written to. now is Unix time.
func Create(cfg Config, classes []string, now time.Duration) (*Writer, error) {
	if info, err := os.Stat(cfg.File); err == nil && info.Mode().IsRegular() {
		if err := os.Remove(cfg.File); err != nil {
			return nil, err
		}
	}
	f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return NewWriter(cfg, f, classes, now), nil
}

// NewWriter writes to what is given, and closes it in the end.
func NewWriter(cfg Config, out io.WriteCloser, classes []string, now time.Duration) *Writer {
	cfg = cfg.WithDefaults()
	w := &Writer{cfg: cfg, startedAt: now, blocks: make(chan []byte, maxWaitingBlocks), out: out, bytesLeft: cfg.MaxBytes, hasher: cfg.Salt.hasher()}
	w.done.Go(w.run)
	h := Header{StartedAt: now, Sample: cfg.Sample, Classes: classes, SaltID: cfg.Salt.id()}
	w.push(h.append(nil))
	return w
}

func (w *Writer) run() {
	for b := range w.blocks {
		w.bytesWaiting.Add(-int64(len(b)))
		if w.failed.Load() != nil {
			continue
		}
		if _, err := w.out.Write(b); err != nil {
			w.failed.Store(&err)
		}
	}
	if err := w.out.Close(); err != nil {
		w.failed.CompareAndSwap(nil, &err)
	}
}

// Err is the first error of writing, if any; nothing is written behind it.
func (w *Writer) Err() error {
	if p := w.failed.Load(); p != nil {
		return *p
	}
	return nil
}

// Sample is the part of the sessions that is kept.
func (w *Writer) Sample() float64 { return w.cfg.Sample }

// MaxBytes is how many bytes the file may hold.
func (w *Writer) MaxBytes() int64 { return w.cfg.MaxBytes }

// Full tells that the file has reached its size.
func (w *Writer) Full() bool { return w.full }

// Add keeps a request, if its session is in the sample. r.At is Unix time and r.Session the session itself; what is kept is
// the time since the trace's beginning, and a hash.
func (w *Writer) Add(r Record) {
	hash := w.hasher.hash(r.Session)
	if w.cfg.Sample < 1 && float64(hash>>11)/(1<<53) >= w.cfg.Sample {
		return
	}
	if w.full {
		w.Dropped++
		return
	}
	r.At -= w.startedAt
	r.Session = hash
	w.enc.add(&r)
	if w.recordsInBlock == 0 {
		w.blockStart = r.At
	}
	if w.recordsInBlock++; len(w.enc.payload) >= blockSize || r.At-w.blockStart >= flushInterval {
		w.flush(false)
	}
}

// flush hands the block in hand on; wait tells to wait for the disk.
func (w *Writer) flush(wait bool) {
	b, n := w.enc.takeBlock(), w.recordsInBlock
	w.recordsInBlock = 0
	if b == nil {
		return
	}
	if wait {
		for len(w.blocks) == cap(w.blocks) || w.bytesWaiting.Load()+int64(len(b)) > maxWaitingBytes {
			time.Sleep(time.Millisecond)
		}
	}
	if !w.full && w.push(b) {
		w.Recorded += n
	} else {
		w.Dropped += n
	}
}

// push hands a block on if the file has room for it and the disk keeps up.
func (w *Writer) push(b []byte) bool {
	if int64(len(b)) > w.bytesLeft {
		w.full = true
		return false
	}
	if w.bytesWaiting.Load()+int64(len(b)) > maxWaitingBytes {
		return false
	}
	w.bytesWaiting.Add(int64(len(b)))
	select {
	case w.blocks <- b:
		w.bytesLeft -= int64(len(b))
		return true
	default:
		w.bytesWaiting.Add(-int64(len(b)))
		return false
	}
}

// Close writes what is left and waits for the disk.
func (w *Writer) Close() error {
	w.flush(true)
	close(w.blocks)
	w.done.Wait()
	return w.Err()
}
