package main

import (
	"sync"
	"time"
)

func init() { cases["drain-pipeline"] = playDrainPipeline }

const (
	pipelineClients = 6
	pipelineWindow  = 12 // commands that each client has under way
	drainBound      = 4 * time.Second
	recentRequest   = 2 * time.Second
)

// pipelineClient sends many commands at once on one connection: whenever one is answered, it sends the next.
type pipelineClient struct {
	*client
	mu       sync.Mutex
	sent     []time.Time
	ids      []string
	answered int
	ended    bool
}

func (c *pipelineClient) send() {
	id := newID()
	c.mu.Lock()
	c.sent, c.ids = append(c.sent, time.Now()), append(c.ids, id)
	c.mu.Unlock()
	c.conn.Write(queryMessage(readText(id, "katalog", 800)))
}

// loop runs until the connection ends, or until all is answered after stop is closed.
func (c *pipelineClient) loop(stop <-chan struct{}) {
	for range pipelineWindow {
		c.send()
	}
	for {
		_, err := readAnswer(c.reader)
		c.mu.Lock()
		if c.ended = err != nil; !c.ended {
			c.answered++
		}
		open := len(c.ids) - c.answered
		c.mu.Unlock()
		if err != nil {
			return
		}
		select {
		case <-stop:
			if open == 0 {
				return
			}
		default:
			c.send()
		}
	}
}

// recent returns whether the connection is open, and how many unanswered requests of the last 2 s it carries.
func (c *pipelineClient) recent() (open bool, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sent[c.answered:] {
		if time.Since(at) < recentRequest {
			requests++
		}
	}
	return !c.ended, requests
}

// playDrainPipeline sends clients away while some of them have many commands under way.
func playDrainPipeline(r *rig) error {
	_, d, err := r.group(3, 40*time.Millisecond)
	if err != nil {
		return err
	}
	p, err := newProxy("n0", r.dir, d, kereste(1), r.recorder)
	if err != nil {
		return err
	}
	if err := r.startProxy(p); err != nil {
		return err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients []*pipelineClient
	var running sync.WaitGroup
	for range pipelineClients {
		c, err := dialClient(p.listen)
		if err != nil {
			return err
		}
		clients = append(clients, &pipelineClient{client: c})
		pc := clients[len(clients)-1]
		running.Go(func() { pc.loop(stop) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		if status, err := p.call("PUT", "/v1/proxy/drain"); err != nil {
			return err
		} else {
			r.sayf("drain: %s", status)
		}
	}
	time.Sleep(drainBound + 2*socketsSlack)
	held := 0
	for i, c := range clients {
		open, requests := c.recent()
		r.sayf("client %d: %d answered, connection open: %v, requests of the last 2 s under way: %d", i, c.answered, open, requests)
		if r.trouble && open {
			held++
		}
	}
	close(stop)
	for _, c := range clients {
		c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	}
	running.Wait()
	if held > 0 {
		return errBroken("connections of clients are still open 4 s after the call, and carry requests")
	}
	return nil
}
