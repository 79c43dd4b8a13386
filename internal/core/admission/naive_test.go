package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// naive is an owner too simple to be wrong: one list of reservations, scanned
// for every decision. It knows no prefixes, speeds, deadlines or pauses, and
// one organisation.
type naive struct {
	endpoints []entity.Endpoint
	queue     []entity.Work // in order of arrival
	running   map[entity.RequestID]entity.EndpointID
	tier      map[entity.RequestID]entity.Tier
	floors    []naivePromise
}

type naivePromise struct {
	tier  entity.Tier
	until time.Time
}

func newNaive(rows []entity.Endpoint) *naive {
	return &naive{
		endpoints: rows,
		running:   make(map[entity.RequestID]entity.EndpointID),
		tier:      make(map[entity.RequestID]entity.Tier),
	}
}

// grants gives all free slots to the queue: the highest tier first, then by
// arrival.
func (n *naive) grants(now time.Time) []entity.RequestID {
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

func (n *naive) free() entity.EndpointID {
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

func (n *naive) allowed(now time.Time, t entity.Tier) bool {
	for _, p := range n.floors {
		if t > p.tier && now.Before(p.until) {
			return false
		}
	}
	return true
}

func (n *naive) end(id entity.RequestID) {
	delete(n.running, id)
	for i := range n.queue {
		if n.queue[i].ID == id {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			return
		}
	}
}
