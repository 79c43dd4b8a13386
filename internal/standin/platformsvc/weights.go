package platformsvc

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

var _ platform.WeightStore = (*Service)(nil)

// PutWeights stores weights of the given size.
func (s *Service) PutWeights(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights[name] = bytes
}

// Stat implements platform.WeightStore.
func (s *Service) Stat(ctx context.Context, name string) (int64, error) {
	if err := outageError(ctx, s.Faults().WeightsOutage); err != nil {
		return 0, trace.Wrap(platform.ErrUnavailable, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.weights[name]
	if !ok {
		return 0, trace.NotFound("weights %q are not in the store", name)
	}
	return n, nil
}

// Download queues a download behind all earlier ones, which share WeightBytesPerSec, and returns
// the time at which its last byte arrives.
func (s *Service) Download(ctx context.Context, name string) (time.Time, error) {
	n, err := s.Stat(ctx, name)
	if err != nil {
		return time.Time{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.downloadsEnd.Before(now) {
		s.downloadsEnd = now
	}
	if perSec := s.faults.WeightBytesPerSec; perSec > 0 {
		s.downloadsEnd = s.downloadsEnd.Add(seconds(float64(n) / perSec))
	}
	return s.downloadsEnd, nil
}
