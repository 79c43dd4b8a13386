package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// closedFor is how long a pool has no base before it gets a new one: longer than any instance goes
// by an old statement.
const closedFor = 30 * time.Second

// Chooser chooses the bases of pools. One instance of the deployment has one that is used.
type Chooser struct {
	// firstStart is set if the deployment has just started for the first time: there are no streams.
	firstStart bool
	startedAt  time.Time
	pools      map[entity.PoolID]*observed
}

// observed is what a Chooser has seen of one pool.
type observed struct {
	// seen holds when an endpoint of each version was last seen.
	seen map[string]time.Time
	// closed is the revision of the statement that took the last base away, closedAt when it was seen.
	closed   uint64
	closedAt time.Time
}

// NewChooser returns a Chooser that has seen nothing.
func NewChooser(now time.Time, firstStart bool) *Chooser {
	return &Chooser{firstStart: firstStart, startedAt: now, pools: make(map[entity.PoolID]*observed)}
}

// Next returns a new statement about a pool's base, false if none is due. versions counts the
// endpoints of the pool by version; the newest statement is current, if stated is set.
func (c *Chooser) Next(now time.Time, pool entity.PoolID, versions map[string]int, current Base, stated bool) (Base, bool) {
	o := c.observe(now, pool, versions)
	next := Base{Pool: pool, Revision: current.Revision + 1}
	switch {
	case len(versions) == 0:
		return Base{}, false
	case !stated:
		next.Version = mostFrequent(versions)
		return next, next.Version != "" && (c.firstStart || now.Sub(c.startedAt) > Retention)
	case current.Version == "":
		if o.closed != current.Revision {
			o.closed, o.closedAt = current.Revision, now
		}
		next.Version = mostFrequent(versions)
		return next, next.Version != "" && now.Sub(o.closedAt) > closedFor
	}
	return next, c.gone(now, o, current.Version)
}

// observe records which versions are there now.
func (c *Chooser) observe(now time.Time, pool entity.PoolID, versions map[string]int) *observed {
	o := c.pools[pool]
	if o == nil {
		o = &observed{seen: make(map[string]time.Time)}
		c.pools[pool] = o
	}
	for v := range versions {
		o.seen[v] = now
	}
	return o
}

// gone reports whether no endpoint of a version has been seen for Retention.
func (c *Chooser) gone(now time.Time, o *observed, version string) bool {
	last, ok := o.seen[version]
	if !ok {
		last = c.startedAt
	}
	return now.Sub(last) > Retention
}

// mostFrequent returns the version with the most endpoints, of those the first by name.
func mostFrequent(versions map[string]int) string {
	names := slices.Collect(maps.Keys(versions))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(versions[b]-versions[a], cmp.Compare(a, b)) })
	return names[0]
}
