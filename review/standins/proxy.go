package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// proxy is a process of the program under review, started as the platform starts it.
type proxy struct {
	command *exec.Cmd
	address string
	log     *os.File
	ended   chan struct{}
	state   *os.ProcessState
}

// runCommand returns the command with which the deploy file starts one proxy.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run command")
}

// freeAddress returns an address on loopback at which nothing listens.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// settingsOf returns the settings of a small deployment, those of the example configuration.
func settingsOf(root string) (map[string]any, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "example.json"))
	if err != nil {
		return nil, err
	}
	var document struct {
		Settings map[string]any `json:"settings"`
	}
	err = json.Unmarshal(text, &document)
	return document.Settings, err
}

// startProxy starts a proxy with its log and its files in folder. operatorFile may be empty.
func startProxy(root, folder, discoveryAddress, operatorFile string, known list) (*proxy, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	settings, err := settingsOf(root)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": address, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
	if err != nil {
		return nil, err
	}
	configFile := filepath.Join(folder, "config.json")
	if err := os.WriteFile(configFile, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "proxy.log"))
	if err != nil {
		return nil, err
	}
	temporary := filepath.Join(folder, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	p := &proxy{command: exec.Command("/bin/sh", "-c", command), address: address, log: log, ended: make(chan struct{})}
	p.command.Dir, p.command.Stdout, p.command.Stderr = root, log, log
	p.command.Env = append(os.Environ(), "EDGE_NAME=n0", "EDGE_LISTEN="+address, "EDGE_DISCOVERY="+discoveryAddress, "EDGE_CONFIG="+configFile, "TMPDIR="+temporary)
	if operatorFile != "" {
		p.command.Env = append(p.command.Env, "HAVEN_OPERATOR="+operatorFile)
	}
	if err := startOnOneCore(p.command); err != nil {
		return nil, err
	}
	p.endOnSignal()
	go func() {
		p.command.Wait()
		p.state = p.command.ProcessState
		close(p.ended)
	}()
	return p, nil
}

// endOnSignal ends the process, and this one, if this one is told to end: nothing that a case has started stays behind.
func (p *proxy) endOnSignal() {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-caught
		p.command.Process.Kill()
		os.Exit(exitNotRun)
	}()
}

// cpuSet is a set of CPUs as the kernel takes it.
type cpuSet [16]uint64

func affinity(call uintptr, set *cpuSet) error {
	if _, _, errno := syscall.RawSyscall(call, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set))); errno != 0 {
		return errno
	}
	return nil
}

// startOnOneCore starts a command on one CPU, as the platform does: "The processes run on one core". Its own threads keep all CPUs.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread() // a child inherits the CPUs of the thread that starts it
	defer runtime.UnlockOSThread()
	var all, one cpuSet
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	for i, word := range all {
		if word != 0 {
			one[i] = word & -word
			break
		}
	}
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	defer affinity(syscall.SYS_SCHED_SETAFFINITY, &all)
	return command.Start()
}

// awaitReady waits until the proxy answers an empty query, as the front does.
func (p *proxy) awaitReady() error {
	if !p.answersWithin(30 * time.Second) {
		return fmt.Errorf("the proxy is not ready after 30 s, or has ended")
	}
	return nil
}

// answersWithin reports whether the proxy answers an empty query on a new connection within a time; it is asked again and again.
func (p *proxy) answersWithin(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit && !p.hasEnded(); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		conn.Write(append(startupMessage(), queryMessage("")...))
		r := bufio.NewReader(conn)
		for {
			m, err := readMessage(r)
			if err != nil || m.kind == 'E' {
				break
			}
			if m.kind == 'I' {
				conn.Close()
				return true
			}
		}
		conn.Close()
	}
	return false
}

// hasEnded reports whether the process has ended.
func (p *proxy) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop ends the process: with SIGTERM, and with SIGKILL if it is still there after 5 s.
func (p *proxy) stop() {
	if p.hasEnded() {
		return
	}
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
		p.command.Process.Kill()
		<-p.ended
	}
	p.log.Close()
}
