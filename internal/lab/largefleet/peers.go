package largefleet

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"havenproxy/internal/lab/standin"
	"havenproxy/internal/peers"
	wire "havenproxy/internal/wire/peers"
)

const (
	peerTurn  = 150 * time.Millisecond // in which a proxy sends one datagram at most
	peerLag   = 10 * time.Millisecond  // of the positions that peers report
	peerSteps = 10                     // in which a turn's datagrams are sent
)

// peerTier stands for the other proxies of the tier: one socket sends what all of them would.
type peerTier struct {
	conn      *net.UDPConn
	all       string
	addresses []string
	proxies   int
}

// newPeers opens the tier's socket. The proxy sends to it, too: that is how it becomes known where the proxy listens.
func newPeers(proxies int) (*peerTier, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	address := conn.LocalAddr().String()
	return &peerTier{conn: conn, all: address, addresses: []string{address}, proxies: proxies}, nil
}

func (p *peerTier) close() { p.conn.Close() }

// talk sends what the other proxies learn of databases from their requests, once the proxy has sent its first datagram.
func (p *peerTier) talk(ctx context.Context, world *standin.World, cfg *Config, silent *faulty) {
	if p.proxies <= 1 {
		return
	}
	_, proxy, err := p.conn.ReadFromUDPAddrPort(make([]byte, 512))
	if err != nil {
		return
	}
	go func() { // what else comes is read, so that the socket's buffer does not fill
		buf := make([]byte, 512)
		for {
			if _, _, err := p.conn.ReadFromUDPAddrPort(buf); err != nil {
				return
			}
		}
	}()
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	tick := time.NewTicker(peerTurn / peerSteps)
	defer tick.Stop()
	// In a turn each database is news once, and each answer that a proxy had is at most one fact.
	facts := min(float64(cfg.Databases), float64(p.proxies-1)*cfg.Rate*peerTurn.Seconds()) / peerSteps
	datagrams := min(float64(p.proxies-1)/peerSteps, facts)
	for ctx.Err() == nil {
		<-tick.C
		now := world.Now()
		for range int(datagrams) {
			var list []peers.Report
			for range max(1, int(facts/datagrams)) {
				member := rng.IntN(cfg.Databases)
				list = append(list, factOf(member, now, silent.has(member)))
			}
			if _, err := p.conn.WriteToUDPAddrPort(wire.Append(nil, time.Duration(world.Unix(now).UnixNano()), now, list), proxy); err != nil {
				return
			}
		}
	}
}

// factOf is what a peer has just learned of a database.
func factOf(member int, now time.Duration, silent bool) peers.Report {
	h := fnv.New64a()
	h.Write([]byte(standin.InstanceID(member)))
	f := peers.Report{Database: peers.ShortID(h.Sum64()), Role: peers.Replica, At: now, Position: now - peerLag}
	if silent {
		return peers.Report{Database: f.Database, Status: peers.Silent, At: now}
	}
	if member%GroupSize == 0 {
		f.Role, f.Position = peers.Primary, now
	}
	return f
}
