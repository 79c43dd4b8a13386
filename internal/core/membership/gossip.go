package membership

import (
	"math/bits"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// retransmitFactor times the bit length of the zone's size is how often an
// instance transmits an update.
const retransmitFactor = 2

// pendingUpdate is an update that is still being transmitted.
type pendingUpdate struct {
	id   entity.InstanceID
	sent int
}

// gossip is the queue of updates to piggyback on messages. Updates with the
// fewest transmissions go first.
type gossip struct{ queue []pendingUpdate }

// add queues the row of an instance, or restarts its transmissions if it is
// queued already.
func (g *gossip) add(id entity.InstanceID) {
	for i := range g.queue {
		if g.queue[i].id == id {
			g.queue[i].sent = 0
			return
		}
	}
	g.queue = append(g.queue, pendingUpdate{id: id})
}

// retransmits returns how often an update is transmitted in a zone of n instances.
func retransmits(n int) int { return retransmitFactor * bits.Len(uint(n)) }

// take appends queued rows to out as long as they fit the budget in bytes. It
// omits the row of skip, and removes updates that were sent limit times.
func (g *gossip) take(t *table, out []Update, budget, limit int, skip entity.InstanceID) []Update {
	for sent := 0; sent < limit && budget > 0 && len(g.queue) > 0; sent++ {
		for i := range g.queue {
			q := &g.queue[i]
			if q.sent != sent || q.id == skip {
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
				// The negative count keeps the row from being taken twice.
				q.sent = -(sent + 1)
			}
		}
	}
	g.compact(limit)
	return out
}

// matchingPeerWeight is how many transmissions a peer with an equal digest counts for.
const matchingPeerWeight = 2

// countMatchingPeer records that a peer has the same live rows and so needs
// none of the updates. Suspicions don't count: digests don't cover them.
func (g *gossip) countMatchingPeer(t *table) {
	for i := range g.queue {
		if r := t.byID[g.queue[i].id]; r != nil && r.State != Suspect {
			g.queue[i].sent += matchingPeerWeight
		}
	}
}

// compact turns the negative counts set by take positive, and removes the
// updates that were sent limit times.
func (g *gossip) compact(limit int) {
	kept := g.queue[:0]
	for _, q := range g.queue {
		q.sent = max(q.sent, -q.sent)
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	g.queue = kept
}
