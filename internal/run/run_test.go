package run

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
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

// A database that answers its first query when it is told to.
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

// After the signal the proxy goes on taking clients for a while, answers all that it has taken, closes idle
// clients, and ends by itself.
func TestStopAnswersWhatIsTaken(t *testing.T) {
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
	close(answer) // the idle ones are closed, this one still waits
	if got, err := io.ReadAll(busy); err != nil || !bytes.Contains(got, []byte("\x00\x00\x00\x01vC")) {
		t.Errorf("the busy client got %q, error %v", got, err)
	}
	<-ended
	if p.front.Pending() != 0 || p.front.Counters.Served != 1 {
		t.Errorf("%d requests pending, %d served", p.front.Pending(), p.front.Counters.Served)
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
		if err := Main(); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, want)
		}
	}
	if _, err := startAt(t, "127.0.0.1:1", 10); err == nil || !strings.Contains(err.Error(), "limits.sockets") {
		t.Errorf("ten descriptors: %v", err)
	}
}
