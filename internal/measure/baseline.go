package measure

import (
	"math/rand"
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// roundRobin keeps one FIFO queue per pool, and dispatches its first request to the next
// endpoint in turn that has a free slot.
type roundRobin struct {
	run        *run
	queues     map[entity.PoolID][]*requestState
	running    map[entity.EndpointID]int
	nextRow    map[entity.PoolID]int
	endpointOf map[*requestState]entity.EndpointID
}

func newRoundRobin(r *run) policy {
	return &roundRobin{
		run: r, queues: make(map[entity.PoolID][]*requestState), running: make(map[entity.EndpointID]int),
		nextRow: make(map[entity.PoolID]int), endpointOf: make(map[*requestState]entity.EndpointID),
	}
}

func (p *roundRobin) submit(r *requestState) {
	r.onComplete = func() { p.release(r) }
	pool := r.a.work.Pool
	p.queues[pool] = append(p.queues[pool], r)
	p.next(pool)
}

// next dispatches queued requests of a pool while one of its endpoints has a free slot.
func (p *roundRobin) next(pool entity.PoolID) {
	rows := p.run.rows
	for len(p.queues[pool]) > 0 {
		if p.queues[pool][0].finished {
			p.queues[pool] = p.queues[pool][1:]
			continue
		}
		found := false
		for i := range rows {
			k := (p.nextRow[pool] + i) % len(rows)
			if rows[k].Pool != pool || p.running[rows[k].ID] >= rows[k].Slots {
				continue
			}
			r := p.queues[pool][0]
			p.queues[pool] = p.queues[pool][1:]
			p.nextRow[pool] = k + 1
			p.running[rows[k].ID]++
			p.endpointOf[r] = rows[k].ID
			r.dispatch(p.run.endpoints[rows[k].ID])
			found = true
			break
		}
		if !found {
			return
		}
	}
}

// release releases the slot of r, if it has one.
func (p *roundRobin) release(r *requestState) {
	id, ok := p.endpointOf[r]
	if !ok {
		return
	}
	delete(p.endpointOf, r)
	p.running[id]--
	p.next(r.a.work.Pool)
}

func (p *roundRobin) requestCancelled(r *requestState) { p.release(r) }

func (p *roundRobin) instanceKilled(_ int, lost []*requestState) {
	for _, r := range lost {
		p.release(r)
	}
}

func (p *roundRobin) messages() int { return 0 }

// direct dispatches every request immediately to the endpoint that choose returns.
type direct struct {
	run         *run
	rng         *rand.Rand
	outstanding map[entity.EndpointID]int
	choose      func(p *direct, rows []entity.Endpoint) entity.EndpointID
}

// newTwoChoices returns a policy that chooses the less loaded of two random endpoints,
// according to their latest load reports.
func newTwoChoices(r *run) policy {
	return newDirect(r, func(p *direct, rows []entity.Endpoint) entity.EndpointID {
		a, b := rows[p.rng.Intn(len(rows))].ID, rows[p.rng.Intn(len(rows))].ID
		if r.loads[b] < r.loads[a] {
			return b
		}
		return a
	})
}

// newLeastOutstanding returns a policy that chooses the endpoint with the fewest
// outstanding requests, counted over all instances without any lag.
func newLeastOutstanding(r *run) policy {
	return newDirect(r, func(p *direct, rows []entity.Endpoint) entity.EndpointID {
		best := rows[0].ID
		for _, row := range rows {
			if p.outstanding[row.ID] < p.outstanding[best] {
				best = row.ID
			}
		}
		return best
	})
}

func newDirect(r *run, choose func(*direct, []entity.Endpoint) entity.EndpointID) policy {
	return &direct{run: r, rng: rand.New(rand.NewSource(1)), outstanding: make(map[entity.EndpointID]int), choose: choose}
}

func (p *direct) submit(r *requestState) {
	rows := slices.DeleteFunc(slices.Clone(p.run.rows), func(e entity.Endpoint) bool { return e.Pool != r.a.work.Pool })
	id := p.choose(p, rows)
	p.outstanding[id]++
	done := func() { p.outstanding[id]-- }
	r.onComplete = done
	r.dispatch(p.run.endpoints[id])
}

func (p *direct) requestCancelled(r *requestState) { r.onComplete() }

func (p *direct) instanceKilled(_ int, lost []*requestState) {
	for _, r := range lost {
		r.onComplete()
	}
}

func (p *direct) messages() int { return 0 }
