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
func (p *proxy) prepareConsul(file *operator.File) (consulConfig *net.ConsulConfig, apply func(), err error) {
	members := file.Members
	settings := file.Consul
	if settings == nil {
		return nil, func() {
			p.stopConsul()
			p.engine.ConfigureMerging(nil, false)
		}, nil
	}
	cfg := net.ConsulConfig{Agents: settings.Agents, Datacenters: settings.Datacenters, Filter: settings.Filter, Consistency: settings.Consistency, Wait: settings.WaitTime}
	for _, name := range slices.Sorted(maps.Keys(settings.Services)) {
		mapping := settings.Mapping
		mapping.Group = settings.Services[name]
		cfg.Services = append(cfg.Services, net.ConsulService{Name: name, Mapping: mapping})
	}
	if settings.TokenFile != "" {
		text, err := os.ReadFile(settings.TokenFile)
		if err != nil {
			return nil, nil, fmt.Errorf("consul: %w", err)
		}
		if cfg.Token = strings.TrimSpace(string(text)); cfg.Token == "" || strings.ContainsAny(cfg.Token, "\r\n") {
			return nil, nil, fmt.Errorf("consul: %s holds no token on one line", settings.TokenFile)
		}
	}
	if cfg.TLS, err = consulTLS(settings); err != nil {
		return nil, nil, fmt.Errorf("consul: %w", err)
	}
	if p.consulConfig != nil && sameConsulConfig(p.consulConfig, &cfg) {
		return p.consulConfig, func() { p.engine.ConfigureMerging(&members, settings.Exclusive) }, nil
	}
	return &cfg, func() {
		p.engine.ConfigureMerging(&members, settings.Exclusive)
		sources := cfg.SourceNames()
		for _, s := range sources {
			p.engine.AddCatalogue(s)
		}
		oldConsul, oldSources := p.consul, p.consulSources
		p.consul, p.consulSources = net.NewConsul(p.loop, p.engine, cfg), sources
		for _, s := range oldSources {
			if !slices.Contains(sources, s) {
				p.engine.DropCatalogue(s)
			}
		}
		if oldConsul != nil {
			go oldConsul.Stop()
		}
		slog.Info("watching Consul", "agents", cfg.Agents, "sources", sources, "alone", settings.Exclusive)
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
func consulTLS(settings *operator.Consul) (*tls.Config, error) {
	if settings.CAFile == "" && settings.CertFile == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if settings.CAFile != "" {
		text, err := os.ReadFile(settings.CAFile)
		if err != nil {
			return nil, err
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate", settings.CAFile)
		}
	}
	if settings.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(settings.CertFile, settings.KeyFile)
		if err != nil {
			return nil, err
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	return cfg, nil
}
