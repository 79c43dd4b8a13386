package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// scope is what a promise is about.
type scope struct {
	owner   entity.InstanceID
	pool    entity.PoolID
	model   entity.ModelID
	adapter entity.AdapterID
}

// promise is what one refusal said.
type promise struct {
	floor  entity.Tier
	until  time.Time
	covers eligible.Digest
}

// floors holds the promises that owners have given, per scope.
type floors map[scope][]promise

func scopeOf(o entity.InstanceID, w *entity.Work) scope {
	return scope{owner: o, pool: w.Pool, model: w.Model, adapter: w.Adapter}
}

// add takes in a refusal to a question sent at sentAt, and forgets promises
// that have run out.
func (f floors) add(now time.Time, o entity.InstanceID, w *entity.Work, r *entity.Refusal, sentAt time.Time) {
	s := scopeOf(o, w)
	kept := f[s][:0]
	for _, p := range f[s] {
		if now.Before(p.until) && p.floor != r.Floor {
			kept = append(kept, p)
		}
	}
	if r.FloorFor > 0 {
		kept = append(kept, promise{floor: r.Floor, until: sentAt.Add(r.FloorFor), covers: eligible.Digest(r.EndpointsDigest)})
	}
	f[s] = kept
}

// holds says that o has promised, for the very endpoints named by covers, that
// nothing below w's tier runs.
func (f floors) holds(now time.Time, o entity.InstanceID, w *entity.Work, covers eligible.Digest) bool {
	for _, p := range f[scopeOf(o, w)] {
		if p.floor <= w.Tier && now.Before(p.until) && p.covers == covers {
			return true
		}
	}
	return false
}
