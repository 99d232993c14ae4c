package trace

import (
	"crypto/rand"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Writer.
type Config struct {
	File     string
	Sample   float64 // fraction of the sessions that is recorded; default 1
	MaxBytes int64   // maximum size of the file; default 64 MiB
	Salt     Salt    // nil = a random one that is not stored
}

// WithDefaults returns c with defaults for the fields that are not set.
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

// Limits on the blocks and bytes that wait for the disk. Blocks beyond them are dropped and counted, as requests must
// never wait for the disk.
const (
	maxWaitingBlocks = 512
	maxWaitingBytes  = 256 << 10
)

// flushInterval is the most that is lost of a trace, in addition to the blocks that wait for the disk, if the process
// is killed.
const flushInterval = time.Second

// Writer writes a trace in the background. Its methods must be called from one goroutine.
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

	Recorded       uint64 // records written or waiting for the disk
	Dropped        uint64 // records dropped because the disk was too slow or the file was full
	recordsInBlock uint64
	blockStart     time.Duration // time of the first record of the current block
	failed         atomic.Pointer[error]
}

// Create starts a trace file. It replaces a file of that name, which another process may still be writing to. now is
// Unix time.
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

// NewWriter returns a writer to out, which Close closes. now is Unix time.
func NewWriter(cfg Config, out io.WriteCloser, classes []string, now time.Duration) *Writer {
	cfg = cfg.WithDefaults()
	w := &Writer{cfg: cfg, startedAt: now, blocks: make(chan []byte, maxWaitingBlocks), out: out, bytesLeft: cfg.MaxBytes, hasher: cfg.Salt.hasher()}
	w.done.Go(w.run)
	h := Header{StartedAt: now, Sample: cfg.Sample, Classes: classes, SaltID: cfg.Salt.id()}
	w.push(h.append(nil))
	return w
}

func (w *Writer) run() {
	for block := range w.blocks {
		w.bytesWaiting.Add(-int64(len(block)))
		if w.failed.Load() != nil {
			continue
		}
		if _, err := w.out.Write(block); err != nil {
			w.failed.Store(&err)
		}
	}
	if err := w.out.Close(); err != nil {
		w.failed.CompareAndSwap(nil, &err)
	}
}

// Err returns the first write error, if any; nothing is written after it.
func (w *Writer) Err() error {
	if p := w.failed.Load(); p != nil {
		return *p
	}
	return nil
}

// Sample returns the fraction of the sessions that is recorded.
func (w *Writer) Sample() float64 { return w.cfg.Sample }

// MaxBytes returns the maximum size of the file in bytes.
func (w *Writer) MaxBytes() int64 { return w.cfg.MaxBytes }

// Full reports whether the file has reached its maximum size.
func (w *Writer) Full() bool { return w.full }

// Add records a request if its session is in the sample. r.At is Unix time and r.Session the session itself; the
// record gets the time since the start of the trace and a hash.
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

// flush passes the current block to the background goroutine; with wait it waits for the disk to catch up.
func (w *Writer) flush(wait bool) {
	block, n := w.enc.takeBlock(), w.recordsInBlock
	w.recordsInBlock = 0
	if block == nil {
		return
	}
	if wait {
		for len(w.blocks) == cap(w.blocks) || w.bytesWaiting.Load()+int64(len(block)) > maxWaitingBytes {
			time.Sleep(time.Millisecond)
		}
	}
	if !w.full && w.push(block) {
		w.Recorded += n
	} else {
		w.Dropped += n
	}
}

// push passes a block to the background goroutine and reports whether the file has room for it and the disk keeps up.
func (w *Writer) push(block []byte) bool {
	if int64(len(block)) > w.bytesLeft {
		w.full = true
		return false
	}
	if w.bytesWaiting.Load()+int64(len(block)) > maxWaitingBytes {
		return false
	}
	w.bytesWaiting.Add(int64(len(block)))
	select {
	case w.blocks <- block:
		w.bytesLeft -= int64(len(block))
		return true
	default:
		w.bytesWaiting.Add(-int64(len(block)))
		return false
	}
}

// Close writes the remaining records, waits for the disk and returns the first write error.
func (w *Writer) Close() error {
	w.flush(true)
	close(w.blocks)
	w.done.Wait()
	return w.Err()
}
