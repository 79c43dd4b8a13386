package quarantine

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// servedFor is how long a part is at least remembered after it was served, unless
	// there are more than maxServed others.
	servedFor = 5 * time.Minute
	// maxServed is the number of parts in one generation of the memory.
	maxServed = 4096
)

// served remembers when this instance last found each part sound. It keeps two generations
// and drops the older one when the newer one is full or old.
type served struct {
	current, previous map[entity.PartID]time.Time
	since             time.Time // when the current generation began
}

// record records that a part was found sound now.
func (s *served) record(now time.Time, part entity.PartID) {
	if s.current == nil || len(s.current) >= maxServed || now.Sub(s.since) >= servedFor {
		s.previous = s.current
		s.current = make(map[entity.PartID]time.Time)
		s.since = now
	}
	s.current[part] = now
}

// at returns when a part was last found sound.
func (s *served) at(part entity.PartID) (time.Time, bool) {
	if at, ok := s.current[part]; ok {
		return at, true
	}
	at, ok := s.previous[part]
	return at, ok
}
