package state

import (
	"havenproxy/internal/peers"
	wire "havenproxy/internal/wire/peers"
)

// PeerSender carries a message to all peers. It returns at once, and may lose it.
type PeerSender interface{ SendToPeers(message []byte) }

// SetPeerSender sets what carries messages to the other proxies; without, what there is to tell is dropped.
func (f *Engine) SetPeerSender(t PeerSender) { f.teller = t }

// SendToPeers implements logic.Actions.
func (f *Engine) SendToPeers(facts []peers.Report) {
	if f.teller == nil {
		return
	}
	if f.message = wire.Append(f.message[:0], f.clock.Unix(), f.clock.Now(), facts); len(f.message) > 0 {
		f.Counters.PeerMessagesSent++
		f.teller.SendToPeers(f.message)
	}
}

// ReceivePeerMessage takes a message of a peer. The error tells that it could not be read; it is counted.
func (f *Engine) ReceivePeerMessage(message []byte) error {
	facts, err := wire.Parse(f.facts[:0], message, f.clock.Unix(), f.clock.Now())
	if f.facts = facts; err != nil {
		f.Counters.PeerMessagesInvalid++
		return err
	}
	f.Counters.PeerMessagesReceived++
	f.tell(func() { f.router.PeerFacts(f.clock.Now(), f.facts) })
	return nil
}
