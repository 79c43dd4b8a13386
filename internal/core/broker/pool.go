package broker

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pool is the engines of one pool in the zone, and the requests that wait for them.
type pool struct {
	id      entity.PoolID
	engines []*engine // sorted by id
	waiting []*job
	mean    pace
	// quickest is the least time that an engine in use takes for a token of a
	// prompt, 0 if there is none. It is out of date by a tick at most, while
	// paceChanged is set.
	quickest    time.Duration
	paceChanged bool
	// lookFrom is where the next search for an engine begins.
	lookFrom int
	// guarantee is the slots' time that ranks passed over may take; see guarantee.go.
	guarantee time.Duration
	// elsewhere is what the brokers of other zones have said.
	elsewhere map[entity.ZoneID]*otherZone
}

// otherZone is another zone's word on its free slots.
type otherZone struct {
	broker entity.InstanceID
	state  ZoneState
	// waits is the state's, and what was passed on there since.
	waits [rankClasses]time.Duration
	at    time.Time
}

func newPool(id entity.PoolID) *pool {
	return &pool{id: id, mean: defaultPace(), elsewhere: make(map[entity.ZoneID]*otherZone)}
}

// setEndpoints replaces the engines. One that started anew under its id knows
// nothing of before, and its runs are over.
func (p *pool) setEndpoints(rows []*catalog.Endpoint, zone entity.ZoneID) (lost []*run) {
	old := make(map[entity.EndpointID]*engine, len(p.engines))
	for _, e := range p.engines {
		old[e.row.ID] = e
	}
	p.engines = p.engines[:0]
	for _, row := range rows {
		if row.Zone != zone {
			continue
		}
		e := old[row.ID]
		if e == nil || e.row.Incarnation != row.Incarnation || e.row.Address != row.Address {
			e = newEngine(row, p.mean)
		} else {
			e.row = *row
			delete(old, row.ID)
		}
		p.engines = append(p.engines, e)
	}
	for _, e := range old {
		for _, r := range e.runs {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *run) int { return compareIDs(a.id, b.id) })
	return lost
}

// occupancy is how long a request would hold a slot, at the pool's mean pace.
func (p *pool) occupancy(j *job) time.Duration {
	return p.mean.occupancy(j.ask.PromptTokens, j.ask.AnswerTokens)
}

// engine returns an engine by its id.
func (p *pool) engine(id entity.EndpointID) *engine {
	for _, e := range p.engines {
		if e.row.ID == id {
			return e
		}
	}
	return nil
}

// slots is the number of requests that may run at a time on engines in use.
func (p *pool) slots(now time.Time, part float64) int {
	n := 0
	for _, e := range p.engines {
		if e.free(now, part) > 0 || len(e.runs) > 0 {
			n += e.limit(part)
		}
	}
	return n
}

// freeBeyond says that more than n slots are free.
func (p *pool) freeBeyond(now time.Time, part float64, n int) bool {
	for _, e := range p.engines {
		if n -= e.free(now, part); n < 0 {
			return true
		}
	}
	return false
}

// free is the number of free slots.
func (p *pool) free(now time.Time, part float64) int {
	n := 0
	for _, e := range p.engines {
		n += e.free(now, part)
	}
	return n
}

// fastest is the shortest time to a first event on any engine that is in use,
// with nobody else there.
func (p *pool) fastest(promptTokens int) (time.Duration, bool) {
	if p.quickest <= 0 {
		return 0, false
	}
	return pace{promptToken: p.quickest}.prefill(promptTokens) + dispatchOverhead, true
}

// setQuickest works out which engine processes prompts quickest.
func (p *pool) setQuickest() {
	p.quickest, p.paceChanged = 0, false
	for _, e := range p.engines {
		if !e.row.Leaving && (p.quickest == 0 || e.pace.promptToken < p.quickest) {
			p.quickest = e.pace.promptToken
		}
	}
}
