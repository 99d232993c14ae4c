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
	crowdSize     = 240                     // clients that connect; the proxy closes some of them again
	crowdRest     = 200 * time.Millisecond  // between the last connection and the first bytes of requests
	crowdWriting  = 1400 * time.Millisecond // in which a client writes its request; the pages name 2 s
	crowdPieces   = 28                      // of a request, so that there is one every 50 ms
	holdUp        = 120 * time.Millisecond  // for which the proxy does not run; the page names up to 0.15 s
	holdUpMost    = 150 * time.Millisecond  // a longer hold-up is none that the pages name: the case could not run
	newcomerAfter = 5 * time.Millisecond    // behind the beginning of the hold-up another client connects
	crowdAfter    = 15 * time.Millisecond   // behind it the first client of the crowd begins to write
	crowdWindow   = 90 * time.Millisecond   // between the first and the last of the crowd
	crowdWait     = 1200 * time.Millisecond
	crowdRounds   = 3
	roundDistance = 6 * time.Second
	aliveWait     = 15 * time.Second // for an answer to an empty query, behind a round
)

// heldUpCrowd plays a crowd of clients that connect, rest, and then write their first requests slowly. While they begin to, the proxy is held
// up for a tenth of a second, in which one more client connects.
func heldUpCrowd(env *environment) (bool, error) {
	var databases []*database
	for i := range 4 {
		db, err := startDatabase(env.record, fmt.Sprintf("s-%08x", i+1), i == 0, 25*time.Millisecond, 16)
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
	known, _ := disco.snapshot()
	p, err := startProxy(env.root, env.folder, disco.address, "", known)
	if err != nil {
		return false, err
	}
	defer p.stop()
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	total := tally{}
	for round := range crowdRounds {
		began := time.Now()
		got, err := crowdOnce(env, p, round)
		if err != nil {
			return false, err
		}
		total.add(got)
		if p.hasEnded() {
			env.record.say("the proxy has ended: %v", p.state)
			return true, nil
		}
		if answers := p.answersWithin(aliveWait); !answers {
			env.record.say("the proxy, which runs, has answered no empty query for %v, %v behind the hold-up", aliveWait, time.Since(began).Round(time.Second))
			break
		}
		time.Sleep(roundDistance - time.Since(began))
	}
	env.record.say("%d requests: %d served, %d refused, %d failed, %d lost", total.sent, total.served, total.refused, total.failed, total.lost)
	if total.served == 0 && total.lost == 0 {
		return false, fmt.Errorf("nothing was sent")
	}
	return total.lost > 0, nil
}

// resting is a connection of the crowd, on which nothing was asked yet.
type resting struct {
	conn net.Conn
	r    *bufio.Reader
}

func connectAndRest(address string) (*resting, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	conn.Write(startupMessage())
	c := &resting{conn, bufio.NewReader(conn)}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if !awaitWelcome(c.r) {
		conn.Close()
		return nil, fmt.Errorf("no welcome")
	}
	return c, nil
}

// isOpen reports whether the proxy has left the connection open.
func (c *resting) isOpen() bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func crowdOnce(env *environment, p *proxy, round int) (total tally, err error) {
	var crowd []*resting
	for range crowdSize {
		c, err := connectAndRest(p.address)
		if err != nil {
			return total, fmt.Errorf("a client can't connect before the disruption: %w", err)
		}
		crowd = append(crowd, c)
	}
	time.Sleep(crowdRest)
	open := crowd[:0]
	for _, c := range crowd {
		if c.isOpen() {
			open = append(open, c)
		} else {
			c.conn.Close() // a resting connection may be closed
		}
	}
	crowd = open
	env.record.say("round %d: %d clients rest", round, len(crowd))
	if len(crowd) == 0 {
		return total, fmt.Errorf("no client could connect")
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	count := func(t tally) {
		mu.Lock()
		total.add(t)
		mu.Unlock()
	}
	began := time.Now()
	heldUp := make(chan time.Duration, 1) // how long the proxy did not run, at most
	if env.trouble {
		env.record.note("the proxy is held up")
		stopped := time.Now()
		if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return total, err
		}
		time.AfterFunc(holdUp, func() {
			p.command.Process.Signal(syscall.SIGCONT)
			heldUp <- time.Since(stopped)
		})
	} else {
		heldUp <- 0
	}
	time.Sleep(time.Until(began.Add(newcomerAfter)))
	wait.Go(func() { count(askOnce(env, p.address, nil, round, 0)) })
	for i, c := range crowd {
		time.Sleep(time.Until(began.Add(crowdAfter + crowdWindow*time.Duration(i)/time.Duration(len(crowd)))))
		wait.Go(func() { count(askOnce(env, p.address, c, round, i+1)) })
	}
	wait.Wait()
	if took := <-heldUp; took > holdUpMost {
		return total, fmt.Errorf("this machine held the proxy up for %v, longer than the pages name", took)
	} else if env.trouble {
		env.record.say("round %d: the proxy was held up for %v", round, took.Round(100*time.Microsecond))
	}
	return total, nil
}

// writeSlowly writes a message in pieces.
func writeSlowly(conn net.Conn, message []byte) {
	began := time.Now()
	for i := range crowdPieces {
		time.Sleep(time.Until(began.Add(crowdWriting * time.Duration(i) / crowdPieces)))
		if _, err := conn.Write(message[len(message)*i/crowdPieces : len(message)*(i+1)/crowdPieces]); err != nil {
			return // the connection has ended, which reading tells too
		}
	}
}

// askOnce writes a request slowly on a resting connection, or at once on a new one, and waits for its answer for much longer than the
// request's time. If the resting connection ends without an answer, the request is sent once more on a new connection, as the protocol has
// it for a close that crosses a request.
func askOnce(env *environment, address string, c *resting, round, number int) (t tally) {
	t.sent = 1
	id := fmt.Sprintf("%04x%012x", round+1, number+1)
	text := fmt.Sprintf("SELECT val FROM state WHERE uid = '7f3a9c21e0b4d%03x' /* id=%s,c=stok-bakis,d=%d,cluster=0 */", number, id, crowdWait.Milliseconds())
	again := c != nil
	for {
		sentAt := time.Now()
		if c == nil {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				env.record.note("client %d: id %s can't connect: %v", number, id, err)
				t.refused++ // nothing was taken
				return t
			}
			conn.Write(append(startupMessage(), queryMessage(text)...))
			conn.SetReadDeadline(sentAt.Add(crowdWait + 2*time.Second))
			c = &resting{conn, bufio.NewReader(conn)}
			if !awaitWelcome(c.r) {
				env.record.note("client %d: id %s got no welcome within %v", number, id, time.Since(sentAt).Round(time.Millisecond))
				conn.Close()
				t.lost++
				return t
			}
		} else {
			writeSlowly(c.conn, queryMessage(text))
			sentAt = time.Now()
			c.conn.SetReadDeadline(sentAt.Add(crowdWait + 2*time.Second))
		}
		env.record.noteAt(sentAt, "client %d has sent id %s", number, id)
		kind, err := readAnswer(c.r, id)
		c.conn.Close()
		took := time.Since(sentAt)
		timeout, isNet := err.(net.Error)
		switch {
		case err != nil && again && !(isNet && timeout.Timeout()):
			env.record.note("client %d: the connection ended under id %s, which goes out again", number, id)
			again, c = false, nil
			continue
		case err != nil || took > crowdWait+answerGrace:
			t.lost++
		case kind == "served":
			t.served++
		case kind == "53300" || kind == "57P03":
			t.refused++
		default:
			t.failed++
		}
		env.record.note("client %d: id %s %s %v after %v", number, id, kind, err, took.Round(time.Millisecond))
		return t
	}
}
