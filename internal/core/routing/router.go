package routing

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// OwnedEndpoint is an endpoint and the instance that owns it. One without an owner
// can't be asked for, and nothing is proved by it.
type OwnedEndpoint struct {
	Endpoint entity.Endpoint
	Owner    entity.InstanceID
}

// Choice is one owner to ask, and the endpoint for whose sake it is asked.
type Choice struct {
	Owner    entity.InstanceID
	Endpoint entity.EndpointID
	// NoWait goes into the reservation.
	NoWait bool
	// Refused is set by the caller when the owner has refused.
	Refused bool
	// Infeasible is set by the caller when the owner said that its endpoints
	// could not meet the deadline even with no one else there.
	Infeasible bool
}

// Router decides whom an entry instance asks.
type Router struct {
	settings  Settings
	pools     map[entity.PoolID]*pool
	endpoints map[entity.EndpointID]*candidate
	owners    map[entity.InstanceID]*owner
	floors    floors
	speeds    *speed.Estimator
	filters   []Filter
	scorer    Scorer
	picker    Deprioritiser
	order     []ranked // scratch
}

// pool is the endpoints of one pool.
type pool struct {
	candidates []*candidate
	owners     []entity.InstanceID // in the order of candidates
	byOwner    map[entity.InstanceID][]*candidate
	ring       []*candidate
}

// New returns a Router that knows no pools.
func New(s Settings) *Router {
	return &Router{
		settings:  s,
		pools:     make(map[entity.PoolID]*pool),
		endpoints: make(map[entity.EndpointID]*candidate),
		owners:    make(map[entity.InstanceID]*owner),
		floors:    make(floors),
		speeds:    speed.New(),
		filters:   []Filter{Serves{}, Reachable{}},
		scorer:    Rendezvous{HeadBlocks: s.HeadBlocks},
		picker:    BoundedLoad{Factor: s.LoadFactor},
	}
}

// SetPool replaces the endpoints of a pool.
func (r *Router) SetPool(id entity.PoolID, rows []OwnedEndpoint) {
	p := &pool{byOwner: make(map[entity.InstanceID][]*candidate)}
	for i := range rows {
		c, o := r.candidate(&rows[i]), rows[i].Owner
		p.candidates = append(p.candidates, c)
		if p.byOwner[o] == nil {
			p.owners = append(p.owners, o)
		}
		p.byOwner[o] = append(p.byOwner[o], c)
	}
	p.ring = r.ring(p.candidates)
	if old := r.pools[id]; old != nil {
		r.forget(old, p)
	}
	r.pools[id] = p
	r.forgetOwners()
}

// forgetOwners drops what is known of instances that own nothing any more.
func (r *Router) forgetOwners() {
	owns := func(id entity.InstanceID) bool {
		for _, p := range r.pools {
			if p.byOwner[id] != nil {
				return true
			}
		}
		return false
	}
	maps.DeleteFunc(r.owners, func(id entity.InstanceID, _ *owner) bool { return !owns(id) })
	maps.DeleteFunc(r.floors, func(s scope, _ []promise) bool { return !owns(s.owner) })
}

// Next returns whom to ask next for w, given the choices tried so far.
func (r *Router) Next(now time.Time, w *entity.Work, tried []Choice) (Choice, bool) {
	p := r.pools[w.Pool]
	if p == nil {
		return Choice{}, false
	}
	if p.ring != nil {
		if c, ok, stays := r.choose(now, w, r.shortlist(now, p, w), tried); ok || stays {
			return c, ok
		}
	}
	c, ok, _ := r.choose(now, w, r.rank(now, p, w), tried)
	return c, ok
}

// choose returns whom to ask next among the endpoints in order; stays says that
// the request is to wait where it is.
func (r *Router) choose(now time.Time, w *entity.Work, order []ranked, tried []Choice) (c Choice, ok, stays bool) {
	probes, stage := summarise(tried)
	if len(order) == 0 {
		return Choice{}, false, false
	}
	stays = len(tried) > 0 && stage != stageProving && r.stays(now, w, order[0])
	if stays && stage == stageWaiting {
		return Choice{}, false, true
	}
	if stage != stageProbing || (probes < r.settings.Probes && !stays) {
		if c, ok = r.probe(now, w, order, tried, stage); ok || stage != stageProbing {
			return c, ok, false
		}
	}
	c, ok = r.join(now, w, order, tried)
	return c, ok, false
}

// probe returns the first owner that was not tried yet, has not promised that
// it serves nothing below w, and was not found busy lately. Where proof is
// looked for, busy owners are asked as well.
func (r *Router) probe(now time.Time, w *entity.Work, order []ranked, tried []Choice, s stage) (Choice, bool) {
	for _, c := range order {
		if wasTried(tried, c.Owner, s) || r.promised(now, c.Owner, w) {
			continue
		}
		if s != stageProving && r.owner(c.Owner).busy(now, w.Tier) {
			continue
		}
		return Choice{Owner: c.Owner, Endpoint: c.Endpoint.ID, NoWait: s != stageProving}, true
	}
	return Choice{}, false
}

