// Package subset selects the databases that one proxy works with, for tiers that are too large for every proxy to check and to connect to
// every database. Assignment selects which databases a proxy checks on behalf of the tier, Connections which it keeps connections to. The
// package does no I/O and holds no health state: results depend only on the arguments.
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

// Proxy is a member of the tier. Proxies of unknown zone count as members of one zone with an empty name.
type Proxy struct {
	ID   ProxyID
	Zone string
}

// Database is a database as described by discovery and the health view.
type Database struct {
	ID     DatabaseID
	Group  GroupID
	Role   Role
	Zone   string
	Usable bool // neither draining nor ejected
}

// Config holds the settings of an Assignment. All proxies of a tier must use the same ones, so that they compute the same assignment.
type Config struct {
	Checkers int    // number of proxies that check each database
	Seed     uint64 // of the tier's hashes
}

// Traffic is the load that a proxy sends to one group.
type Traffic struct {
	Group          GroupID
	ReadsPerSecond float64
}

// ConnectionConfig determines how many replicas of a group a proxy connects to.
type ConnectionConfig struct {
	ReadsPerReplica float64 // reads per second from which on another replica is used; 0 = any number
	MinReplicas     int     // least number for each group in use
	Proxies         int     // proxies that select replicas in the same way: the fewer they are, the more replicas each uses, for even shares of the reads; 0 = ignored
	Seed            uint64  // of the tier's hashes
}
