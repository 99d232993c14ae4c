package run

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/endpoints"
	"havenproxy/internal/operator"
	"havenproxy/internal/wire/settings"
)

// startWithAllListeners starts a proxy with all of its listeners, each on a port chosen by the system.
func startWithAllListeners(t *testing.T) (*proxy, settings.Config) {
	t.Helper()
	cfg, err := settings.ParseConfig(fmt.Appendf(nil, config, 1024, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Admin, cfg.PeerListen, cfg.PeersAll = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	cfg.Settings.Config.MaxPeerReports = 1
	p, err := start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.listenMySQL(&operator.MySQL{Listen: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	t.Cleanup(func() {
		p.peers.Close()
		keyReady := make(chan bool)
		for ready, end := false, time.Now().Add(patience); !ready && time.Now().Before(end); time.Sleep(time.Millisecond) {
			p.loop.Post(func() { keyReady <- p.mysql.Key != nil }) // it is generated beside the loop
			ready = <-keyReady
		}
		p.loop.Post(p.admin.Close)
		p.loop.Post(p.server.Drain)
		p.loop.Post(p.loop.Stop)
		<-ended
	})
	return p, cfg
}

// The parent process and the log must receive the bound ports, not the configured ones.
func TestBoundAddressesAreReported(t *testing.T) {
	p, cfg := startWithAllListeners(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	descriptor, err := syscall.Dup(int(w.Fd())) // closed by Report
	w.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(endpoints.Variable, fmt.Sprint(descriptor))
	log := make(lines, 999)
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewJSONHandler(log, nil)))
	if err := p.reportStart(cfg, ""); err != nil {
		t.Fatal(err)
	}
	got, err := endpoints.Read(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range []string{got.PostgreSQL, got.MySQL, got.Admin} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Errorf("nothing listens on %q: %v", address, err)
			continue
		}
		conn.Close()
	}
	if got.Peers != p.peers.Address() {
		t.Errorf("peers: %q, want %q", got.Peers, p.peers.Address())
	}
	var line struct{ Listen, MySQL, Admin, Peers string }
	if err := json.Unmarshal([]byte(log.until(t, `"msg":"started"`)), &line); err != nil {
		t.Fatal(err)
	}
	if logged := (endpoints.Endpoints{PostgreSQL: line.Listen, MySQL: line.MySQL, Admin: line.Admin, Peers: line.Peers}); logged != got {
		t.Errorf("logged %+v, reported %+v", logged, got)
	}
}

// With an inherited socket for PostgreSQL clients, the MySQL listener is the first one that this process opens.
func TestMySQLAddressWithInheritedSocket(t *testing.T) {
	t.Setenv("EDGE_ACCEPT_FD", "9")
	p, cfg := startWithAllListeners(t)
	addresses := p.endpoints(cfg)
	if addresses.PostgreSQL != cfg.Listen {
		t.Errorf("PostgreSQL: %q, want the configured %q", addresses.PostgreSQL, cfg.Listen)
	}
	conn, err := net.Dial("tcp", addresses.MySQL)
	if err != nil {
		t.Fatalf("nothing listens on %q: %v", addresses.MySQL, err)
	}
	conn.Close()
}
