package launch

import (
	"bufio"
	"bytes"
	"strings"
	"sync"
)

// Lines keeps what programs log, several of them at once. Its zero value is empty.
type Lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *Lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// All gives the lines so far.
func (l *Lines) All() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := bufio.NewScanner(bytes.NewReader(l.buf.Bytes())); s.Scan(); {
		out = append(out, s.Text())
	}
	return out
}

// Count tells how often a text is in them, Has whether it is.
func (l *Lines) Count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// Has tells whether a text is in them.
func (l *Lines) Has(text string) bool { return l.Count(text) > 0 }
