package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// retryAfterStop is told to callers whose requests come to an instance that
// stops: another one serves them at once.
const retryAfterStop = 100 * time.Millisecond

// beginDrain begins the planned stop. Peers are told; since a leaving instance owns
// nothing, its owner side hands what is queued back in the same step, and the
// entries ask the new owners.
func (n *Node) beginDrain(now time.Time, notice time.Duration) {
	if n.draining {
		return
	}
	n.draining = true
	n.closesAt = now.Add(notice)
	n.members.Leave(now)
}

// closed says whether the instance takes no request of a caller any more.
func (n *Node) closed(now time.Time) bool { return n.draining && !now.Before(n.closesAt) }

// refuseStopping answers a request that came after the notice.
func (n *Node) refuseStopping(now time.Time, a request.Arrival) {
	n.entry.Reject(now, a, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonStopping,
		RetryAfter: retryAfterStop, Message: "the instance is stopping"})
}

// sortedKeys returns the keys of a map in order, so that loops are deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
