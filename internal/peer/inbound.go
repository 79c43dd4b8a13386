package peer

import "github.com/medlarhold/medlarhold/internal/core/entity"

// inboundPeer is an instance that has connections to this one. Until membership
// updates name the instance, the address that it sent in the handshake is the
// only one known.
type inboundPeer struct {
	address string
	conns   int
}

// addInbound records a connection from an instance that has proved the key.
func (t *Transport) addInbound(peer entity.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound[peer.ID] = inboundPeer{address: peer.PeerAddress, conns: t.inbound[peer.ID].conns + 1}
}

// removeInbound records the end of such a connection.
func (t *Transport) removeInbound(id entity.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.inbound[id]
	if p.conns--; p.conns <= 0 {
		delete(t.inbound, id)
		return
	}
	t.inbound[id] = p
}
