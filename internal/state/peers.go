package state

import (
	"havenproxy/internal/peers"
	wire "havenproxy/internal/wire/peers"
)

// Teller carries a message to all peers. It returns at once, and may lose it.
type Teller interface{ Tell(message []byte) }

// Peers sets what carries messages to the other proxies; without, what there is to tell is dropped.
func (f *Front) Peers(t Teller) { f.teller = t }

// SendToPeers implements logic.Actions.
func (f *Front) SendToPeers(facts []peers.Report) {
	if f.teller == nil {
		return
	}
	if f.message = wire.Append(f.message[:0], f.clock.Unix(), f.clock.Now(), facts); len(f.message) > 0 {
		f.Counters.PeersTold++
		f.teller.Tell(f.message)
	}
}

// HeardPeer takes a message of a peer. The error tells that it could not be read; it is counted.
func (f *Front) HeardPeer(message []byte) error {
	facts, err := wire.Parse(f.facts[:0], message, f.clock.Unix(), f.clock.Now())
	if f.facts = facts; err != nil {
		f.Counters.PeersStrange++
		return err
	}
	f.Counters.PeersHeard++
	f.tell(func() { f.router.PeerFacts(f.clock.Now(), f.facts) })
	return nil
}
