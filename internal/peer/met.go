package peer

import "github.com/medlarhold/medlarhold/internal/core/entity"

// acquaintance is an instance that has connections to this one. Until the
// members are told of it, its own word is the only source of its address.
type acquaintance struct {
	address string
	conns   int
}

// meet notes a connection of an instance that has proved the key.
func (t *Transport) meet(peer entity.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.met[peer.ID] = acquaintance{address: peer.PeerAddress, conns: t.met[peer.ID].conns + 1}
}

// part notes the end of such a connection.
func (t *Transport) part(id entity.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.met[id]
	if a.conns--; a.conns <= 0 {
		delete(t.met, id)
		return
	}
	t.met[id] = a
}
