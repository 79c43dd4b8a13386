package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// RetryInterval is how long an entry waits before it asks again where nobody
// granted and it may not shed.
const RetryInterval = 50 * time.Millisecond

const (
	// moveSlackShare bounds the wait at home to a share of the time that is left.
	moveSlackShare = 5
	// maxMoveWait bounds it for work without a near deadline.
	maxMoveWait = time.Minute
)

// Settings of a Router.
type Settings struct {
	// Probes is how many owners are asked for a slot at once before the request
	// joins a queue.
	Probes int
	// HeadBlocks is how many blocks of the prompt decide where it goes.
	HeadBlocks int
	// MoveSlack is the time to its deadline for which a request would rather
	// wait as long as its prompt takes to process than go where the prompt is
	// not held. With more time it waits longer in proportion.
	MoveSlack time.Duration
	// LoadFactor bounds an endpoint's load, as a multiple of the mean.
	LoadFactor float64
	// Zone is the entry's own availability zone. Pools of more than Shortlist
	// endpoints are tried there first.
	Zone entity.ZoneID
	// ShortlistSize bounds the endpoints that are ranked for a request before all
	// of the pool are.
	ShortlistSize int
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{Probes: 4, HeadBlocks: 16, MoveSlack: time.Second, LoadFactor: 4, ShortlistSize: 64}
}
