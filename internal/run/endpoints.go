package run

import (
	"log/slog"

	"havenproxy/internal/endpoints"
	"havenproxy/internal/wire/settings"
)

// reportStart logs the start of the proxy and the addresses it listens on, and reports these to a parent process that requested them. All listeners must be open.
func (p *proxy) reportStart(cfg settings.Config, operatorFile string) error {
	addresses := p.endpoints(cfg)
	attributes := []any{"name", cfg.Name, "listen", addresses.PostgreSQL}
	for _, further := range []struct{ key, address string }{
		{"mysql", addresses.MySQL},
		{"admin", addresses.Admin},
		{"peers", addresses.Peers},
	} {
		if further.address != "" {
			attributes = append(attributes, further.key, further.address)
		}
	}
	attributes = append(attributes, "discovery", cfg.Discovery, "databases", len(cfg.Known.Instances), "operator", operatorFile)
	slog.Info("started", attributes...)
	return addresses.Report()
}

// endpoints returns the bound addresses. For an inherited socket (EDGE_ACCEPT_FD), which another process has bound, it returns the configured
// address.
func (p *proxy) endpoints(cfg settings.Config) endpoints.Endpoints {
	addresses := endpoints.Endpoints{PostgreSQL: cfg.Listen, MySQL: p.server.MySQLAddress()}
	if p.acceptFD == 0 {
		addresses.PostgreSQL = p.server.Address()
	}
	if p.admin != nil {
		addresses.Admin = p.admin.Address()
	}
	if p.peers != nil {
		addresses.Peers = p.peers.Address()
	}
	return addresses
}
