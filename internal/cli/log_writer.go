package cli

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLog is the number of bytes of log lines that wait for their reader; further lines are dropped and counted.
	maxQueuedLog = 256 << 10
	// logFlushTimeout is how long the end of the process waits until the reader has taken the last lines.
	logFlushTimeout = 500 * time.Millisecond
)

// logWriter writes log lines in a goroutine of its own. Whoever logs never waits for the log's reader: one that stops reading its pipe would
// otherwise stop the proxy.
type logWriter struct {
	out  io.Writer
	wake chan struct{} // holds a value when there is something to write, or the writer is closed
	done chan struct{} // closed when the goroutine has ended

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	dropped int
	closed  bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a line, or drops it where too many wait. After close it writes directly.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return w.out.Write(line)
	case w.bytes+len(line) > maxQueuedLog:
		w.dropped++
	default:
		w.lines = append(w.lines, append([]byte(nil), line...))
		w.bytes += len(line)
		w.signal()
	}
	return len(line), nil
}

func (w *logWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued, until the writer is closed.
func (w *logWriter) run() {
	defer close(w.done)
	for range w.wake {
		for {
			lines, dropped, closed := w.take()
			for _, line := range lines {
				w.out.Write(line)
				w.written(len(line))
			}
			if dropped > 0 {
				fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped: their reader is too slow\" lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
			}
			if closed {
				return
			}
			if len(lines) == 0 {
				break
			}
		}
	}
}

// take returns the lines that wait, and how many have been dropped behind them.
func (w *logWriter) take() (lines [][]byte, dropped int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.lines = w.lines, nil
	dropped, w.dropped = w.dropped, 0
	return lines, dropped, w.closed
}

func (w *logWriter) written(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= n
}

// close writes what is queued, unless the reader takes too long for it.
func (w *logWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}
