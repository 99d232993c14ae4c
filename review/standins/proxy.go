package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
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
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.command.Wait()
		p.state = p.command.ProcessState
		close(p.ended)
	}()
	return p, nil
}

// awaitReady waits until the proxy answers an empty query, as the front does.
func (p *proxy) awaitReady() error {
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("the proxy has ended: %v", p.state)
		default:
		}
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		conn.Write(append(startupMessage(), queryMessage("")...))
		r, answered := bufio.NewReader(conn), false
		for {
			m, err := readMessage(r)
			if err != nil || m.kind == 'I' || m.kind == 'E' {
				answered = err == nil && m.kind == 'I'
				break
			}
		}
		conn.Close()
		if answered {
			return nil
		}
	}
	return fmt.Errorf("the proxy is not ready after 30 s")
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
