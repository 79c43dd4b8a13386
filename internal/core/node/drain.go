package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// retryAfterStop is the RetryAfter of requests that arrive at a stopping instance.
// It is short because another instance can serve them immediately.
const retryAfterStop = 100 * time.Millisecond

// waitTimeoutDivisor is the fraction (1/waitTimeoutDivisor) of the time for a planned stop in which an
// accepted request must get a slot. What is dispatched later would probably be cut.
const waitTimeoutDivisor = 2

// beginDrain begins the planned stop and notifies the peers. Since a leaving instance
// owns no endpoints, its owner side refuses its queued reservations in the same
// step, and the entries send them to the new owners.
func (n *Node) beginDrain(now time.Time, m Drain) {
	if n.draining {
		return
	}
	n.draining = true
	n.closesAt = now.Add(m.Notice)
	if m.Timeout > 0 {
		n.givesUpAt = n.closesAt.Add(m.Timeout / waitTimeoutDivisor)
	}
	n.members.Leave(now)
}

// closed reports whether the instance accepts no more requests of callers.
func (n *Node) closed(now time.Time) bool { return n.draining && !now.Before(n.closesAt) }

// refuseStopping refuses a request that arrived after the notice.
func (n *Node) refuseStopping(now time.Time, a request.Arrival) {
	n.entry.Reject(now, a, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonStopping,
		RetryAfter: retryAfterStop, Message: "the instance is stopping"})
}

// tickDrain refuses the requests that still wait when it is too late to serve them before the process
// ends. Their callers can send them to another instance.
func (n *Node) tickDrain(now time.Time) {
	if n.draining && !n.givesUpAt.IsZero() && !now.Before(n.givesUpAt) {
		n.entry.RefuseWaiting(now, verdict.ReasonStopping, retryAfterStop)
	}
}

// sortedKeys returns the keys of a map in order, so that loops are deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
