package planner

import (
	"fmt"
	"strings"

	"havenproxy/internal/rollout"
)

// Config is one planner's.
type Config struct {
	ID      uint64            // from 1 on
	Listen  string            // where proxies, planners and operators come
	Peers   map[uint64]string // all planners, this one included, with their addresses
	LogFile string            // of the log
	Join    bool              // it takes the place of another: its log, which has yet to be begun, comes from the others
	Rollout rollout.Config
}

// ParsePeers reads "1=ADDRESS,2=ADDRESS".
func ParsePeers(text string) (map[uint64]string, error) {
	out := map[uint64]string{}
	for _, w := range strings.Split(text, ",") {
		var id uint64
		number, address, ok := strings.Cut(strings.TrimSpace(w), "=")
		if _, err := fmt.Sscanf(number, "%d", &id); !ok || err != nil || id == 0 || address == "" || out[id] != "" {
			return nil, fmt.Errorf("%q: planners as 1=ADDRESS,2=ADDRESS,3=ADDRESS were expected", text)
		}
		out[id] = address
	}
	return out, nil
}
