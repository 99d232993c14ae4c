// Package subset decides which databases a proxy is concerned with, where a tier has too many of both for every proxy to check and to
// connect to every database: which databases it checks on behalf of the tier (Assignment), and which it keeps connections to
// (Connections). It carries nothing out, knows nothing of health, and is pure: everything is computed from what is handed in.
//
// Checkers are chosen by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), with the
// checkers of one database in different zones. Connections follow the idea of deterministic subsetting (Google's SRE book, "Load
// Balancing in the Datacenter").
package subset

// ProxyID is a proxy's number in its tier.
type ProxyID uint32

// DatabaseID is a database's short number, the same at every proxy.
type DatabaseID uint32

// GroupID is the number of a replication group.
type GroupID uint32

// Role is a database's role in its group.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Replica
	Primary
)

// Proxy is a member of the tier. Proxies whose zone is not known have the empty one in common.
type Proxy struct {
	ID   ProxyID
	Zone string
}

// Database is a database as the list and the health view have it.
type Database struct {
	ID     DatabaseID
	Group  GroupID
	Role   Role
	Zone   string
	Usable bool // neither draining nor ejected
}

// Config holds what all proxies of a tier must have in common, so that they come to the same assignment.
type Config struct {
	Checkers int    // for each database
	Seed     uint64 // of the tier
}

// Traffic is what a proxy sends to one group.
type Traffic struct {
	Group          GroupID
	ReadsPerSecond float64
}

// ConnectionConfig says how many replicas are enough.
type ConnectionConfig struct {
	ReadsPerReplica float64 // reads a second that one replica is given at most before another is connected to; 0 = any number
	MinReplicas     int     // of each group in use
	Proxies         int     // that choose alike: few of them need more replicas each, so that all replicas get even shares; 0 = that is no matter
	Seed            uint64  // of the tier
}
