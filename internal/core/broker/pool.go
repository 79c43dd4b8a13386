package broker

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/appointment"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pool is the engines of one pool in the zone, and the requests that wait for them.
type pool struct {
	id      entity.PoolID
	engines []*engine // sorted by id
	waiting []*job
	memory  memory
	mean    tokenTimes
	fixed   fixedTime
	// minPerPromptToken is the minimum time per prompt token among the engines that are not
	// leaving, 0 if there are none. While timesChanged is set it is out of date, by one tick at most.
	minPerPromptToken time.Duration
	timesChanged      bool
	// reserved lists the software versions that get only requests that are meant for them.
	reserved []string
	// first estimates the time to a first event of engines that state their slowdown; minSlowness is the
	// minimum of their slowness, 0 unless all engines state it. It is as old as minPerPromptToken.
	first       firstEventModel
	minSlowness float64
	// searchStart is the index of the engine at which the next search begins.
	searchStart int
	// guaranteeCredit is the slot time that starving ranks may use, see guarantee.go.
	guaranteeCredit time.Duration
	// takenOverAt is when this broker began to grant the pool's slots, zero if it is not known.
	takenOverAt time.Time
	// ranks holds the state of each rank.
	ranks map[int]*rankState
	// book holds the appointments of refused callers.
	book *appointment.Book
	// remoteZones holds the last state received from the brokers of other zones.
	remoteZones map[entity.ZoneID]*remoteZone
}

// remoteZone is the state of the pool in another zone, as its broker reported it.
type remoteZone struct {
	broker entity.InstanceID
	state  ZoneState
	// waits is the reported wait by rank, plus that of requests forwarded there since.
	waits      [rankClasses]time.Duration
	receivedAt time.Time
}

func newPool(id entity.PoolID) *pool {
	return &pool{id: id, mean: defaultTokenTimes(), ranks: make(map[int]*rankState), book: appointment.New(), remoteZones: make(map[entity.ZoneID]*remoteZone)}
}

// setEndpoints replaces the engines and returns the runs of those that were removed or restarted. A
// restarted engine, which has the same id and another incarnation or address, begins without runs
// and samples.
func (p *pool) setEndpoints(rows []*catalog.Endpoint, zone entity.ZoneID) (lost []*run) {
	old := make(map[entity.EndpointID]*engine, len(p.engines))
	for _, e := range p.engines {
		old[e.endpoint.ID] = e
	}
	p.engines = p.engines[:0]
	for _, row := range rows {
		if row.Zone != zone {
			continue
		}
		e := old[row.ID]
		if e == nil || e.endpoint.Incarnation != row.Incarnation || e.endpoint.Address != row.Address {
			e = newEngine(row, p)
		} else {
			e.endpoint = *row
			e.service.limiter.SetSlots(row.Slots)
			delete(old, row.ID)
		}
		p.engines = append(p.engines, e)
	}
	for _, e := range old {
		for _, r := range e.runs {
			lost = append(lost, r)
		}
	}
	p.setReserved()
	slices.SortFunc(lost, func(a, b *run) int { return compareIDs(a.id, b.id) })
	return lost
}

// occupancy estimates how long a request would occupy a slot, from the pool's mean token times. Those
// to plain services state no tokens.
func (p *pool) occupancy(j *job) time.Duration {
	return p.occupancyOf(j.request.PromptTokens, j.request.AnswerTokens)
}

// occupancyOf estimates the same for a prompt and an answer.
func (p *pool) occupancyOf(promptTokens, answerTokens int) time.Duration {
	return max(dispatchOverhead, p.fixed.beyondOverhead()+p.mean.occupancy(promptTokens, answerTokens))
}

// engine returns the engine with the given id, nil if there is none.
func (p *pool) engine(id entity.EndpointID) *engine {
	for _, e := range p.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

// freeExceeds reports whether more than n slots are free.
func (p *pool) freeExceeds(now time.Time, slotShare float64, n int) bool {
	for _, e := range p.engines {
		if n -= e.free(now, slotShare); n < 0 {
			return true
		}
	}
	return false
}

// free returns the number of free slots that are not reserved.
func (p *pool) free(now time.Time, slotShare float64) int {
	n := 0
	for _, e := range p.engines {
		if !e.reserved {
			n += e.free(now, slotShare)
		}
	}
	return n
}

// fastestFirstEvent estimates the time to the first event on the fastest engine if it were idle.
// Engines that are leaving are skipped. It returns false if there is no other.
func (p *pool) fastestFirstEvent(promptTokens int) (time.Duration, bool) {
	if !p.hasEngines() {
		return 0, false
	}
	if d, ok := p.fastestByModel(promptTokens); ok {
		return d, true
	}
	return tokenTimes{perPromptToken: p.minPerPromptToken}.prefill(promptTokens) + p.fixed.estimate(), true
}

// hasEngines reports whether the pool has an engine that is not leaving.
func (p *pool) hasEngines() bool { return p.minPerPromptToken > 0 }

// versions returns the software versions of the engines that are not leaving, sorted.
func (p *pool) versions() []string {
	var out []string
	for _, e := range p.engines {
		if !e.endpoint.Leaving && e.endpoint.Version != "" {
			out = append(out, e.endpoint.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// updateMinPerPromptToken recomputes minPerPromptToken.
func (p *pool) updateMinPerPromptToken() {
	p.minPerPromptToken, p.timesChanged = 0, false
	p.updateMinSlowness()
	p.suspectSlow()
	for _, e := range p.engines {
		if !e.endpoint.Leaving && (p.minPerPromptToken == 0 || e.times.perPromptToken < p.minPerPromptToken) {
			p.minPerPromptToken = e.times.perPromptToken
		}
	}
}
