package cli

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestLogReaderDoesNotStopTheProxy guards against a log reader that stops reading its pipe: whoever logged waited for it, the event loop too.
func TestLogReaderDoesNotStopTheProxy(t *testing.T) {
	reader, writer := io.Pipe() // takes nothing that is not read
	w := newLogWriter(writer)
	logged := make(chan struct{})
	go func() {
		for i := range 10_000 {
			slog.New(slog.NewTextHandler(w, nil)).Info("line", "number", i, "padding", strings.Repeat("x", 100))
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	if w.bytes > maxQueuedLog {
		t.Errorf("%d bytes are queued", w.bytes)
	}
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(reader)
		read <- string(text)
	}()
	w.close()
	writer.Close()
	text := <-read
	if !strings.Contains(text, "number=0 ") || strings.Contains(text, "number=9999 ") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("the first lines, and that others were dropped, are to be written:\n%.200s", text)
	}
}

// TestLogLinesAreWrittenInOrder guards against lines that are lost at the end of the process, or change places.
func TestLogLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := newLogWriter(&out)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(w, "%d\n", i)
		fmt.Fprintf(&want, "%d\n", i)
	}
	w.close()
	fmt.Fprint(w, "behind\n")
	if out.String() != want.String()+"behind\n" {
		t.Errorf("%d bytes were written, want %d", out.Len(), want.Len()+7)
	}
}
