package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Endpoints may state how many requests per second they take, see package endpointlimit. Such
// an endpoint is granted one request per interval. Where all endpoints of a pool have a limit, the
// requests that can't be on time are refused as soon as that is known: a queue that grows faster
// than it is served only makes all of them late. This answers the load of a pool that is asked for
// several times what its endpoints take.

// Endpoints may also say that they are brittle: that they fall over if they have to turn many requests
// away for want of room. Such an endpoint is granted no more requests than it has slots, and after it
// has declined one, whoever sent it, none for brittlePause.

// SetLimits replaces what endpoints have asked for, and the share of their limits that this broker
// may use.
func (b *Broker) SetLimits(now time.Time, limits map[entity.EndpointID]endpointlimit.Limit, share float64) {
	b.limits, b.limitShare = limits, share
	for _, p := range b.sortedPools() {
		p.setLimits(now, limits, share)
	}
}

// TakeOver makes this broker the one that grants a pool's slots. Another one may just have used
// what the limits of the pool's endpoints allow now, so the next requests wait for one interval.
func (b *Broker) TakeOver(now time.Time, id entity.PoolID) {
	p := b.pool(id)
	p.takenOverAt = now
	for _, e := range p.engines {
		e.pacer = nil
	}
	p.setLimits(now, b.limits, b.limitShare)
}

func (p *pool) setLimits(now time.Time, limits map[entity.EndpointID]endpointlimit.Limit, share float64) {
	for _, e := range p.engines {
		limit, ok := limits[e.endpoint.ID]
		ok = ok && limit.Incarnation == e.endpoint.Incarnation
		e.brittle = ok && limit.Brittle
		e.setLimit(now, limit.PerSecond, share, ok && limit.Limited)
	}
}

// setLimit sets or removes the limit of an engine. The first request waits for one interval.
func (e *engine) setLimit(now time.Time, perSecond, share float64, limited bool) {
	switch {
	case !limited:
		e.pacer = nil
	case e.pacer != nil:
		e.pacer.SetLimit(now, perSecond, share)
	case e.staggered:
		p := endpointlimit.NewStaggeredPacer(now, perSecond, share, e.rounding)
		e.pacer = &p
	default:
		p := endpointlimit.NewPacer(now, perSecond, share)
		e.pacer = &p
	}
}

// limitWait returns the time until the limit of the engine allows a request.
func (e *engine) limitWait(now time.Time) time.Duration {
	if e.pacer == nil {
		return 0
	}
	return e.pacer.Wait(now)
}

// capacity is what a pool can serve: requests that occupy slots, and requests at the rates of
// engines with a limit.
type capacity struct {
	// slots is the number of slots of the engines without a limit.
	slots int
	// limited holds the engines with a limit.
	limited []limitedCapacity
	// allLimited is set if all engines have a limit, also those that can't serve now.
	allLimited bool
}

type limitedCapacity struct {
	slots    int
	interval time.Duration
}

// capacity returns what the engines can serve that have a free slot or a run.
func (p *pool) capacity(now time.Time, slotShare float64) capacity {
	c := capacity{allLimited: len(p.engines) > 0}
	for _, e := range p.engines {
		if e.reserved {
			continue
		}
		c.allLimited = c.allLimited && (e.pacer != nil || e.endpoint.Leaving)
		switch {
		case e.pacer != nil:
			if !e.unusable(now) {
				c.limited = append(c.limited, limitedCapacity{e.limit(slotShare), e.pacer.Interval()})
			}
		case e.free(now, slotShare) > 0 || len(e.runs) > 0:
			c.slots += e.limit(slotShare)
		}
	}
	return c
}

// serveTime returns the mean time between the starts of requests that occupy a slot for the given
// time, while there are always some to start.
func (c *capacity) serveTime(occupancy time.Duration) time.Duration {
	if len(c.limited) == 0 {
		return occupancy / time.Duration(max(1, c.slots))
	}
	perSecond := float64(c.slots) / occupancy.Seconds()
	for _, l := range c.limited {
		perSecond += min(float64(l.slots)/occupancy.Seconds(), 1/l.interval.Seconds())
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// size returns the number of slots for a ZoneState; an engine with a limit counts as one.
func (c capacity) size() int { return c.slots + len(c.limited) }

// refuseBeyondLimits refuses the requests that the limits of the engines don't allow to begin on
// time, nor within LateBacklog.
func (b *Broker) refuseBeyondLimits(now time.Time, p *pool) {
	c := p.capacity(now, b.settings.SlotShare)
	if !c.allLimited || len(c.limited) == 0 {
		return
	}
	var before time.Duration
	var excess []*job
	for j := range p.grantOrder(now) {
		if before > b.settings.LateBacklog && now.Add(before).After(j.target) {
			excess = append(excess, j)
			continue
		}
		before += c.serveTime(p.occupancy(j))
	}
	for _, j := range excess {
		b.deny(now, p, j, DenyLimit)
	}
}
