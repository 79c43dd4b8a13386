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
func (c *Chooser) Next(now time.Time, pool entity.PoolID, versions map[string]int, current Base, stated bool, log Log) (Base, bool) {
	c.Observe(now, log.Era)
	o := c.observe(now, pool, versions)
	next := Base{Pool: pool, Revision: current.Revision + 1, Era: log.Era}
	switch {
	case len(versions) == 0:
		return Base{}, false
	case !stated:
		next.Version = mostFrequent(versions)
		return next, next.Version != "" && (c.firstStart || now.Sub(c.startedAt) > Retention && c.nothingMissing(now))
	case current.Version == "":
		if o.closed != current.Revision {
			o.closed, o.closedAt = current.Revision, now
		}
		next.Version = mostFrequent(versions)
		return next, next.Version != "" && now.Sub(o.closedAt) > closedFor && (current.Era == log.Era || c.nothingMissing(now))
	case c.gone(now, o, current.Version):
		return next, true
	}
	next.Version = current.Version
	return next, current.Era < log.Era && (log.Whole || c.nothingMissing(now))
}

// nothingMissing reports whether no stream can be taken up any more whose record was lost with the last
// replacement of the log.
func (c *Chooser) nothingMissing(now time.Time) bool { return now.Sub(c.since) > Retention }

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
