package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// RetryInterval is how long an entry waits before it asks the owners again when
// none granted a slot and it may not shed the request.
const RetryInterval = 50 * time.Millisecond

const (
	// moveSlackDivisor bounds the wait for the preferred endpoint to a fifth of
	// the time until the deadline.
	moveSlackDivisor = 5
	// maxMoveWait bounds this wait for work without a deadline.
	maxMoveWait = time.Minute
)

// Settings of a Router.
type Settings struct {
	// Probes is how many owners are asked for a slot without waiting before the
	// request joins a queue.
	Probes int
	// HeadBlocks is how many blocks at the start of the prompt are hashed to
	// choose its endpoint.
	HeadBlocks int
	// MoveSlack sets how long a request waits rather than go to an endpoint that
	// does not have its prompt cached. If the time to the deadline is MoveSlack,
	// the request waits as long as its prefill would take; the wait is
	// proportional to the time to the deadline, and at most a fifth of it.
	MoveSlack time.Duration
	// LoadFactor is the Factor of BoundedLoad: the load above which an endpoint is
	// deprioritised, as a multiple of its share by weight.
	LoadFactor float64
	// Zone is the local availability zone. Pools of more than ShortlistSize
	// endpoints are tried there first.
	Zone entity.ZoneID
	// ShortlistSize is how many endpoints are ranked for a request before the
	// whole pool is.
	ShortlistSize int
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{Probes: 4, HeadBlocks: 16, MoveSlack: time.Second, LoadFactor: 4, ShortlistSize: 64}
}
