package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	pipelined       = 16              // commands that a client sends at once
	pipelineRounds  = 8               // per client
	pipelineClients = 4               // they share about a third of a proxy's 290 requests a second
	roundInterval   = 2 * time.Second // between the rounds of a client
	readWait        = 1200 * time.Millisecond
	answerGrace     = 500 * time.Millisecond // after its time an answer only earns nothing; later, or never, it is lost
	bulkValue       = 64 << 10
	slowPiece       = 16 << 10
	slowPause       = 12 * time.Millisecond // between pieces: 1.3 MB/s, so that 16 values take 0.8 s
)

// slowReader plays clients that send 16 reads at once and read the answers in pieces. Each value has 64 KiB. Without the disruption they
// read as fast as they can.
func slowReader(env *environment) (bool, error) {
	var databases []*database
	for i := range 4 {
		db, err := startDatabase(env.record, fmt.Sprintf("s-%08x", i+1), i == 0, 30*time.Millisecond, bulkValue)
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
	var wait sync.WaitGroup
	var mu sync.Mutex
	total := tally{}
	for c := range pipelineClients {
		wait.Go(func() {
			time.Sleep(time.Duration(c) * roundInterval / pipelineClients)
			for round := range pipelineRounds {
				began := time.Now()
				got := pipelineOnce(env, p.address, c, round)
				mu.Lock()
				total.add(got)
				mu.Unlock()
				time.Sleep(roundInterval - time.Since(began))
			}
		})
	}
	wait.Wait()
	if p.hasEnded() {
		env.record.say("the proxy has ended: %v", p.state)
		return true, nil
	}
	env.record.say("%d requests: %d served, %d refused, %d failed, %d lost", total.sent, total.served, total.refused, total.failed, total.lost)
	if total.served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return total.lost > 0, nil
}

// tally counts how requests ended.
type tally struct{ sent, served, refused, failed, lost int }

func (t *tally) add(other tally) {
	t.sent += other.sent
	t.served += other.served
	t.refused += other.refused
	t.failed += other.failed
	t.lost += other.lost
}

// pacedReader reads in pieces with pauses.
type pacedReader struct {
	conn net.Conn
	slow bool
}

func (r *pacedReader) Read(b []byte) (int, error) {
	if !r.slow {
		return r.conn.Read(b)
	}
	time.Sleep(slowPause)
	return r.conn.Read(b[:min(len(b), slowPiece)])
}

// pipelineOnce opens a connection, sends the requests at once, and reads until all are answered.
func pipelineOnce(env *environment, address string, client, round int) (t tally) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		env.record.say("client %d can't connect: %v", client, err)
		return t
	}
	defer conn.Close()
	conn.Write(startupMessage())
	r := bufio.NewReaderSize(&pacedReader{conn, env.trouble}, slowPiece)
	for {
		m, err := readMessage(r)
		if err != nil {
			env.record.say("client %d got no welcome: %v", client, err)
			return t
		}
		if m.kind == 'Z' {
			break
		}
	}
	var all []byte
	name := func(i int) string { return fmt.Sprintf("%04x%04x%08x", client, round, i+1) }
	for i := range pipelined {
		all = append(all, queryMessage(fmt.Sprintf("SELECT val FROM state WHERE uid = '7f3a9c21e0b4d%03x' /* id=%s,c=stok-bakis,d=%d,cluster=0 */",
			i, name(i), readWait.Milliseconds()))...)
	}
	if _, err := conn.Write(all); err != nil {
		env.record.say("client %d can't send: %v", client, err)
		return t
	}
	sentAt := time.Now()
	t.sent = pipelined
	env.record.noteAt(sentAt, "client %d sends ids %s to %s", client, name(0), name(pipelined-1))
	conn.SetReadDeadline(sentAt.Add(10 * time.Second)) // the client doesn't leave
	for i := range pipelined {
		kind, err := readAnswer(r, name(i))
		late := time.Since(sentAt) - readWait
		switch {
		case err != nil:
			t.lost += pipelined - i
			env.record.note("client %d: ids %s to %s have no whole answer after %v: %v", client, name(i), name(pipelined-1), time.Since(sentAt).Round(time.Millisecond), err)
			return t
		case late > answerGrace:
			t.lost++
			env.record.note("client %d: id %s is answered %v behind its time", client, name(i), late)
		case kind == "served":
			t.served++
		case kind == "53300" || kind == "57P03":
			t.refused++
		default:
			t.failed++
		}
		env.record.note("client %d: id %s %s", client, name(i), kind)
	}
	return t
}

// readAnswer reads one answer: "served", or the code of an error.
func readAnswer(r *bufio.Reader, id string) (kind string, err error) {
	kind, _, err = readValue(r, id)
	return kind, err
}

// readValue reads one answer, and its value if it is served.
func readValue(r *bufio.Reader, id string) (kind, value string, err error) {
	for {
		m, err := readMessage(r)
		if err != nil {
			return "", "", err
		}
		switch m.kind {
		case 'D':
			kind = "served"
			if len(m.body) < 6+len(id) || string(m.body[6:6+len(id)]) != id {
				return "", "", fmt.Errorf("a value that is not that of id %s", id)
			}
			value = string(m.body[6:])
		case 'E':
			kind = errorCode(m.body)
		case 'Z':
			if kind == "" {
				return "", "", io.ErrUnexpectedEOF
			}
			return kind, value, nil
		}
	}
}