// stays says that w is better off waiting for its home, where its prompt is
// likely to be held, than going elsewhere.
func (r *Router) stays(now time.Time, w *entity.Work, home ranked) bool {
	return r.owner(home.Owner).wait(now, w.Tier) < r.moveCost(now, w, home)
}

// moveCost is what going elsewhere costs, as waiting time: the prompt's
// processing, and the more often that the longer w can wait at all.
func (r *Router) moveCost(now time.Time, w *entity.Work, home ranked) time.Duration {
	prefill := r.speeds.Rates(&home.Endpoint).PrefillTime(w.PromptTokens)
	slack := moveSlackShare * maxMoveWait
	if !w.Deadline.IsZero() {
		slack = max(0, w.Deadline.Sub(now))
	}
	cost := time.Duration(float64(prefill) * float64(slack) / float64(r.settings.MoveSlack))
	return min(cost, slack/moveSlackShare)
}

// join returns the owner with the shortest queue, as far as is known, with a
// preference for the first in order.
func (r *Router) join(now time.Time, w *entity.Work, order []ranked, tried []Choice) (Choice, bool) {
	var best *candidate
	var shortest time.Duration
	for i, c := range order {
		if infeasible(tried, c.Owner) {
			continue
		}
		wait := r.owner(c.Owner).wait(now, w.Tier)
		if i > 0 {
			wait += r.moveCost(now, w, order[0])
		}
		if best == nil || wait < shortest {
			best, shortest = c.candidate, wait
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Owner: best.Owner, Endpoint: best.Endpoint.ID}, true
}

// MayShed says that w may be refused: every owner of the pool has promised that
// it serves nothing below w, or all of them have said that they could not serve
// w in time even with no one else there. An owner that does not answer still
// counts, until membership gives its endpoints to another one.
func (r *Router) MayShed(now time.Time, w *entity.Work, tried []Choice) bool {
	p := r.pools[w.Pool]
	if p == nil {
		return true
	}
	promised, feasible := true, false
	for _, o := range p.owners {
		if r.covers(o, w) == 0 {
			continue
		}
		promised = promised && r.promised(now, o, w)
		feasible = feasible || !infeasible(tried, o)
	}
	return promised || !feasible
}

// Reaches says whether any owner in reach has an endpoint that could serve w.
func (r *Router) Reaches(now time.Time, w *entity.Work) bool {
	p := r.pools[w.Pool]
	if p == nil {
		return false
	}
	for _, o := range p.owners {
		if r.owner(o).reachable(now) && r.covers(o, w) != 0 {
			return true
		}
	}
	return false
}

func (r *Router) promised(now time.Time, o entity.InstanceID, w *entity.Work) bool {
	covers := r.covers(o, w)
	return covers == 0 || r.floors.holds(now, o, w, covers)
}

// covers is the digest of o's endpoints that could serve w.
func (r *Router) covers(o entity.InstanceID, w *entity.Work) eligible.Digest {
	var d eligible.Digest
	for _, c := range r.pools[w.Pool].byOwner[o] {
		if eligible.Serves(&c.Endpoint, w) {
			d ^= c.digest
		}
	}
	return d
}

func (r *Router) owner(id entity.InstanceID) *owner {
	o := r.owners[id]
	if o == nil {
		o = &owner{}
		r.owners[id] = o
	}
	return o
}

func (r *Router) candidate(row *OwnedEndpoint) *candidate {
	c := r.endpoints[row.Endpoint.ID]
	if c == nil {
		c = newCandidate(row.Endpoint.ID)
		r.endpoints[row.Endpoint.ID] = c
	}
	c.OwnedEndpoint = *row
	return c
}

func (r *Router) forget(old, now *pool) {
	kept := make(map[entity.EndpointID]bool, len(now.candidates))
	for _, c := range now.candidates {
		kept[c.Endpoint.ID] = true
	}
	for _, c := range old.candidates {
		if !kept[c.Endpoint.ID] {
			delete(r.endpoints, c.Endpoint.ID)
			r.speeds.Remove(c.Endpoint.ID)
		}
	}
}

// stage is how far an entry has come with one request.
type stage int

const (
	stageProbing stage = iota // asks for a slot at once
	stageWaiting              // has a place in a queue
	stageProving              // was refused there, and looks for room or proof
)

func summarise(tried []Choice) (probes int, s stage) {
	for _, c := range tried {
		switch {
		case c.NoWait:
			probes++
		case !c.Refused:
			return probes, stageWaiting
		default:
			s = stageProving
		}
	}
	return probes, s
}

func infeasible(tried []Choice, o entity.InstanceID) bool {
	for _, c := range tried {
		if c.Owner == o && c.Infeasible {
			return true
		}
	}
	return false
}

// wasTried says that there is no use in asking o again. For proof, owners that
// had no slot at once are asked a second time.
func wasTried(tried []Choice, o entity.InstanceID, s stage) bool {
	for _, c := range tried {
		if c.Owner == o && (s != stageProving || !c.NoWait) {
			return true
		}
	}
	return false
}
