package node

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
)

// flushMembers sends the messages of membership, and applies a changed view.
func (n *Node) flushMembers(now time.Time) {
	r := n.members.Ready()
	for _, m := range r.Messages {
		n.ready.Peers = append(n.ready.Peers, Outgoing{To: m.To, Address: m.Address, Msg: m.Message})
	}
	if r.Changed {
		n.membersChanged(now)
	}
}

// membersChanged applies a changed view: it updates the ownership of endpoints, and
// ends what depends on instances that are no longer reachable members.
func (n *Node) membersChanged(now time.Time) {
	n.view = n.members.View()
	n.ready.MembersChanged = true
	before := n.address
	n.address = make(map[entity.InstanceID]string, len(before))
	members := make(ownership.Members, len(n.view.Zones))
	for _, z := range n.view.Zones {
		if !z.Reachable {
			continue
		}
		for _, m := range z.Members {
			members[z.Zone] = append(members[z.Zone], m.Instance)
			n.address[m.ID] = m.PeerAddress
		}
	}
	n.zoneMembers = members[n.settings.Self.Zone]
	n.limits.setZone(now, n.view, n.members.FleetSize(now))
	n.openHomeShards(now)
	n.endpointsMoved(now, n.owners.SetMembers(members))
	for _, id := range sortedKeys(before) {
		if _, ok := n.address[id]; !ok {
			n.instanceLost(now, id)
		}
	}
}

// instanceLost handles an instance that has died, or whose zone has become unreachable.
func (n *Node) instanceLost(now time.Time, id entity.InstanceID) {
	n.owner.EntryLost(now, id)
	n.entry.OwnerLost(now, id)
	n.ready.Lost = append(n.ready.Lost, id)
}

// setConfiguration puts a configuration into force.
func (n *Node) setConfiguration(now time.Time, st config.State) {
	n.state = st
	n.members.SetRevision(int64(st.Revision()))
	endpoints := make([]entity.Endpoint, 0, len(st.AllEndpoints()))
	for _, e := range st.AllEndpoints() {
		endpoints = append(endpoints, *e)
	}
	for p := range st.Pools() {
		n.retries.SetBudget(p.Name, p.RetryBudget)
	}
	n.endpointsMoved(now, n.owners.SetEndpoints(endpoints))
	n.updateOwned(now)
}

// endpointsMoved handles endpoints that have a new owner: this instance notifies the
// new owner of the requests that it runs there.
func (n *Node) endpointsMoved(now time.Time, d ownership.Diff) {
	if len(d.Moves) == 0 {
		return
	}
	n.updateOwned(now)
	for _, m := range d.Moves {
		if m.To == "" {
			continue
		}
		if m.To == n.settings.Self.ID && n.isLeaving(m.From) {
			n.owner.PreviousOwnerLeaving(now, m.Endpoint)
		}
		held := n.entry.OwnerChanged(now, m.Endpoint, m.To)
		if len(held) > 0 {
			n.send(m.To, heldSlotsMessage(m.Endpoint, held))
		}
	}
}

// isLeaving reports whether a member has announced that it is stopping.
func (n *Node) isLeaving(id entity.InstanceID) bool {
	for _, z := range n.view.Zones {
		for i := range z.Members {
			if m := &z.Members[i]; m.ID == id {
				return m.Leaving
			}
		}
	}
	return false
}

// updateOwned passes the endpoints that this instance owns now to the owner side.
func (n *Node) updateOwned(now time.Time) {
	var owned []entity.Endpoint
	for _, e := range n.state.AllEndpoints() {
		if n.owners.Owner(e.ID) == n.settings.Self.ID {
			owned = append(owned, n.withLoadedModels(*e))
		}
	}
	n.owner.SetEndpoints(now, owned)
	n.router.setPools()
	n.ready.Owned = &owned
}

// withLoadedModels returns e, with its models limited to those reported as loaded if e
// is sent orders to load and unload models. For such an endpoint the configuration
// lists the models that it may load.
func (n *Node) withLoadedModels(e entity.Endpoint) entity.Endpoint {
	if e.WeightBytes > 0 {
		e.Models = n.loaded[e.ID]
	}
	return e
}

// heldSlotsMessage converts held slots of one endpoint to a HeldSlots message.
func heldSlotsMessage(e entity.EndpointID, held []entity.HeldSlot) HeldSlots {
	h := HeldSlots{Endpoint: e, Requests: make([]HeldRequest, 0, len(held))}
	for _, x := range held {
		w := x.Work
		h.Requests = append(h.Requests, HeldRequest{ID: w.ID, Seq: x.Seq, Org: w.Org, Pool: w.Pool, Model: w.Model, Tier: w.Tier,
			PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens, NonIdempotent: w.NonIdempotent, Paused: x.Paused})
	}
	return h
}

// heldSlots converts a HeldSlots message to the form used by package admission.
func heldSlots(from entity.InstanceID, h HeldSlots) []entity.HeldSlot {
	held := make([]entity.HeldSlot, 0, len(h.Requests))
	for _, x := range h.Requests {
		held = append(held, entity.HeldSlot{
			From: from, Seq: x.Seq, Endpoint: h.Endpoint, Paused: x.Paused,
			Work: entity.Work{ID: x.ID, Org: x.Org, Pool: x.Pool, Model: x.Model, Tier: x.Tier,
				PromptTokens: x.PromptTokens, MaxTokens: x.MaxTokens, NonIdempotent: x.NonIdempotent},
		})
	}
	return held
}
