package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	longList       = 3200                  // databases in the list: the most that the pages name
	coreShare      = 0.3                   // of a core, which the platform gives the proxy
	sharePeriod    = 10 * time.Millisecond // of the platform's scheduler
	configurations = 16                    // in quick succession
	betweenThem    = 50 * time.Millisecond
	killAfter      = 3700 * time.Millisecond // SIGKILL behind SIGTERM: the longest deadline, 3 s, and 0.7 s
	lateRequest    = 700 * time.Millisecond  // a request that came so long behind SIGTERM, or longer, and is unanswered at SIGKILL is lost
	restartClients = 12
)

// restartAmidReloads gives a proxy with a long list several new configurations in quick succession, and ends it with a planned restart right
// behind the last. Without the disruption there is one configuration.
func restartAmidReloads(env *environment) (bool, error) {
	var databases []*database
	for i := range 4 {
		db, err := startDatabase(env.record, fmt.Sprintf("s-%08x", i+1), i == 0, 45*time.Millisecond, 16)
		if err != nil {
			return false, err
		}
		defer db.close()
		databases = append(databases, db)
	}
	disco, err := startDiscovery(databases)
	if err != nil {
		return false, err
	}
	defer disco.server.Close()
	for i := range longList - len(databases) { // nobody asks for their groups
		disco.list.Instances = append(disco.list.Instances, instance{ID: fmt.Sprintf("x-%08x", i), Address: databases[i%len(databases)].address,
			Zone: "merkez-ofis", Machine: "standart-3c", Group: 1 + i/4, Lifecycle: "in_service", Weight: 1})
	}
	known, _ := disco.snapshot()
	p, err := startProxy(env.root, env.folder, disco.address, "", known)
	if err != nil {
		return false, err
	}
	defer p.stop()
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	endShare := p.giveShare(coreShare)
	defer endShare()
	time.Sleep(time.Second)
	load := startRestartLoad(env, p)
	time.Sleep(time.Second)
	count := configurations
	if !env.trouble {
		count = 1
	}
	for i := range count {
		if i > 0 {
			time.Sleep(betweenThem)
		}
		if err := p.command.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		env.record.note("new configuration %d, SIGHUP", i+1)
	}
	time.Sleep(5 * time.Millisecond)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	terminated := time.Now()
	env.record.note("SIGTERM")
	killed := time.Time{}
	select {
	case <-p.ended:
		env.record.say("the proxy ended %v behind SIGTERM", time.Since(terminated).Round(10*time.Millisecond))
	case <-time.After(killAfter):
		killed = time.Now()
		p.command.Process.Kill()
		<-p.ended
		env.record.say("the proxy still ran %v behind SIGTERM and was killed", killAfter)
	}
	requests := load.end()
	answered, lost, late := 0, 0, 0
	for _, r := range requests {
		switch {
		case r.answered:
			answered++
			if r.sentAt.After(terminated.Add(lateRequest)) {
				late++
			}
		case !killed.IsZero() && r.sentAt.Before(killed) && r.sentAt.Sub(terminated) > lateRequest:
			lost++
			env.record.note("id %s, sent %v behind SIGTERM, was unanswered at SIGKILL", r.id, r.sentAt.Sub(terminated).Round(time.Millisecond))
		}
	}
	env.record.say("%d requests answered, %d of them sent over %v behind SIGTERM; %d lost", answered, late, lateRequest, lost)
	if answered == 0 {
		return false, fmt.Errorf("nothing was answered")
	}
	return lost > 0, nil
}

// giveShare lets the process run for a part of each period only, as the platform does. The function that it returns ends that.
func (p *proxy) giveShare(share float64) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			p.command.Process.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-p.ended:
				return
			case <-time.After(time.Duration(share * float64(sharePeriod))):
			}
			p.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration((1 - share) * float64(sharePeriod)))
		}
	}()
	return func() {
		select {
		case <-done:
		default:
			close(stop)
			<-done
		}
	}
}

// sentRequest is a request whose last byte a client has written.
type sentRequest struct {
	id       string
	sentAt   time.Time
	answered bool
}

// restartLoad is a set of clients that go on until the proxy has ended.
type restartLoad struct {
	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	requests []sentRequest
}

func startRestartLoad(env *environment, p *proxy) *restartLoad {
	l := &restartLoad{stop: make(chan struct{})}
	for i := range restartClients {
		l.done.Go(func() { l.client(env, p, i) })
	}
	return l
}

func (l *restartLoad) end() []sentRequest {
	close(l.stop)
	l.done.Wait()
	return l.requests
}

// client asks on one connection, and on a new one where the proxy has closed it. A request under which the connection ends is sent once more,
// as its close may have crossed it.
func (l *restartLoad) client(env *environment, p *proxy, number int) {
	var c *resting
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%012x", number+1, n+1)
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '7f3a9c21e0b4d%03x' /* id=%s,c=stok-bakis,d=%d,cluster=0 */", number, id, crowdWait.Milliseconds())
		for range 2 {
			if c == nil {
				conn, err := net.DialTimeout("tcp", p.address, time.Second)
				if err != nil {
					break // the proxy takes no clients any more
				}
				conn.Write(startupMessage())
				c = &resting{conn, bufio.NewReader(conn)}
				conn.SetReadDeadline(time.Now().Add(3 * time.Second))
				if !awaitWelcome(c.r) {
					conn.Close()
					c = nil
					break
				}
			}
			c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			if _, err := c.conn.Write(queryMessage(text)); err != nil {
				c.conn.Close()
				c = nil
				continue
			}
			request := sentRequest{id: id, sentAt: time.Now()}
			kind, err := readAnswer(c.r, id)
			request.answered = err == nil
			env.record.noteAt(request.sentAt, "client %d sends id %s: %s %v after %v", number, id, kind, err, time.Since(request.sentAt).Round(time.Millisecond))
			l.mu.Lock()
			l.requests = append(l.requests, request)
			l.mu.Unlock()
			if err == nil {
				break
			}
			c.conn.Close()
			c = nil
		}
	}
}
