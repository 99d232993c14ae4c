package state

import (
	"havenproxy/internal/peers"
	wire "havenproxy/internal/wire/peers"
)

// PeerSender sends messages to all peers. SendToPeers returns at once and may lose the message.
type PeerSender interface{ Broadcast(message []byte) }

// SetPeerSender sets the sender of messages to peers. Without one, messages are dropped.
func (e *Engine) SetPeerSender(t PeerSender) { e.peerSender = t }

// SendToPeers implements logic.Actions.
func (e *Engine) SendToPeers(facts []peers.Report) {
	if e.peerSender == nil {
		return
	}
	if e.peerMessage = wire.Append(e.peerMessage[:0], e.clock.Unix(), e.clock.Now(), facts); len(e.peerMessage) > 0 {
		e.Counters.PeerSent++
		e.peerSender.Broadcast(e.peerMessage)
	}
}

// ReceivePeerMessage applies a peer's message. It counts messages that cannot be parsed and returns the error.
func (e *Engine) ReceivePeerMessage(message []byte) error {
	facts, err := wire.Parse(e.peerReports[:0], message, e.clock.Unix(), e.clock.Now())
	if e.peerReports = facts; err != nil {
		e.Counters.PeerInvalid++
		return err
	}
	e.Counters.PeerReceived++
	e.dispatch(func() { e.events.PeerReports(e.clock.Now(), e.peerReports) })
	return nil
}
