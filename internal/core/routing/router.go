package routing

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// OwnedEndpoint is an endpoint and the instance that owns it. While Owner is
// empty, no slot of the endpoint can be requested and there is no guarantee for it.
type OwnedEndpoint struct {
	Endpoint entity.Endpoint
	Owner    entity.InstanceID
}

// Choice is an owner to send a reservation to, and the endpoint for which it was
// chosen.
type Choice struct {
	Owner    entity.InstanceID
	Endpoint entity.EndpointID
	// NoWait is set in the reservation: the owner refuses rather than queue it.
	NoWait bool
	// Refused is set by the caller when the owner refused the reservation.
	Refused bool
	// Infeasible is set by the caller when the refusal says that the owner's
	// endpoints could not meet the deadline even if idle.
	Infeasible bool
}

// Router chooses the owners that an entry instance sends reservations to.
type Router struct {
	settings      Settings
	pools         map[entity.PoolID]*pool
	endpoints     map[entity.EndpointID]*candidate
	owners        map[entity.InstanceID]*owner
	guarantees    guarantees
	speeds        *speed.Estimator
	filters       []Filter
	scorer        Scorer
	deprioritiser Deprioritiser
	order         []ranked // scratch slice, reused by each call of Next
}

// pool holds the endpoints of one pool.
type pool struct {
	candidates []*candidate
	owners     []entity.InstanceID // in the order of candidates
	byOwner    map[entity.InstanceID][]*candidate
	ring       []*candidate // nil for a small pool
}

// New returns a Router that knows no pools.
func New(s Settings) *Router {
	return &Router{
		settings:      s,
		pools:         make(map[entity.PoolID]*pool),
		endpoints:     make(map[entity.EndpointID]*candidate),
		owners:        make(map[entity.InstanceID]*owner),
		guarantees:    make(guarantees),
		speeds:        speed.New(),
		filters:       []Filter{Serves{}, Reachable{}},
		scorer:        Rendezvous{HeadBlocks: s.HeadBlocks},
		deprioritiser: BoundedLoad{Factor: s.LoadFactor},
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
		r.removeMissing(old, p)
	}
	r.pools[id] = p
	r.removeFormerOwners()
}

// removeFormerOwners deletes the state of instances that own no endpoint any more.
func (r *Router) removeFormerOwners() {
	owns := func(id entity.InstanceID) bool {
		for _, p := range r.pools {
			if p.byOwner[id] != nil {
				return true
			}
		}
		return false
	}
	maps.DeleteFunc(r.owners, func(id entity.InstanceID, _ *owner) bool { return !owns(id) })
	maps.DeleteFunc(r.guarantees, func(s scope, _ []guarantee) bool { return !owns(s.owner) })
}

// Next returns the next owner to ask for w, given the choices tried so far, and
// false if there is none for now.
func (r *Router) Next(now time.Time, w *entity.Work, tried []Choice) (Choice, bool) {
	p := r.pools[w.Pool]
	if p == nil {
		return Choice{}, false
	}
	if p.ring != nil {
		if c, ok, wait := r.choose(now, w, r.shortlist(now, p, w), tried); ok || wait {
			return c, ok
		}
	}
	c, ok, _ := r.choose(now, w, r.rank(now, p, w), tried)
	return c, ok
}

// choose returns the next owner to ask among the endpoints in order. If wait is
// set, the request should ask no other owner and keep its position in a queue.
func (r *Router) choose(now time.Time, w *entity.Work, order []ranked, tried []Choice) (c Choice, ok, wait bool) {
	probes, stage := summarise(tried)
	if len(order) == 0 {
		return Choice{}, false, false
	}
	wait = len(tried) > 0 && stage != stageRefused && r.prefersWaiting(now, w, order[0])
	if wait && stage == stageQueued {
		return Choice{}, false, true
	}
	if stage != stageProbing || (probes < r.settings.Probes && !wait) {
		if c, ok = r.probe(now, w, order, tried, stage); ok || stage != stageProbing {
			return c, ok, false
		}
	}
	c, ok = r.joinQueue(now, w, order, tried)
	return c, ok, false
}

