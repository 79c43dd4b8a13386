package platformsvc

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Options are the settings of a Service. The zero value selects the real clock and DefaultFaults.
type Options struct {
	// Now returns the service's time.
	Now func() time.Time
	// Sleep waits for d or until ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error
	// Faults are the initial faults; nil means DefaultFaults.
	Faults *Faults
}

// Service is an in-memory platform. It is safe for concurrent use.
type Service struct {
	now   func() time.Time
	sleep func(context.Context, time.Duration) error

	mu           sync.Mutex
	faults       Faults
	appends      *rate.Limiter
	appended     int64
	streams      map[platform.Stream]*stream
	listChanges  []listChange
	weights      map[string]int64
	downloadsEnd time.Time // when the last queued download ends
}

// New returns an empty platform.
func New(o Options) *Service {
	s := &Service{
		now:     o.Now,
		sleep:   o.Sleep,
		streams: make(map[platform.Stream]*stream),
		weights: make(map[string]int64),
	}
	if s.now == nil {
		s.now = time.Now
	}
	if s.sleep == nil {
		s.sleep = sleep
	}
	f := DefaultFaults()
	if o.Faults != nil {
		f = *o.Faults
	}
	s.SetFaults(f)
	return s
}

// SetFaults replaces all faults and limits.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appends == nil || f.AppendsPerSec != s.faults.AppendsPerSec {
		s.appends = newLimiter(f.AppendsPerSec)
	}
	s.faults = f
}

// Faults returns the faults and limits in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// AppendCount returns the number of records appended to all streams since the start.
func (s *Service) AppendCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appended
}

// newLimiter returns a limiter of perSec events a second with a burst of one second's worth.
func newLimiter(perSec float64) *rate.Limiter {
	if perSec <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSec), max(1, int(perSec)))
}

// sleep waits on the real clock.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
