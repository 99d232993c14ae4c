package run

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"havenproxy/internal/net"
	"havenproxy/internal/operator"
)

// watching reads what the operator's file names for Consul; the function that it gives puts that into effect, on the loop, and what
// is watched then is to become p.watched. Members that the old catalogue listed stay as lost ones do until the new one has answered,
// so nobody is without a list between.
func (p *proxy) watching(own *operator.File) (watched *net.ConsulConfig, apply func(), err error) {
	members := own.Members
	k := own.Consul
	if k == nil {
		return nil, func() {
			p.unwatch()
			p.front.ConfigureMerging(nil, false)
		}, nil
	}
	cfg := net.ConsulConfig{Agents: k.Agents, Datacenters: k.Datacenters, Filter: k.Filter, Consistency: k.Consistency, Wait: k.WaitTime}
	for _, name := range slices.Sorted(maps.Keys(k.Services)) {
		m := k.Mapping
		m.Group = k.Services[name]
		cfg.Services = append(cfg.Services, net.ConsulService{Name: name, Mapping: m})
	}
	if k.TokenFile != "" {
		text, err := os.ReadFile(k.TokenFile)
		if err != nil {
			return nil, nil, fmt.Errorf("consul: %w", err)
		}
		if cfg.Token = strings.TrimSpace(string(text)); cfg.Token == "" || strings.ContainsAny(cfg.Token, "\r\n") {
			return nil, nil, fmt.Errorf("consul: %s holds no token on one line", k.TokenFile)
		}
	}
	if cfg.TLS, err = consulTLS(k); err != nil {
		return nil, nil, fmt.Errorf("consul: %w", err)
	}
	if p.watched != nil && same(p.watched, &cfg) {
		return p.watched, func() { p.front.ConfigureMerging(&members, k.Exclusive) }, nil
	}
	return &cfg, func() {
		p.front.ConfigureMerging(&members, k.Exclusive)
		sources := cfg.SourceNames()
		for _, s := range sources {
			p.front.AddCatalogue(s)
		}
		old, before := p.consul, p.sources
		p.consul, p.sources = net.NewConsul(p.loop, p.front, cfg), sources
		for _, s := range before {
			if !slices.Contains(sources, s) {
				p.front.DropCatalogue(s)
			}
		}
		if old != nil {
			go old.Stop()
		}
		slog.Info("Consul is watched", "agents", cfg.Agents, "sources", sources, "alone", k.Exclusive)
	}, nil
}

// same tells whether nothing has changed for the watch; certificates are read anew whenever there are any.
func same(a, b *net.ConsulConfig) bool {
	return a.TLS == nil && b.TLS == nil && reflect.DeepEqual(a, b)
}

func (p *proxy) unwatch() {
	if p.consul == nil {
		return
	}
	go p.consul.Stop()
	for _, s := range p.sources {
		p.front.DropCatalogue(s)
	}
	p.consul, p.sources = nil, nil
}

// consulTLS reads the files for agents that speak TLS; nil = the system's authorities, and no certificate of one's own.
func consulTLS(k *operator.Consul) (*tls.Config, error) {
	if k.CAFile == "" && k.CertFile == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if k.CAFile != "" {
		text, err := os.ReadFile(k.CAFile)
		if err != nil {
			return nil, err
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate", k.CAFile)
		}
	}
	if k.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
		if err != nil {
			return nil, err
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	return cfg, nil
}
