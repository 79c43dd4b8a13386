package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// shareWait is how long a request waits for a grant of an endpoint with a limit while others of
// the pool have none.
const shareWait = 30 * time.Millisecond

// maxShareInterval is the longest time between two such requests of a zone. A lower limit is
// kept by the broker; its end is to be noticed soon after the limit allows a request.
const maxShareInterval = time.Second

// endpointLimits is an endpointlimit.Table that is safe for concurrent use.
type endpointLimits struct {
	mu    sync.Mutex
	table *endpointlimit.Table
	// nextShare is when this instance asks again for a grant of an endpoint with a limit
	// while others of the pool have none.
	nextShare map[entity.EndpointID]time.Time
	// zoneMembers is the number of instances of the zone, which share such grants.
	zoneMembers int
}

func newEndpointLimits() *endpointLimits {
	return &endpointLimits{table: endpointlimit.New(), nextShare: make(map[entity.EndpointID]time.Time), zoneMembers: 1}
}

func (l *endpointLimits) record(id entity.EndpointID, incarnation int64, r endpointlimit.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(bootTime(), id, incarnation, r)
}

func (l *endpointLimits) version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Version()
}

func (l *endpointLimits) since(boot time.Duration, version uint64) []endpointlimit.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Since(boot, version)
}

func (l *endpointLimits) merge(boot time.Duration, s []endpointlimit.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Merge(boot, s)
}

func (l *endpointLimits) limits() map[entity.EndpointID]endpointlimit.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Limits()
}

func (l *endpointLimits) changes() []endpointlimit.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Changes()
}

func (l *endpointLimits) setZoneMembers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zoneMembers = max(1, n)
}

func (l *endpointLimits) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(bootTime())
	limits := l.table.Limits()
	maps.DeleteFunc(l.nextShare, func(id entity.EndpointID, _ time.Time) bool {
		_, ok := limits[id]
		return !ok
	})
}

// split separates the endpoints without a limit from those with one.
func (l *endpointLimits) split(endpoints []*catalog.Endpoint) (unlimited, limited []*catalog.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Len() == 0 {
		return endpoints, nil
	}
	for _, e := range endpoints {
		if _, ok := l.table.Asks(e.ID, e.Incarnation); ok {
			limited = append(limited, e)
		} else {
			unlimited = append(unlimited, e)
		}
	}
	return unlimited, limited
}

// takeShare returns an endpoint of the zone of which this instance may ask for a grant, if
// its share of the limit is due; nil if none is.
func (l *endpointLimits) takeShare(now time.Time, limited []*catalog.Endpoint, zone entity.ZoneID) *catalog.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range limited {
		asked, ok := l.table.Asks(e.ID, e.Incarnation)
		if !ok || e.Zone != zone || e.Leaving {
			continue
		}
		interval := time.Duration(l.zoneMembers) * asked.Interval(maxShareInterval)
		next, known := l.nextShare[e.ID]
		if !known {
			next = now.Add(rand.N(interval))
			l.nextShare[e.ID] = next
		}
		if !now.Before(next) {
			l.nextShare[e.ID] = now.Add(interval)
			return e
		}
	}
	return nil
}

// recordLimit records what a response says about the endpoint's limit. Only a response that
// is the endpoint's own takes a limit back.
func (g *Instance) recordLimit(e *catalog.Endpoint, m upstream.Meta) {
	if m.Limit.Limited || m.Limit.Unreadable {
		g.metrics.EndpointLimitStated(!m.Limit.Unreadable)
	} else if !m.Limit.Brittle && !m.HasProof && !m.NotRun {
		return
	}
	g.limits.record(e.ID, e.Incarnation, m.Limit)
}

// acquireService returns the permission to send a request to an endpoint of a plain service.
// Endpoints without a limit are chosen by this instance alone. A grant of the zone's broker
// is needed for the others, which is asked for if there are no other endpoints, and as often
// as this instance's share of the limit allows: a limit that no request meets would never be
// known to have ended.
func (g *Instance) acquireService(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	trial, v := g.checkQuarantine(r)
	if v != nil {
		return edge.Slot{}, v
	}
	now := time.Now()
	endpoints, _ := admitted(g.state.endpoints.Load().Pool(r.Pool), r)
	endpoints = spread(now, endpoints, r.Choice)
	if len(endpoints) == 0 && r.Version != "" {
		return edge.Slot{}, versionGone(r)
	}
	unlimited, limited := g.limits.split(g.holds.usable(now, endpoints))
	if len(unlimited) > 0 {
		if e := g.limits.takeShare(now, limited, g.settings.Zone); e != nil {
			if slot, ok := g.acquireShare(ctx, r, e, endpoints, trial); ok {
				return slot, nil
			}
		}
	}
	if slot, ok := g.services.acquire(unlimited, r, avoid); ok {
		release := slot.Release
		slot.Release = func(o edge.Outcome) {
			g.recordRun(r, slot.Endpoint, o)
			release(o)
		}
		return slot, nil
	}
	if len(limited) > 0 {
		return g.reserveChecked(ctx, r, avoid, trial)
	}
	return edge.Slot{}, g.noEndpointError(r)
}

// acquireShare asks for a grant of one endpoint, without waiting for long.
func (g *Instance) acquireShare(ctx context.Context, r edge.SlotRequest, e *catalog.Endpoint, all []*catalog.Endpoint, trial bool) (edge.Slot, bool) {
	var others []entity.EndpointID
	for _, other := range all {
		if other.ID != e.ID {
			others = append(others, other.ID)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	slot, v := g.reserveChecked(ctx, r, others, trial)
	return slot, v == nil
}

// applyLimits passes changed limits to the brokers and logs them, and updates which pools
// have brokers.
func (c *control) applyLimits(now time.Time) {
	version := c.g.limits.version()
	if version == 0 {
		return // no endpoint has ever stated a limit
	}
	share, localShare := c.limitShares(now)
	if version == c.limitsVersion && share == c.limitShare && localShare == c.localLimitShare {
		return
	}
	c.limitsVersion, c.limitShare, c.localLimitShare = version, share, localShare
	limits := c.g.limits.limits()
	c.elected.SetLimits(now, limits, share)
	c.local.SetLimits(now, limits, localShare)
	changes := c.g.limits.changes()
	for _, s := range changes {
		event := telemetry.EventEndpointUnlimited
		if s.Limited || s.Brittle {
			event = telemetry.EventEndpointLimited
		}
		telemetry.Log(c.g.log, event, "endpoint", s.Endpoint, "incarnation", s.Incarnation, "per_second", s.PerSecond, "brittle", s.Brittle, "age_ms", s.Age.Milliseconds(), "share", share)
	}
	if len(changes) > 0 {
		c.refresh(now)
	}
}

// limitShares returns the shares of the endpoints' limits that the elected and the local broker
// may use.
func (c *control) limitShares(now time.Time) (elected, local float64) {
	zone, _ := c.view.Zone(c.self.Zone)
	z := endpointlimit.Zone{Joined: c.view.Joined, Reachable: len(zone.Members), Known: c.members.ZoneSize(now, c.self.Zone)}
	if c.g.meter.expectedInstances(now) > 0 {
		z.Known = max(z.Known, c.listedInZone)
	}
	c.g.limits.setZoneMembers(max(z.Reachable, z.Known))
	return z.Share(), z.LocalShare()
}
