package run

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
	"havenproxy/internal/wire/settings"
)

const config = `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
 "limits": {"memory_mb": 192, "sockets": %d},
 "known": {"generation": 1, "reset": true, "instances": [{"instanceId": "m", "hostPort": "%s", "lifecycle": "in_service"}]},
 "settings": {"tick": 1000, "fleet_size": 1, "domain": {"freshness": ["any"]},
  "request_classes": [{"name": "any", "aim": 10000000, "hard_limit": 20000000, "effect": "free"}]}}`

func startAt(t *testing.T, database string, sockets int) (*proxy, error) {
	cfg, err := settings.ParseConfig(fmt.Appendf(nil, config, sockets, database))
	if err != nil {
		t.Fatal(err)
	}
	return start(cfg)
}

// slowDatabase starts a database that answers its first query once answer is closed. It closes asked when the query has arrived.
func slowDatabase(t *testing.T, asked, answer chan struct{}) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		conn.Write(pg.AppendWelcome(nil))
		in := make([]byte, 4096)
		for got := []byte(nil); !bytes.Contains(got, []byte("SELECT val")); {
			n, err := conn.Read(in)
			if err != nil {
				return
			}
			got = append(got, in[:n]...)
		}
		close(asked)
		<-answer
		conn.Write(pg.AppendReady([]byte("D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01vC\x00\x00\x00\x0dSELECT 1\x00")))
		io.Copy(io.Discard, conn)
	}()
	return ln.Addr().String()
}

// After the signal the proxy must accept clients for a while, answer every request that it has accepted, close idle clients, and exit by
// itself.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	p, err := startAt(t, slowDatabase(t, asked, answer), 1024)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		return conn
	}
	ready := pg.AppendEmpty(nil)
	hello := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	idle, busy := open(), open()
	idle.Write(hello)
	busy.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"),
		"SELECT val FROM state WHERE uid = 'a' /* id=1,c=any,d=15000,cluster=0 */"))
	<-asked
	p.loop.Post(p.stop)
	late := open()
	late.Write(hello)
	want := append(pg.AppendWelcome(nil), ready...)
	for name, conn := range map[string]net.Conn{"idle": idle, "late": late} {
		if got, err := io.ReadAll(conn); err != nil || !bytes.Equal(got, want) {
			t.Errorf("the %s client got %q, error %v", name, got, err)
		}
	}
	close(answer) // the idle clients have been closed, this one is still waiting
	if got, err := io.ReadAll(busy); err != nil || !bytes.Contains(got, []byte("\x00\x00\x00\x01vC")) {
		t.Errorf("the busy client got %q, error %v", got, err)
	}
	<-ended
	if p.engine.Pending() != 0 || p.engine.Counters.Served != 1 {
		t.Errorf("%d requests pending, %d served", p.engine.Pending(), p.engine.Counters.Served)
	}
}

func TestBadConfigurationIsOneLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for want, text := range map[string]string{"EDGE_CONFIG": "", "no such file": "missing", "not usable JSON": "{"} {
		path := file
		switch text {
		case "":
			path = ""
		case "missing":
			path += ".missing"
		default:
			os.WriteFile(file, []byte(text), 0o600)
		}
		t.Setenv("EDGE_CONFIG", path)
		if err := Main(Options{}); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, want)
		}
	}
	if _, err := startAt(t, "127.0.0.1:1", 10); err == nil || !strings.Contains(err.Error(), "limits.sockets") {
		t.Errorf("ten descriptors: %v", err)
	}
}

// discovery starts a discovery service without databases. It sends the URL of each call on calls.
func discovery(t *testing.T) (address string, calls chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan string, 99)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		if r.URL.Query().Has("after") { // a watch without changes, until the proxy cancels it
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"generation":7,"reset":true,"instances":[]}`)
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), calls
}

// lines receives log lines one by one.
type lines chan string

func (l lines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

func (l lines) until(t *testing.T, text string) string {
	for {
		select {
		case line := <-l:
			if strings.Contains(line, text) {
				return line
			}
		case <-time.After(20 * time.Second): // only ends a test that hangs
			t.Fatalf("no line with %q", text)
		}
	}
}

// SIGHUP once ended the proxy. It must switch discovery to the address now in the file, at once and with the whole list, while open requests
// continue. An invalid file is reported in one line and changes nothing.
func TestReloadMovesDiscoveryAndKeepsRequests(t *testing.T) {
	log := make(lines, 999)
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	asked, answer := make(chan struct{}), make(chan struct{})
	text := strings.Replace(fmt.Sprintf(config, 1024, slowDatabase(t, asked, answer)), `"tick"`, `"discovery": "on_request", "tick"`, 1)
	before, firstCalls := discovery(t)
	after, calls := discovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(strings.Replace(text, "127.0.0.1:1", before, 1))
	t.Setenv("EDGE_CONFIG", path)
	ended := make(chan error)
	own := filepath.Join(t.TempDir(), "operator.star")
	os.WriteFile(own, []byte("levels()\n"), 0o600)
	go func() { ended <- Main(Options{Operator: own}) }()
	_, address, _ := strings.Cut(log.until(t, "msg=started"), "listen=")
	client, err := net.Dial("tcp", strings.Fields(address)[0])
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"),
		"SELECT val FROM state WHERE uid = 'a' /* id=1,c=any,d=15000,cluster=0 */"))
	<-asked
	<-firstCalls

	write("{")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if line := log.until(t, "can't reload"); strings.Count(line, "\n") != 1 {
		t.Errorf("an invalid file is logged as %q", line)
	}
	write(strings.Replace(text, "127.0.0.1:1", after, 1))
	os.WriteFile(own, []byte("levels(dwel = '5s')\nlevel('a', admit = {'anny': 0})\n"), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP) // an invalid operator's file: nothing of either file is applied
	if line := log.until(t, "can't reload"); strings.Count(line, "\n") != 1 || !strings.Contains(line, "dwell") || !strings.Contains(line, "anny") {
		t.Errorf("an invalid operator's file is logged as %q", line)
	}
	os.WriteFile(own, []byte("levels()\npin('normal')\nconsole()\n"), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.until(t, "msg=reloaded")
	for _, want := range []string{"/v1/endpoints", "/v1/endpoints?after=7&wait_ms=3000"} {
		if got := <-calls; got != want {
			t.Errorf("the new address got %s, want %s", got, want)
		}
	}
	close(answer)
	got := make([]byte, 4096)
	for all := []byte(nil); !bytes.Contains(all, []byte("\x00\x00\x00\x01vC")); {
		client.SetReadDeadline(time.Now().Add(20 * time.Second))
		n, err := client.Read(got)
		if err != nil {
			t.Fatalf("the client got %q, error %v", all, err)
		}
		all = append(all, got[:n]...)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
