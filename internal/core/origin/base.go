package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// goneFor is how long a pool has no endpoint of its base, while others serve, before the base is taken
	// away: longer than an endpoint that crashed needs to be back. One that has said it will stop stays away.
	goneFor = 5 * time.Second
	// StatementLifetime is how long an instance that reads no newer statement may act on one.
	StatementLifetime = 30 * time.Second
)

// Chooser chooses the bases of pools. One instance of the deployment has one that is used.
type Chooser struct {
	// firstStart is set if the deployment has just started for the first time: there are no streams.
	firstStart bool
	startedAt  time.Time
	// era is the newest era of the log, since when it was first seen.
	era   int64
	since time.Time
	pools map[entity.PoolID]*observed
}

// Log is what a Chooser has to know of the log of records.
type Log struct {
	// Era is the log's era.
	Era int64
	// Whole is set if the log lacks no record that was written in an earlier era and is still needed.
	Whole bool
}

// Presence is the number of endpoints that a pool has of one version.
type Presence struct {
	Endpoints int
	// Leaving is how many of them have said that they will stop.
	Leaving int
}

// observed is what a Chooser has seen of one pool.
type observed struct {
	// seen holds what was last seen of each version's endpoints.
	seen map[string]sighting
	// closed is the revision of the newest statement that there is no base, closedAt when it was first seen.
	closed   uint64
	closedAt time.Time
}

// sighting is when a pool was last seen to have endpoints of a version, and whether all of these were leaving.
type sighting struct {
	at      time.Time
	leaving bool
}

// NewChooser returns a Chooser that has seen nothing.
func NewChooser(now time.Time, firstStart bool) *Chooser {
	return &Chooser{firstStart: firstStart, startedAt: now, era: unknownEra, pools: make(map[entity.PoolID]*observed)}
}

// unknownEra is an era before any other.
const unknownEra = -1

// Observe records the log's era.
func (c *Chooser) Observe(now time.Time, era int64) {
	if era <= c.era {
		return
	}
	c.firstStart = c.firstStart && c.era == unknownEra
	c.era, c.since = era, now
}

// Next returns a new statement about a pool's base, false if none is due. versions counts the
// endpoints of the pool by version; the newest statement is current, if stated is set.
func (c *Chooser) Next(now time.Time, pool entity.PoolID, versions map[string]Presence, current Base, stated bool, log Log) (next Base, ok bool) {
	c.Observe(now, log.Era)
	o := c.observe(now, pool, versions)
	next = Base{Pool: pool, Revision: current.Revision + 1, Era: log.Era}
	switch {
	case len(versions) == 0:
		return Base{}, false
	case !stated:
		next.Version = mostFrequent(versions)
		return next, next.Version != "" && (c.firstStart || now.Sub(c.startedAt) > Retention && c.nothingMissing(now))
	case current.Version == "":
		next.Version, next.Next, ok = c.reopen(now, o, versions, &current)
		return next, ok && (current.Era == log.Era || c.nothingMissing(now))
	case c.gone(now, o, versions, current.Version):
		return next, true
	}
	next.Version = current.Version
	return next, current.Era < log.Era && (log.Whole || c.nothingMissing(now))
}

// reopen returns what the next statement about a pool without a base says, false if none is due. A version is
// announced once no instance goes by the statement of the last base, and becomes the base once no stream of
// another version can be taken up that began before all instances knew of the announcement: until then, records
// of such streams may have been lost with the instances that held them.
func (c *Chooser) reopen(now time.Time, o *observed, versions map[string]Presence, current *Base) (version, next string, ok bool) {
	if o.closed != current.Revision {
		o.closed, o.closedAt = current.Revision, now
	}
	stood := now.Sub(o.closedAt)
	switch {
	case current.Next == "":
		next = mostFrequent(versions)
		return "", next, next != "" && stood > StatementLifetime
	case c.gone(now, o, versions, current.Next):
		return "", "", true
	}
	return current.Next, "", versions[current.Next].Endpoints > 0 && stood > StatementLifetime+Retention
}

// nothingMissing reports whether no stream can be taken up any more whose record was lost with the last
// replacement of the log.
func (c *Chooser) nothingMissing(now time.Time) bool { return now.Sub(c.since) > Retention }

// observe records which versions are there now.
func (c *Chooser) observe(now time.Time, pool entity.PoolID, versions map[string]Presence) *observed {
	o := c.pools[pool]
	if o == nil {
		o = &observed{seen: make(map[string]sighting)}
		c.pools[pool] = o
	}
	for v, p := range versions {
		o.seen[v] = sighting{at: now, leaving: p.Leaving == p.Endpoints}
	}
	return o
}

// gone reports whether a version has had no endpoint for goneFor, or has none since the last ones have left as
// they had said.
func (c *Chooser) gone(now time.Time, o *observed, versions map[string]Presence, version string) bool {
	if versions[version].Endpoints > 0 {
		return false
	}
	last, ok := o.seen[version]
	if !ok {
		last.at = c.startedAt
	}
	return last.leaving || now.Sub(last.at) > goneFor
}

// mostFrequent returns the version with the most endpoints, of those the first by name.
func mostFrequent(versions map[string]Presence) string {
	names := slices.Collect(maps.Keys(versions))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(versions[b].Endpoints-versions[a].Endpoints, cmp.Compare(a, b)) })
	return names[0]
}
