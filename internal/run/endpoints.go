package run

import (
	"log/slog"

	"havenproxy/internal/endpoints"
	"havenproxy/internal/wire/settings"
)

// reportStart logs that the proxy has started and on which addresses it listens, and reports these to a parent process that asked for them.
// All listeners are open by then.
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

// endpoints gives the addresses that were bound. An inherited socket (EDGE_ACCEPT_FD) was bound by another process: for it, the configured
// address stands.
func (p *proxy) endpoints(cfg settings.Config) endpoints.Endpoints {
	addresses := endpoints.Endpoints{PostgreSQL: cfg.Listen, MySQL: p.server.MySQLAddress()}
	if p.accept == 0 {
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
