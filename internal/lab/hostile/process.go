package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"havenproxy/internal/lab/fleet"
)

// Hostile clients run in a process of their own, on CPUs of their own, so that they do not delay the well-behaved clients and the databases,
// whose delays would be taken for the proxy's.

const (
	// orderVariable holds what a process of hostile clients does; it makes any program that calls RunIfOrdered such a process.
	orderVariable = "HOSTILE_CLIENTS"
	// peerDescriptor is where such a process finds the socket of a listed peer.
	peerDescriptor = 3
	// attackerCPUs is the number of CPUs on which hostile clients run.
	attackerCPUs = 3
)

// order tells a process of hostile clients what to do.
type order struct {
	Kinds                         []Kind
	Postgres, MySQL, Admin, Peers string
	Model                         fleet.Config
	Seed                          uint64
	For                           time.Duration
}

// RunIfOrdered runs hostile clients and ends the process, if it was started for that; otherwise it returns at once.
func RunIfOrdered() {
	text := os.Getenv(orderVariable)
	if text == "" {
		return
	}
	if err := carryOut(text); err != nil {
		fmt.Fprintln(os.Stderr, "hostile clients:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func carryOut(text string) error {
	var o order
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		return err
	}
	target := &Target{Postgres: o.Postgres, MySQL: o.MySQL, Admin: o.Admin, Peers: o.Peers, Model: o.Model}
	file := os.NewFile(peerDescriptor, "peer")
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return err
	}
	target.Peer = conn.(*net.UDPConn)
	ctx, stop := context.WithTimeout(context.Background(), o.For)
	defer stop()
	var all sync.WaitGroup
	for i, kind := range o.Kinds {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)+100))
		all.Go(func() { kinds[kind](ctx, target, rng) })
	}
	all.Wait()
	return nil
}

// Attack starts a process of hostile clients of these kinds. The function that it returns ends it.
func Attack(t *Target, names []Kind, cpus *Division, seed uint64, length time.Duration) (end func(), err error) {
	if len(names) == 0 {
		return func() {}, nil
	}
	text, err := json.Marshal(order{Kinds: names, Postgres: t.Postgres, MySQL: t.MySQL, Admin: t.Admin, Peers: t.Peers, Model: t.Model, Seed: seed, For: length})
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	peer, err := t.Peer.File()
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), orderVariable+"="+string(text), fmt.Sprintf("GOMAXPROCS=%d", attackerCPUs))
	cmd.ExtraFiles = []*os.File{peer}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	setAllThreads(cmd.Process.Pid, &cpus.attackers)
	return func() {
		cmd.Process.Kill()
		cmd.Wait()
	}, nil
}
