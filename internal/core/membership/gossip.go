package membership

import (
	"math/bits"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// retransmitFactor times the binary logarithm of the zone's size is how often
// an instance passes an update on.
const retransmitFactor = 2

// rumour is an update that is still passed on.
type rumour struct {
	id   entity.InstanceID
	sent int
}

// gossip is the queue of updates that ride on messages, least sent first.
type gossip struct{ queue []rumour }

// add queues the row of an instance anew.
func (g *gossip) add(id entity.InstanceID) {
	for i := range g.queue {
		if g.queue[i].id == id {
			g.queue[i].sent = 0
			return
		}
	}
	g.queue = append(g.queue, rumour{id: id})
}

// retransmits returns how often an update is passed on in a zone of n instances.
func retransmits(n int) int { return retransmitFactor * bits.Len(uint(n)) }

// take appends queued rows to out as long as they fit the budget in bytes.
func (g *gossip) take(t *table, out []Update, budget, limit int, skip entity.InstanceID) []Update {
	for least := 0; least < limit && budget > 0 && len(g.queue) > 0; least++ {
		for i := range g.queue {
			q := &g.queue[i]
			if q.sent != least || q.id == skip {
				continue
			}
			r := t.byID[q.id]
			if r == nil {
				q.sent = limit
				continue
			}
			if size := r.size(); size <= budget {
				budget -= size
				out = append(out, r.Update)
				// The mark above least keeps the row from being taken twice.
				q.sent = -(least + 1)
			}
		}
	}
	g.settle(limit)
	return out
}

// knownWeight is how many transmissions a peer with equal digests stands for.
const knownWeight = 2

// known notes that a peer has the same live rows, so that it needs none of the
// updates; suspicions, which digests don't cover, are passed on still.
func (g *gossip) known(t *table) {
	for i := range g.queue {
		if r := t.byID[g.queue[i].id]; r != nil && r.State != Suspect {
			g.queue[i].sent += knownWeight
		}
	}
}

// settle clears the marks of take and drops what was passed on often enough.
func (g *gossip) settle(limit int) {
	kept := g.queue[:0]
	for _, q := range g.queue {
		q.sent = max(q.sent, -q.sent)
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	g.queue = kept
}
