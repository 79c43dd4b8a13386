package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/retry"
)

// assumedInstances is the number of instances that is assumed until it is known.
const assumedInstances = 16

// retries holds the retry budget of each pool. It is safe for concurrent use.
type retries struct {
	settings  Settings
	mu        sync.Mutex
	budgets   map[entity.PoolID]*retry.FleetBudget
	instances int
}

func newRetries(s Settings) *retries {
	return &retries{settings: s, budgets: make(map[entity.PoolID]*retry.FleetBudget), instances: assumedInstances}
}

func (r *retries) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = max(1, n)
}

// recordRequest records the first attempt of a request, which adds to the budget.
func (r *retries) recordRequest(pool entity.PoolID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool).Request()
}

// take takes one retry from a pool's budget. It reports whether there was one.
func (r *retries) take(pool entity.PoolID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(pool).Take(time.Now(), r.instances)
}

// budget returns the budget of a pool, and creates it if necessary. r.mu must be held.
func (r *retries) budget(pool entity.PoolID) *retry.FleetBudget {
	b := r.budgets[pool]
	if b == nil {
		b = retry.NewFleetBudget(r.settings.RetryRatio, r.settings.RetryAllowance, r.settings.RetryWindow, r.instances)
		r.budgets[pool] = b
	}
	return b
}
