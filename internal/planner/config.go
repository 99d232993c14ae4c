package planner

import (
	"fmt"
	"strings"

	"havenproxy/internal/rollout"
)

// Config is the configuration of a planner.
type Config struct {
	ID      uint64            // number of this planner, at least 1
	Listen  string            // address for proxies, planners and operators
	Peers   map[uint64]string // addresses of all planners, including this one, by number
	LogFile string            // path
	Join    bool              // this planner replaces another: it has no log yet and receives it from the others
	Rollout rollout.Config
}

// ParsePeers parses a list of planners such as "1=ADDRESS,2=ADDRESS". The result maps numbers to addresses.
func ParsePeers(list string) (map[uint64]string, error) {
	peers := map[uint64]string{}
	for _, item := range strings.Split(list, ",") {
		var id uint64
		number, address, ok := strings.Cut(strings.TrimSpace(item), "=")
		if _, err := fmt.Sscanf(number, "%d", &id); !ok || err != nil || id == 0 || address == "" || peers[id] != "" {
			return nil, fmt.Errorf("%q: planners as 1=ADDRESS,2=ADDRESS,3=ADDRESS were expected", list)
		}
		peers[id] = address
	}
	return peers, nil
}
