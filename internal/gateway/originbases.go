package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// keeperSettleTime is how long after its start an instance does not act as keeper by itself: it may
// be one only because it does not know the others yet.
const keeperSettleTime = 3 * time.Second

// run keeps the bases known to this instance, and chooses them if it is the one that does, until
// ctx ends.
func (o *origins) run(ctx context.Context) {
	started := time.Now()
	o.chooser = origin.NewChooser(started, o.g.settings.FirstStart)
	var nextRead time.Time
	for ctx.Err() == nil {
		now := time.Now()
		o.expire(now)
		keepers, chooses := o.present()
		pools := o.resumablePools()
		settled := now.Sub(started) > keeperSettleTime
		interval := chooseInterval
		switch {
		case len(pools) == 0 || len(keepers) == 0:
		case !settled && keepers[0].id == o.g.self.ID:
		case chooses:
			o.choose(ctx, pools)
			if o.log.unconfirmed() {
				interval = restoreInterval
			}
		case !now.Before(nextRead):
			o.refreshBases(ctx, keepers[0])
			nextRead = now.Add(basesInterval/2 + rand.N(basesInterval/2))
		}
		pause(ctx, interval)
	}
}

func (o *origins) expire(now time.Time) {
	o.log.expire(now)
	notice := restartNotice + max(0, o.g.follower.readAge(now))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now)
	o.chooser.Observe(now, o.table.Era())
	for at, streams := range o.recent {
		if o.recent[at] = dropOld(now, notice, streams); len(o.recent[at]) == 0 {
			delete(o.recent, at)
		}
	}
}

// resumablePools returns the pools that serve resumable streams.
func (o *origins) resumablePools() []entity.PoolID {
	cfg := o.g.state.config.Load()
	if cfg == nil {
		return nil
	}
	return cfg.ResumablePools()
}

// refreshBases asks a keeper for the bases.
func (o *origins) refreshBases(ctx context.Context, k originKeeper) {
	asked := bootTime()
	// After an error the bases known before are used: a record too many is written.
	found, err := o.findAt(ctx, k, findOrigins{})
	if err != nil {
		return
	}
	o.addBases(found.Bases, found.Era)
	if found.Read {
		o.basesReadAt(asked - found.ReadBefore)
	}
}

// choose reads the log now and then, and writes the bases that are to change. It also removes
// records that are no longer needed.
func (o *origins) choose(ctx context.Context, pools []entity.PoolID) {
	if !o.log.readWithin(basesInterval) || o.log.readEra() < o.log.era() {
		if o.log.read(ctx) != nil {
			return
		}
	}
	_, bases := o.log.find(nil)
	o.addBases(bases, o.log.era())
	if before, read := o.log.readBefore(bootTime()); read {
		o.basesReadAt(bootTime() - before)
	}
	changed := o.nextBases(ctx, pools)
	if len(changed) > 0 && o.log.read(ctx) == nil && o.log.setBases(ctx, changed) == nil {
		o.addBases(changed, o.log.era())
		telemetry.Log(o.g.log, telemetry.EventBaseChosen, "bases", changed)
	}
	if expired := o.log.expiredKeys(time.Now()); len(expired) >= minRemovals {
		o.g.metrics.LogCall("append", "origins")
		// After an error the next call removes them.
		_ = o.g.adapter.Store.AppendOrigins(ctx, nil, expired)
	}
}

// nextBases returns the bases that are to change.
func (o *origins) nextBases(ctx context.Context, pools []entity.PoolID) []origin.Base {
	log := origin.Log{Era: o.log.readEra()}
	if o.log.unconfirmed() {
		log.Whole = o.logWhole(ctx, log.Era)
	}
	var changed []origin.Base
	endpoints := o.g.state.endpoints.Load()
	for _, p := range pools {
		current, stated := o.log.base(p)
		if next, ok := o.chooser.Next(time.Now(), p, presentVersions(endpoints.Pool(p)), current, stated, log); ok {
			changed = append(changed, next)
		}
	}
	return changed
}

// presentVersions counts endpoints by version.
func presentVersions(endpoints []*catalog.Endpoint) map[string]origin.Presence {
	versions := make(map[string]origin.Presence)
	for _, e := range endpoints {
		p := versions[e.Version]
		p.Endpoints++
		if e.Leaving {
			p.Leaving++
		}
		versions[e.Version] = p
	}
	return versions
}