// probe returns the first owner that was not tried yet, does not guarantee that
// nothing below w's tier runs, and is not known to be busy. After a refusal in a
// queue it also returns busy owners, to collect their guarantees.
func (r *Router) probe(now time.Time, w *entity.Work, order []ranked, tried []Choice, s stage) (Choice, bool) {
	for _, c := range order {
		if wasTried(tried, c.Owner, s) || r.guaranteed(now, c.Owner, w) {
			continue
		}
		if s != stageRefused && r.owner(c.Owner).busy(now, w.Tier) {
			continue
		}
		return Choice{Owner: c.Owner, Endpoint: c.Endpoint.ID, NoWait: s != stageRefused}, true
	}
	return Choice{}, false
}

// prefersWaiting reports whether w should wait for the preferred endpoint, which
// is likely to have its prompt cached, rather than go to another one.
func (r *Router) prefersWaiting(now time.Time, w *entity.Work, preferred ranked) bool {
	return r.owner(preferred.Owner).wait(now, w.Tier) < r.moveCost(now, w, preferred)
}

// moveCost returns the waiting time that w accepts to avoid another endpoint than
// the preferred one: the time to prefill its prompt, multiplied by the ratio of the
// time to the deadline to MoveSlack, and at most a fifth of the time to the deadline.
func (r *Router) moveCost(now time.Time, w *entity.Work, preferred ranked) time.Duration {
	prefill := r.speeds.Rates(&preferred.Endpoint).PrefillTime(w.PromptTokens)
	slack := moveSlackDivisor * maxMoveWait
	if !w.Deadline.IsZero() {
		slack = max(0, w.Deadline.Sub(now))
	}
	cost := time.Duration(float64(prefill) * float64(slack) / float64(r.settings.MoveSlack))
	return min(cost, slack/moveSlackDivisor)
}

// joinQueue returns the owner with the shortest expected queue. For all but the
// first in order, moveCost is added to the expected wait.
func (r *Router) joinQueue(now time.Time, w *entity.Work, order []ranked, tried []Choice) (Choice, bool) {
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

// MayShed reports whether w may be refused for overload: every owner of the pool
// guarantees that nothing below w's tier runs, or all of them have refused w as
// infeasible. An owner that does not answer still counts until membership assigns
// its endpoints to another one.
func (r *Router) MayShed(now time.Time, w *entity.Work, tried []Choice) bool {
	p := r.pools[w.Pool]
	if p == nil {
		return true
	}
	guaranteed, feasible := true, false
	for _, o := range p.owners {
		if r.servingDigest(o, w) == 0 {
			continue
		}
		guaranteed = guaranteed && r.guaranteed(now, o, w)
		feasible = feasible || !infeasible(tried, o)
	}
	return guaranteed || !feasible
}

// Reaches reports whether any reachable owner has an endpoint that could serve w.
func (r *Router) Reaches(now time.Time, w *entity.Work) bool {
	p := r.pools[w.Pool]
	if p == nil {
		return false
	}
	for _, o := range p.owners {
		if r.owner(o).reachable(now) && r.servingDigest(o, w) != 0 {
			return true
		}
	}
	return false
}

// guaranteed reports whether o guarantees that nothing below w's tier runs, or
// has no endpoint that could serve w.
func (r *Router) guaranteed(now time.Time, o entity.InstanceID, w *entity.Work) bool {
	digest := r.servingDigest(o, w)
	return digest == 0 || r.guarantees.inForce(now, o, w, digest)
}

// servingDigest returns the digest of o's endpoints that could serve w, 0 if none.
func (r *Router) servingDigest(o entity.InstanceID, w *entity.Work) eligible.Digest {
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

// removeMissing deletes the state of endpoints that are in old but not in now.
func (r *Router) removeMissing(old, now *pool) {
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

// stage is the stage of one request at its entry.
type stage int

const (
	stageProbing stage = iota // asks for a slot without waiting
	stageQueued               // waits in an owner's queue
	stageRefused              // was refused in a queue; looks for a slot, or guarantees that allow shedding
)

// summarise returns the number of probes and the stage that tried amounts to.
func summarise(tried []Choice) (probes int, s stage) {
	for _, c := range tried {
		switch {
		case c.NoWait:
			probes++
		case !c.Refused:
			return probes, stageQueued
		default:
			s = stageRefused
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

// wasTried reports whether o need not be asked again. After a refusal in a queue,
// owners that were only asked for a slot without waiting are asked a second time.
func wasTried(tried []Choice, o entity.InstanceID, s stage) bool {
	for _, c := range tried {
		if c.Owner == o && (s != stageRefused || !c.NoWait) {
			return true
		}
	}
	return false
}
