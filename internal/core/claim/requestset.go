package claim

import "github.com/medlarhold/medlarhold/internal/core/entity"

// requestSet is a bounded set of requests with the instances that sent them. When
// it is full, the oldest request is removed.
type requestSet struct {
	max   int
	from  map[entity.RequestID]entity.InstanceID
	order []entity.RequestID
}

func newRequestSet(maxSize int) *requestSet {
	return &requestSet{max: maxSize, from: make(map[entity.RequestID]entity.InstanceID)}
}

func (s *requestSet) add(r entity.RequestID, from entity.InstanceID) {
	if _, ok := s.from[r]; !ok {
		s.order = append(s.order, r)
	}
	s.from[r] = from
	for len(s.order) > s.max {
		delete(s.from, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *requestSet) remove(r entity.RequestID) { s.take(r) }

// take removes a request and returns the instance that sent it.
func (s *requestSet) take(r entity.RequestID) (entity.InstanceID, bool) {
	from, ok := s.from[r]
	delete(s.from, r)
	return from, ok
}
