package platformsvc

import (
	"context"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

var _ platform.InstanceList = (*Service)(nil)

// listChange is one change of the list. Changes are retained so that List can return an earlier
// state.
type listChange struct {
	at      time.Time
	in      entity.Instance
	removed bool
}

// Register implements platform.InstanceList.
func (s *Service) Register(ctx context.Context, in entity.Instance) error {
	return s.changeList(ctx, listChange{in: in})
}

// Deregister implements platform.InstanceList.
func (s *Service) Deregister(ctx context.Context, id entity.InstanceID) error {
	return s.changeList(ctx, listChange{in: entity.Instance{ID: id}, removed: true})
}

// changeList records a change with the current time.
func (s *Service) changeList(ctx context.Context, l listChange) error {
	if err := s.applyListOutage(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.at = s.now()
	s.listChanges = append(s.listChanges, l)
	s.pruneChanges(l.at)
	return nil
}

// List implements platform.InstanceList. It returns the list as of ListLagSec ago, sorted by id.
func (s *Service) List(ctx context.Context) ([]entity.Instance, error) {
	if err := s.applyListOutage(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.now().Add(-seconds(s.faults.ListLagSec))
	latest := make(map[entity.InstanceID]listChange)
	for _, l := range s.listChanges {
		if !l.at.After(asOf) {
			latest[l.in.ID] = l
		}
	}
	var out []entity.Instance
	for _, l := range latest {
		expired := s.faults.ListExpirySec > 0 && asOf.Sub(l.at) > seconds(s.faults.ListExpirySec)
		if !l.removed && !expired {
			out = append(out, l.in)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// pruneChanges removes changes that no later List can need. The caller holds the lock.
func (s *Service) pruneChanges(now time.Time) {
	keep := seconds(s.faults.ListLagSec+s.faults.ListExpirySec) + time.Minute
	if s.faults.ListExpirySec <= 0 {
		return
	}
	drop := 0
	for drop < len(s.listChanges) && now.Sub(s.listChanges[drop].at) > keep {
		drop++
	}
	s.listChanges = s.listChanges[drop:]
}

// applyListOutage returns the error of an outage of the list, if there is one. It is called at the
// start of each call.
func (s *Service) applyListOutage(ctx context.Context) error {
	if err := outageError(ctx, s.Faults().ListOutage); err != nil {
		return trace.Wrap(platform.ErrUnavailable, "%v", err)
	}
	return ctx.Err()
}
