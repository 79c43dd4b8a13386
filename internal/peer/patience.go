package peer

import (
	"sync"
	"time"
)

// patience is how long acknowledgements may take before a connection is replaced. Where this
// instance or its peers get too little processor time, all of them come late: connections opened
// anew and messages sent again would then add to the load. A connection that is dead while others
// are fast is replaced after the shortest time.
type patience struct {
	shortest time.Duration

	mu    sync.Mutex
	value time.Duration
}

const (
	// maxPatienceFactor bounds the patience, in exchange timeouts.
	maxPatienceFactor = 8
	// patienceGrowth is the factor of the patience for a connection that was replaced,
	// patienceDecay that for an acknowledgement which came sooner than a patienceMargin-th of it.
	patienceGrowth = 1.5
	patienceDecay  = 0.9
	patienceMargin = 4
)

func newPatience(shortest time.Duration) *patience {
	return &patience{shortest: shortest, value: shortest}
}

func (p *patience) current() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.value
}

// timedOut records a connection that is replaced because an acknowledgement did not come.
func (p *patience) timedOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = min(time.Duration(patienceGrowth*float64(p.value)), maxPatienceFactor*p.shortest)
}

// acknowledged records an acknowledgement that took a time.
func (p *patience) acknowledged(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took < p.value/patienceMargin {
		p.value = max(time.Duration(patienceDecay*float64(p.value)), p.shortest)
	}
}
