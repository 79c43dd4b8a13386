package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// scope identifies the requests that a guarantee applies to.
type scope struct {
	owner   entity.InstanceID
	pool    entity.PoolID
	model   entity.ModelID
	adapter entity.AdapterID
}

// guarantee is what an owner guaranteed with a refusal: until the given time
// nothing below tier floor runs or is granted on its endpoints with this digest.
type guarantee struct {
	floor  entity.Tier
	until  time.Time
	digest eligible.Digest
}

// guarantees holds the guarantees that owners have given, per scope.
type guarantees map[scope][]guarantee

func scopeOf(o entity.InstanceID, w *entity.Work) scope {
	return scope{owner: o, pool: w.Pool, model: w.Model, adapter: w.Adapter}
}

// add stores the guarantee of a refusal that answers a reservation sent at
// sentAt. It replaces one with the same floor and discards expired ones.
func (g guarantees) add(now time.Time, o entity.InstanceID, w *entity.Work, r *entity.Refusal, sentAt time.Time) {
	s := scopeOf(o, w)
	kept := g[s][:0]
	for _, x := range g[s] {
		if now.Before(x.until) && x.floor != r.Floor {
			kept = append(kept, x)
		}
	}
	if r.FloorFor > 0 {
		kept = append(kept, guarantee{floor: r.Floor, until: sentAt.Add(r.FloorFor), digest: eligible.Digest(r.EndpointsDigest)})
	}
	g[s] = kept
}

// inForce reports whether o guarantees, for exactly the endpoints of digest,
// that nothing below w's tier runs.
func (g guarantees) inForce(now time.Time, o entity.InstanceID, w *entity.Work, digest eligible.Digest) bool {
	for _, x := range g[scopeOf(o, w)] {
		if x.floor <= w.Tier && now.Before(x.until) && x.digest == digest {
			return true
		}
	}
	return false
}
