package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Choice says which versions of a pool a new request may be sent to.
type Choice struct {
	// Only is the only version that may get the request, empty if several may.
	Only string
	// Not lists versions that must not get it.
	Not []string
	// Spread is the share of the endpoints of Only that may get it, 0 for all.
	Spread float64
}

// overfill is the part of an endpoint's load that the endpoints of a share may have too much together, rather than
// being half empty.
const overfill = 0.25

// turn is how long the requests of a share go to the same endpoints.
const turn = time.Second

// Spreads reports whether the endpoint with an index, of a number of endpoints of the version Only, may get the
// request now. Those that get a share are as busy as they would be with all requests, since some versions are
// bad only under load. They take turns: what is learned of the version must come from several.
func (c *Choice) Spreads(now time.Time, index, of int) bool {
	return c.Only == "" || Spreads(now, c.Spread, index, of)
}

// Spreads is Choice.Spreads for a share of the endpoints.
func Spreads(now time.Time, share float64, index, of int) bool {
	if share <= 0 || share >= 1 || of <= 0 {
		return true
	}
	size := max(1, int(math.Ceil(share*float64(of)-overfill)))
	first := int(now.UnixNano()/int64(turn)) * size % of
	return (index-first+of)%of < size
}

// Free reports whether the choice leaves everything open.
func (c *Choice) Free() bool { return c.Only == "" && len(c.Not) == 0 }

// Request is what a choice depends on.
type Request struct {
	Pool  entity.PoolID
	Route string
	// Retry is set if an endpoint has failed the request before.
	Retry bool
	// Versions are the versions of the pool's endpoints that are not leaving, sorted.
	Versions []string
	// ProvedAt is the time on the clock since boot up to which all published orders are known here.
	ProvedAt time.Duration
}

// Choose decides which versions a new request may be sent to. It records the versions that serve now,
// and, unless the request is a retry, advances the pacer of its route.
func (t *Table) Choose(boot time.Duration, r Request) Choice {
	w, ordered := t.Word(boot, r.Pool)
	t.SetVersions(boot, r.Pool, r.Versions)
	unproved := t.unproved(r)
	if !ordered {
		return avoiding(r.Versions, nil, unproved)
	}
	avoid := slices.Clone(w.Banned)
	serves := slices.Contains(r.Versions, w.Target)
	switch {
	case w.Target == "" || !serves:
	case w.State == StateDone:
		return avoiding(r.Versions, w.Old, nil)
	case w.State != StateRunning || w.Age > FreshFor:
		avoid = append(avoid, w.Target)
	case w.Share >= 1 || !r.Retry && t.pace(r, w.Share):
		return Choice{Only: w.Target, Spread: w.Share}
	default:
		avoid = append(avoid, w.Target)
	}
	return avoiding(r.Versions, avoid, unproved)
}

// Allows reports whether a request for which a choice was made a while ago may still go to a version: words may
// have come since.
func (t *Table) Allows(boot time.Duration, r Request, c Choice, version string) bool {
	w, ordered := t.Word(boot, r.Pool)
	if ordered && version == c.Only && version == w.Target && w.State == StateRunning && w.Share > 0 && w.Age <= FreshFor {
		return true
	}
	r.Retry = true // the pacer has counted the request
	now := t.Choose(boot, r)
	return !slices.Contains(now.Not, version) && (now.Only == "" || now.Only == version || !slices.Contains(w.Old, version))
}

// MayResume reports whether a stream that a version began may go on there.
func (t *Table) MayResume(boot time.Duration, pool entity.PoolID, version string) bool {
	w, ok := t.Word(boot, pool)
	if !ok {
		return true
	}
	return !slices.Contains(w.Banned, version) && (w.Target != version || w.State != StateRolledBack)
}

// avoiding returns the choice that keeps a request away from versions, if another one serves. If all others
// are unproved, those may be used.
func avoiding(versions, avoid, unproved []string) Choice {
	for _, not := range [][]string{slices.Concat(avoid, unproved), avoid} {
		rest := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(not, v) })
		if len(rest) > 0 {
			return Choice{Not: slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(rest, v) })}
		}
	}
	return Choice{}
}

// pace reports whether the next request of a route is one of the share. Each route has its own
// pacer, so that each gets its part.
func (t *Table) pace(r Request, share float64) bool {
	if share <= 0 {
		return false
	}
	pacers := t.rows[r.Pool].pacers
	due, known := pacers[r.Route]
	if !known {
		due = fraction(t.seed + "/" + string(r.Pool) + "/" + r.Route)
	}
	due += share
	chosen := due >= 1
	if chosen {
		due -= math.Floor(due)
	}
	pacers[r.Route] = due
	return chosen
}

// fraction returns a value in [0, 1) that a name determines.
func fraction(name string) float64 {
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// poolVersions is what is known of the versions of one pool.
type poolVersions struct {
	// known holds the versions that were there before orders were last read.
	known map[string]bool
	// seenAt is when each other version appeared.
	seenAt map[string]time.Duration
}

// sinceStart is when the versions appeared that are there when a pool is first seen: before the orders were
// first read.
const sinceStart = time.Duration(1)

// SetVersions records the versions of a pool's endpoints. A version that joins others may be the
// target of an order that is not known yet.
func (t *Table) SetVersions(boot time.Duration, pool entity.PoolID, versions []string) {
	p := t.versions[pool]
	if p == nil {
		p = &poolVersions{known: make(map[string]bool), seenAt: make(map[string]time.Duration)}
		t.versions[pool] = p
		boot = sinceStart
	}
	if len(versions) == 1 {
		p.known[versions[0]] = true
	}
	for _, v := range versions {
		if _, seen := p.seenAt[v]; !seen && !p.known[v] {
			p.seenAt[v] = boot
		}
	}
}

// unproved returns the versions that appeared after the orders were last read, and records the others
// as known.
func (t *Table) unproved(r Request) (out []string) {
	p := t.versions[r.Pool]
	if p == nil || len(p.seenAt) == 0 {
		return nil
	}
	for v, at := range p.seenAt {
		if r.ProvedAt >= at {
			p.known[v] = true
			delete(p.seenAt, v)
			continue
		}
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}

// Reserved returns the versions of a pool that get requests only if these are meant for them.
func (t *Table) Reserved(boot time.Duration, pool entity.PoolID) []string {
	w, ok := t.Word(boot, pool)
	switch {
	case !ok || w.Target == "":
		return nil
	case w.State == StateDone, w.State == StateRunning && w.Share >= 1 && w.Age <= FreshFor:
		return w.Old
	}
	return append(slices.Clone(w.Banned), w.Target)
}
