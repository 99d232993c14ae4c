package net

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/internal/wire/consul"
)

// ConsulConfig says what is watched, and how.
type ConsulConfig struct {
	Agents      []string // base URLs, such as http://127.0.0.1:8500; the next one is asked where one fails
	Services    []ConsulService
	Token       string   // an ACL token, sent by header and never logged
	Datacenters []string // empty = the agent's own
	Filter      string
	Consistency consul.Consistency
	Wait        time.Duration // of a blocking query; 30 s
	TLS         *tls.Config
	Limits      consul.Limits
	Seed        uint64
}

// ConsulService is a service whose instances are databases.
type ConsulService struct {
	Name string
	consul.Mapping
}

// CatalogueReceiver is where a catalogue's word goes; its methods are called on the loop.
type CatalogueReceiver interface {
	UpdateCatalogue(source string, n membership.Update)
	CatalogueFailed(source string, why error)
}

// Consul watches services in Consul. It is no part of a request's way, so it stands beside the loop: a goroutine a service and data
// centre, each with one blocking query under way, by net/http, which brings TLS and keeps connections. What it learns is posted.
type Consul struct {
	cfg    ConsulConfig
	loop   *Loop
	to     CatalogueReceiver
	client *http.Client
	stop   context.CancelFunc
	done   sync.WaitGroup
}

const consulAnswer = 10 * time.Second // for an answer's head behind its wait, and for its body

// NewConsul begins to watch.
func NewConsul(loop *Loop, to CatalogueReceiver, cfg ConsulConfig) *Consul {
	if cfg.Wait == 0 {
		cfg.Wait = 30 * time.Second
	}
	if len(cfg.Datacenters) == 0 {
		cfg.Datacenters = []string{""}
	}
	transport := &http.Transport{TLSClientConfig: cfg.TLS, MaxIdleConnsPerHost: 1, DisableCompression: true, ForceAttemptHTTP2: false,
		Proxy: nil} // never by way of a proxy that the environment names
	c := &Consul{cfg: cfg, loop: loop, to: to, client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return errors.New("an agent redirects: the token stays here")
	}}}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for i, s := range cfg.Services {
		for k, dc := range cfg.Datacenters {
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)<<32|uint64(k)))
			c.done.Go(func() { c.watch(ctx, s, dc, rng) })
		}
	}
	return c
}

// SourceNames names what the catalogue is known by to the membership: one for each service and data centre.
func (c *ConsulConfig) SourceNames() (out []string) {
	for _, s := range c.Services {
		if len(c.Datacenters) == 0 {
			out = append(out, sourceName(s.Name, ""))
		}
		for _, dc := range c.Datacenters {
			out = append(out, sourceName(s.Name, dc))
		}
	}
	return out
}

func sourceName(service, dc string) string {
	if dc == "" {
		return "consul:" + service
	}
	return "consul:" + service + "@" + dc
}

// Stop ends the watch and waits for its goroutines; what they have still posted may come behind it.
func (c *Consul) Stop() {
	c.stop()
	c.done.Wait()
	c.client.CloseIdleConnections()
}

func (c *Consul) watch(ctx context.Context, s ConsulService, dc string, rng *rand.Rand) {
	pace := consul.Pace{Agents: len(c.cfg.Agents), Rand: rng}
	name := sourceName(s.Name, dc)
	var last uint64
	for ctx.Err() == nil {
		q := consul.Query{Service: s.Name, Datacenter: dc, Filter: c.cfg.Filter, Consistency: c.cfg.Consistency, Index: pace.Index(), Wait: c.cfg.Wait}
		began := time.Now()
		n, err := c.ask(ctx, pace.Agent(), &q, &s.Mapping)
		if ctx.Err() != nil {
			return
		}
		var pause time.Duration
		if err != nil {
			pause = pace.Failed()
			c.loop.Post(func() { c.to.CatalogueFailed(name, err) })
		} else {
			pause = pace.Answered(time.Since(began), n.Index, n.Index != last)
			last = n.Index
			c.loop.Post(func() { c.to.UpdateCatalogue(name, n) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ask makes one call. Nothing of an answer counts that is not whole.
func (c *Consul) ask(ctx context.Context, agent int, q *consul.Query, m *consul.Mapping) (n membership.Update, err error) {
	patience := consulAnswer
	if q.Index > 0 {
		patience += q.Wait + q.Wait/16 // the servers add up to a sixteenth
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.cfg.Agents[agent], "/")+q.Path(), nil)
	if err != nil {
		return n, err
	}
	if c.cfg.Token != "" {
		r.Header.Set("X-Consul-Token", c.cfg.Token)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return n, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 200))
		return n, fmt.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(text)))
	}
	meta, err := consul.ParseMeta(answer.Header)
	if err != nil {
		return n, err
	}
	n = membership.Update{Complete: true, Index: meta.Index, Lag: meta.LastContact, NoLeader: meta.NoLeader}
	mapping := m.WithDefaults()
	err = consul.Decode(answer.Body, c.cfg.Limits, func(i *consul.Instance) {
		f, err := mapping.Fact(i)
		if err != nil {
			n.Skipped++
			return
		}
		n.Listings = append(n.Listings, f)
	})
	return n, err
}
