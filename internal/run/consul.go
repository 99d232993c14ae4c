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

// prepareConsul reads what the operator's file refers to for Consul. It returns the new value of p.consulConfig and a function that puts the
// settings into effect on the loop. Members of the previous catalogue are kept like those of a lost one until the new catalogue has
// answered, so that the list is never empty in between.
func (p *proxy) prepareConsul(own *operator.File) (watched *net.ConsulConfig, apply func(), err error) {
	members := own.Members
	k := own.Consul
	if k == nil {
		return nil, func() {
			p.stopConsul()
			p.engine.ConfigureMerging(nil, false)
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
	if p.consulConfig != nil && sameConsulConfig(p.consulConfig, &cfg) {
		return p.consulConfig, func() { p.engine.ConfigureMerging(&members, k.Exclusive) }, nil
	}
	return &cfg, func() {
		p.engine.ConfigureMerging(&members, k.Exclusive)
		sources := cfg.Sources()
		for _, s := range sources {
			p.engine.AddCatalogue(s)
		}
		old, before := p.consul, p.consulSources
		p.consul, p.consulSources = net.NewConsul(p.loop, p.engine, cfg), sources
		for _, s := range before {
			if !slices.Contains(sources, s) {
				p.engine.DropCatalogue(s)
			}
		}
		if old != nil {
			go old.Stop()
		}
		slog.Info("watching Consul", "agents", cfg.Agents, "sources", sources, "alone", k.Exclusive)
	}, nil
}

// sameConsulConfig reports whether two configurations are equal. Configurations with TLS never are, so that certificates are read again.
func sameConsulConfig(a, b *net.ConsulConfig) bool {
	return a.TLS == nil && b.TLS == nil && reflect.DeepEqual(a, b)
}

// stopConsul ends the watch of Consul, if there is one, and removes its sources.
func (p *proxy) stopConsul() {
	if p.consul == nil {
		return
	}
	go p.consul.Stop()
	for _, s := range p.consulSources {
		p.engine.DropCatalogue(s)
	}
	p.consul, p.consulSources = nil, nil
}

// consulTLS loads the TLS configuration for the agents; nil = the system's certificate authorities and no client certificate.
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
