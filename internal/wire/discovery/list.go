package discovery

import (
	"encoding/json"
	"fmt"
)

// List is the list of databases, or what has changed of it.
type List struct {
	Generation int64      `json:"generation"`
	Whole      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one database.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // Unix time; 0 = long ago
}

// The lifecycles.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// ParseList reads a list. Unknown names are passed over; an unknown lifecycle makes the list unusable, since
// either guess, to send or not to, could be wrong.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("list of databases: %w", err)
	}
	for _, e := range l.Instances {
		if e.ID == "" {
			return l, fmt.Errorf("list of databases: an entry has no instanceId")
		}
		switch e.Lifecycle {
		case InService, Terminating, Terminated:
		default:
			return l, fmt.Errorf("list of databases: %s: unknown lifecycle %q", e.ID, e.Lifecycle)
		}
	}
	return l, nil
}
