package run

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestStopBehindReloadsIsNotLost guards against SIGTERM behind a series of SIGHUPs: with a long configuration being read, the signals filled one
// channel, SIGTERM was dropped, and the process went on until it was killed.
func TestStopBehindReloadsIsNotLost(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil { // reading it takes until somebody writes
		t.Fatal(err)
	}
	link := path + ".link"
	if err := os.Link(path, link); err != nil {
		t.Fatal(err)
	}
	p, ended := begin(t, fmt.Sprintf(config, 1024, "127.0.0.1:1"))
	received := notifySignals()
	p.handleSignals(received, path, "")
	for range 16 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond) // so that they arrive one by one; the result doesn't depend on it
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	for stopping := false; !stopping; {
		p.onLoop(func() { stopping = p.stopping })
	}
	p.advance(acceptGrace)
	<-ended
	received.close()
	os.Remove(path) // for reloads that have not begun
	for range 50 {  // the one that is under way
		if file, err := os.OpenFile(link, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			file.Close()
		}
		time.Sleep(time.Millisecond)
	}
}
