package hostile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
)

// Target is the proxy that clients talk to.
type Target struct {
	Postgres, MySQL, Admin, Peers string
	Peer                          *net.UDPConn // of a listed peer
	Model                         fleet.Config
}

// Kind names a kind of hostile client.
type Kind string

// attack is what hostile clients of a kind do until the context ends.
type attack func(ctx context.Context, t *Target, rng *rand.Rand)

// kinds are the hostile clients, by the address that they use and by what they make the proxy do or hold.
var kinds = map[Kind]attack{
	// One PostgreSQL connection at full speed.
	"empty-queries":        flood(emptyQueries, true),
	"empty-queries-unread": flood(emptyQueries, false),
	"single-bytes":         singleBytes,
	"expired-requests":     flood(expiredRequests, true),
	"new-groups":           flood(newGroups, true),
	"new-sessions":         flood(newSessions, true),
	"same-id":              flood(sameID, true),
	"encryption-requests":  repeat(1, false, encryptionRequests),

	// Many PostgreSQL connections, each for a moment.
	"connect-reset":       repeat(4, true, startupAndRequest),
	"connect-only":        repeat(4, true, nothing),
	"connect-malformed":   repeat(4, false, malformedQuery),
	"connect-new-classes": repeat(4, false, newClass),
	"connect-terminate":   repeat(4, false, terminate),
	"connect-cancel":      repeat(4, false, cancelRequest),

	// Crowds of PostgreSQL connections that stay.
	"crowd-expired":   crowd(100, expiredCrowd),
	"crowd-silent":    crowd(300, silence),
	"crowd-pieces":    crowd(300, piecewiseQuery(10, 50*time.Millisecond)),
	"crowd-large":     crowd(300, largePieces),
	"crowd-fields":    crowd(50, manyFields),
	"crowd-startup":   crowd(200, halfStartup),
	"crowd-pipelines": crowd(50, pipelines),

	// MySQL.
	"mysql-pings":      mysqlFlood(pings),
	"mysql-prepares":   mysqlFlood(prepares),
	"mysql-reconnect":  mysqlReconnect,
	"mysql-half-login": crowdAt(func(t *Target) string { return t.MySQL }, 200, silence),

	// The operators' address, and other proxies' datagrams.
	"admin-calls":     adminCalls,
	"admin-reset":     adminReset,
	"peer-datagrams":  peerDatagrams(true),
	"other-datagrams": peerDatagrams(false),
}

// Kinds returns the names of all kinds, in order.
func Kinds() []Kind {
	var names []Kind
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func checkKinds(names []Kind) error {
	for _, name := range names {
		if kinds[name] == nil {
			return fmt.Errorf("hostile: no kind %q, there are %s", name, strings.Join(kindNames(), ", "))
		}
	}
	return nil
}

func kindNames() (names []string) {
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return names
}

// crowds are the kinds that take all places by themselves, so that well-behaved clients may be turned away.
var crowds = []Kind{"crowd-silent", "crowd-pieces", "crowd-large", "crowd-startup", "mysql-half-login"}

// FillsPlaces reports whether clients of a kind take all places by themselves, so that others may be turned away.
func FillsPlaces(k Kind) bool { return slices.Contains(crowds, k) }

// together runs copies of a client and waits for them. Each has random numbers of its own.
func together(n int, rng *rand.Rand, client func(rng *rand.Rand)) {
	var all sync.WaitGroup
	for range n {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		all.Go(func() { client(own) })
	}
	all.Wait()
}

// dial connects until the context ends. It returns nil if there is no connection.
func dial(ctx context.Context, address string) *net.TCPConn {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}
