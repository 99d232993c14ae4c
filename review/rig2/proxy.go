package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// proxy is a real proxy, started by the command of the deploy file.
type proxy struct {
	name   string
	listen string
	admin  string
	peer   string
	config map[string]any
	path   string // of its configuration
	dir    string
	env    []string
	record *recorder
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

// runCommand returns the command with which the deploy file starts one proxy.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no run")
}

// freePort returns a port of 127.0.0.1 that nothing listened on a moment ago.
func freePort(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newProxy prepares a proxy; settings are those of a site.
func newProxy(name, dir string, d *discovery, settings map[string]any, record *recorder) (*proxy, error) {
	p := &proxy{name: name, dir: dir, record: record}
	var err error
	if p.listen, err = freePort("tcp"); err != nil {
		return nil, err
	}
	if p.admin, err = freePort("tcp"); err != nil {
		return nil, err
	}
	known, _ := d.snapshot()
	p.config = map[string]any{"name": name, "listen": p.listen, "discovery": d.address, "seed": "8c1f30d27a5be964", "admin": p.admin,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	p.path = filepath.Join(dir, name+".json")
	return p, p.writeConfig()
}

func (p *proxy) writeConfig() error {
	text, err := json.MarshalIndent(p.config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.path, text, 0o644)
}

// start starts the process and waits until it answers an empty query.
func (p *proxy) start(root string) error {
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	tmp := filepath.Join(p.dir, p.name+".tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	p.cmd.Env = append(os.Environ(), "EDGE_NAME="+p.name, "EDGE_LISTEN="+p.listen, "EDGE_CONFIG="+p.path, "EDGE_ADMIN="+p.admin, "TMPDIR="+tmp)
	p.cmd.Env = append(p.cmd.Env, p.env...)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	if err := p.notePID(); err != nil {
		p.cmd.Process.Kill()
		return err
	}
	p.done = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		p.record.logf("proxy %s ended: %v", p.name, p.cmd.ProcessState)
		close(p.done)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := dialClient(p.listen)
		if err != nil {
			continue
		}
		a, err := c.ask("")
		c.conn.Close()
		if err == nil && a.empty {
			p.record.logf("proxy %s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("proxy %s is not ready within 10 s", p.name)
}

// notePID adds the process to the file that RIG_PIDS names, so that run.sh can end it if this program dies.
func (p *proxy) notePID() error {
	path := os.Getenv("RIG_PIDS")
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = fmt.Fprintln(file, p.cmd.Process.Pid)
	return err
}

func (p *proxy) signal(s syscall.Signal) {
	p.record.logf("%v to proxy %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (p *proxy) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process if it runs.
func (p *proxy) kill() {
	if p.cmd != nil && p.cmd.Process != nil && !p.ended() {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// call makes a call of the second address and returns the status line.
func (p *proxy) call(method, path string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path)
	status, err := bufio.NewReader(conn).ReadString('\n')
	p.record.logf("%s %s: %s", method, path, strings.TrimSpace(status))
	return strings.TrimSpace(status), err
}
