package settings

import (
	"encoding/json"
	"fmt"
	"strconv"

	"havenproxy/internal/wire/discovery"
)

// Config is what one proxy is told at its start.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	MemoryMB   int
	Sockets    int
	PeerListen string         // where peers' datagrams come; empty = there is no talk
	Peers      []string       // the proxies of the tier, this one included
	PeersAll   string         // stands for all of them
	Admin      string         // the operators' second address; empty = there is none
	KnownList  discovery.List // the databases as this proxy last had them; may be old
	Settings   Settings
}

// ParseConfig reads a proxy's configuration. The error names what is wrong in one line.
func ParseConfig(text []byte) (Config, error) {
	d, err := ParseDocument(text, func() {})
	if err != nil {
		return Config{}, err
	}
	return d.Config()
}

// Config gives what the document says. The error names what is wrong in one line.
func (d *Document) Config() (Config, error) {
	var j struct {
		Name       string   `json:"name"`
		Listen     string   `json:"listen"`
		Discovery  string   `json:"discovery"`
		Seed       string   `json:"seed"`
		Admin      string   `json:"admin"`
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Limits     struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(d.Rest, &j); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", readable("", err))
	}
	c := Config{Name: j.Name, Listen: j.Listen, Discovery: j.Discovery, MemoryMB: j.Limits.MemoryMB,
		Sockets: j.Limits.Sockets, KnownList: d.KnownList, PeerListen: j.PeerListen, Peers: j.Peers, PeersAll: j.PeersAll, Admin: j.Admin}
	for field, value := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if value == "" {
			return c, fmt.Errorf("configuration: %s is missing", field)
		}
	}
	for field, value := range map[string]int{"limits.memory_mb": c.MemoryMB, "limits.sockets": c.Sockets} {
		if value < 0 {
			return c, fmt.Errorf("configuration: %s: %d is below 0", field, value)
		}
	}
	seed, err := strconv.ParseUint(j.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("configuration: seed: %q is no hexadecimal number", j.Seed)
	}
	if len(j.Settings) == 0 {
		return c, fmt.Errorf("configuration: settings is missing")
	}
	if c.Settings, err = Parse(j.Settings, seed); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}
