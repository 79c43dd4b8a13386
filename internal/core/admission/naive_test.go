package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// naiveOwner is a simple reference implementation of Owner: one list of
// reservations that is scanned for every decision. It supports no prefixes,
// speeds, deadlines or pauses, and only one organisation.
type naiveOwner struct {
	endpoints []entity.Endpoint
	queue     []entity.Work // in order of arrival
	running   map[entity.RequestID]entity.EndpointID
	tier      map[entity.RequestID]entity.Tier
	floors    []naiveGuarantee
}

type naiveGuarantee struct {
	tier  entity.Tier
	until time.Time
}

func newNaiveOwner(rows []entity.Endpoint) *naiveOwner {
	return &naiveOwner{
		endpoints: rows,
		running:   make(map[entity.RequestID]entity.EndpointID),
		tier:      make(map[entity.RequestID]entity.Tier),
	}
}

// grants grants all free slots to queued work, the highest tier first, then by
// arrival, and returns the granted requests in order.
func (n *naiveOwner) grants(now time.Time) []entity.RequestID {
	var out []entity.RequestID
	for {
		best := -1
		for i := range n.queue {
			if best < 0 || n.queue[i].Tier < n.queue[best].Tier {
				best = i
			}
		}
		free := n.free()
		if best < 0 || free == "" || !n.allowed(now, n.queue[best].Tier) {
			return out
		}
		w := n.queue[best]
		n.queue = append(n.queue[:best:best], n.queue[best+1:]...)
		n.running[w.ID], n.tier[w.ID] = free, w.Tier
		out = append(out, w.ID)
	}
}

func (n *naiveOwner) free() entity.EndpointID {
	for _, e := range n.endpoints {
		taken := 0
		for _, at := range n.running {
			if at == e.ID {
				taken++
			}
		}
		if taken < e.Slots {
			return e.ID
		}
	}
	return ""
}

func (n *naiveOwner) allowed(now time.Time, t entity.Tier) bool {
	for _, p := range n.floors {
		if t > p.tier && now.Before(p.until) {
			return false
		}
	}
	return true
}

func (n *naiveOwner) end(id entity.RequestID) {
	delete(n.running, id)
	for i := range n.queue {
		if n.queue[i].ID == id {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			return
		}
	}
}
