package settings

import (
	"encoding/json"
	"fmt"
	"strconv"

	"havenproxy/internal/wire/discovery"
)

// Config is the configuration of one proxy, read at its start and on a reload.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	MemoryMB       int
	Cores          float64 // that the process may use; 0 = it is not told
	Sockets        int
	PeerListen     string         // address that receives datagrams from peers; empty disables messages between peers
	Peers          []string       // the proxies of the tier, this one included
	PeersAll       string         // address that sends a datagram to all peers
	Admin          string         // address of a second listener, for operators; empty = none
	KnownDatabases discovery.List // the last known list of databases; may be outdated
	Settings       Settings
}

// ParseConfig parses a proxy's configuration. The error describes the first fault in one line.
func ParseConfig(text []byte) (Config, error) {
	d, err := Split(text, func() {})
	if err != nil {
		return Config{}, err
	}
	return d.Config()
}

// Config parses and checks the document. The error describes the first fault in one line.
func (d *Document) Config() (Config, error) {
	var parsed struct {
		Name       string   `json:"name"`
		Listen     string   `json:"listen"`
		Discovery  string   `json:"discovery"`
		Seed       string   `json:"seed"`
		Admin      string   `json:"admin"`
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Limits     struct {
			MemoryMB int     `json:"memory_mb"`
			Cores    float64 `json:"cores"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(d.ConfigJSON, &parsed); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", describeJSONError("", err))
	}
	config := Config{Name: parsed.Name, Listen: parsed.Listen, Discovery: parsed.Discovery, MemoryMB: parsed.Limits.MemoryMB, Cores: parsed.Limits.Cores,
		Sockets: parsed.Limits.Sockets, KnownDatabases: d.KnownDatabases, PeerListen: parsed.PeerListen, Peers: parsed.Peers, PeersAll: parsed.PeersAll, Admin: parsed.Admin}
	for field, value := range map[string]string{"listen": config.Listen, "discovery": config.Discovery} {
		if value == "" {
			return config, fmt.Errorf("configuration: %s is missing", field)
		}
	}
	for field, value := range map[string]int{"limits.memory_mb": config.MemoryMB, "limits.sockets": config.Sockets} {
		if value < 0 {
			return config, fmt.Errorf("configuration: %s: %d is below 0", field, value)
		}
	}
	seed, err := strconv.ParseUint(parsed.Seed, 16, 64)
	if err != nil {
		return config, fmt.Errorf("configuration: seed: %q is no hexadecimal number", parsed.Seed)
	}
	if len(parsed.Settings) == 0 {
		return config, fmt.Errorf("configuration: settings is missing")
	}
	if config.Settings, err = Parse(parsed.Settings, seed); err != nil {
		return config, fmt.Errorf("configuration: %w", err)
	}
	return config, nil
}
