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

// ConsulConfig configures which Consul services are watched, and how.
type ConsulConfig struct {
	Agents      []string // base URLs, such as http://127.0.0.1:8500; after an error the next one is used
	Services    []ConsulService
	Token       string   // an ACL token, sent as a header and never logged
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

// CatalogueReceiver receives the results of a catalogue watch; its methods are called on the loop.
type CatalogueReceiver interface {
	UpdateCatalogue(source string, n membership.Update)
	CatalogueFailed(source string, why error)
}

// Consul watches services in Consul. It is not on the request path and so runs outside the loop: one goroutine for
// each service and data centre, with one blocking query at a time, through net/http, which provides TLS and
// connection reuse. Results are posted to the loop.
type Consul struct {
	config   ConsulConfig
	loop     *Loop
	receiver CatalogueReceiver
	client   *http.Client
	stop     context.CancelFunc
	watchers sync.WaitGroup
}

const consulAnswerTimeout = 10 * time.Second // for the head of an answer after its blocking wait, and for its body

// NewConsul starts the watches.
func NewConsul(loop *Loop, receiver CatalogueReceiver, cfg ConsulConfig) *Consul {
	if cfg.Wait == 0 {
		cfg.Wait = 30 * time.Second
	}
	if len(cfg.Datacenters) == 0 {
		cfg.Datacenters = []string{""}
	}
	transport := &http.Transport{TLSClientConfig: cfg.TLS, MaxIdleConnsPerHost: 1, DisableCompression: true, ForceAttemptHTTP2: false,
		Proxy: nil} // never through a proxy named in the environment
	c := &Consul{config: cfg, loop: loop, receiver: receiver, client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return errors.New("an agent redirects: the token stays here")
	}}}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for i, s := range cfg.Services {
		for k, dc := range cfg.Datacenters {
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)<<32|uint64(k)))
			c.watchers.Go(func() { c.watch(ctx, s, dc, rng) })
		}
	}
	return c
}

// SourceNames returns the names under which membership knows the catalogues: one for each service and data centre.
func (c *ConsulConfig) SourceNames() (names []string) {
	for _, s := range c.Services {
		if len(c.Datacenters) == 0 {
			names = append(names, sourceName(s.Name, ""))
		}
		for _, dc := range c.Datacenters {
			names = append(names, sourceName(s.Name, dc))
		}
	}
	return names
}

func sourceName(service, dc string) string {
	if dc == "" {
		return "consul:" + service
	}
	return "consul:" + service + "@" + dc
}

// Stop ends the watches and waits for their goroutines; results that they have already posted may still be delivered
// afterwards.
func (c *Consul) Stop() {
	c.stop()
	c.watchers.Wait()
	c.client.CloseIdleConnections()
}

func (c *Consul) watch(ctx context.Context, s ConsulService, dc string, rng *rand.Rand) {
	pace := consul.Pacer{Agents: len(c.config.Agents), Rand: rng}
	name := sourceName(s.Name, dc)
	var last uint64
	for ctx.Err() == nil {
		q := consul.Query{Service: s.Name, Datacenter: dc, Filter: c.config.Filter, Consistency: c.config.Consistency, Index: pace.Index(), Wait: c.config.Wait}
		began := time.Now()
		n, err := c.fetch(ctx, pace.Agent(), &q, &s.Mapping)
		if ctx.Err() != nil {
			return
		}
		var pause time.Duration
		if err != nil {
			pause = pace.Failed()
			c.loop.Post(func() { c.receiver.CatalogueFailed(name, err) })
		} else {
			pause = pace.Succeeded(time.Since(began), n.Index, n.Index != last)
			last = n.Index
			c.loop.Post(func() { c.receiver.UpdateCatalogue(name, n) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// fetch makes one call. An incomplete answer is discarded as a whole.
func (c *Consul) fetch(ctx context.Context, agent int, q *consul.Query, m *consul.Mapping) (n membership.Update, err error) {
	timeout := consulAnswerTimeout
	if q.Index > 0 {
		timeout += q.Wait + q.Wait/16 // the servers add up to a sixteenth
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.config.Agents[agent], "/")+q.Path(), nil)
	if err != nil {
		return n, err
	}
	if c.config.Token != "" {
		r.Header.Set("X-Consul-Token", c.config.Token)
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
	meta, err := consul.ParseResponseMeta(answer.Header)
	if err != nil {
		return n, err
	}
	n = membership.Update{Complete: true, Index: meta.Index, Lag: meta.LastContact, NoLeader: meta.NoLeader}
	mapping := m.WithDefaults()
	err = consul.Decode(answer.Body, c.config.Limits, func(i *consul.Instance) {
		f, err := mapping.Listing(i)
		if err != nil {
			n.Skipped++
			return
		}
		n.Listings = append(n.Listings, f)
	})
	return n, err
}
