package routing

import "time"

// RetryInterval is how long an entry waits before it asks again where nobody
// granted and it may not shed.
const RetryInterval = 50 * time.Millisecond

// Settings of a Router.
type Settings struct {
	// Probes is how many owners are asked for a slot at once before the request
	// joins a queue.
	Probes int
	// HeadBlocks is how many blocks of the prompt decide where it goes.
	HeadBlocks int
	// LoadFactor bounds an endpoint's load, as a multiple of the mean.
	LoadFactor float64
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{Probes: 4, HeadBlocks: 4, LoadFactor: 1.25}
}
