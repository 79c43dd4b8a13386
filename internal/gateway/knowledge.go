package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/zone"
)

// knowledge shows what an instance believes to the zone's core.
type knowledge struct{ g *Instance }

func (k knowledge) Config() *catalog.Config       { return k.g.belief.config.Load() }
func (k knowledge) Endpoints() *catalog.Endpoints { return k.g.belief.endpoints.Load() }
func (k knowledge) ProvedAt() time.Duration       { return time.Duration(k.g.belief.provedAt.Load()) }
func (k knowledge) ReadAge(now time.Time) time.Duration {
	return k.g.follower.readAge(now)
}
func (k knowledge) StoreAnswerAge(now time.Time) time.Duration {
	return k.g.follower.answeredAgo(now)
}
func (k knowledge) StoreUptime(now time.Time) time.Duration { return k.g.follower.steady(now) }
func (k knowledge) RecordPeerStoreUptime(now time.Time, steady time.Duration) {
	k.g.follower.witness(now, steady)
}
func (k knowledge) Cursors() zone.Cursors { return k.g.follower.position() }

func (k knowledge) Limits() map[entity.OrgID]quota.Limit {
	cfg := k.Config()
	if cfg == nil {
		return nil
	}
	out := make(map[entity.OrgID]quota.Limit)
	for i := range cfg.Organisations {
		if o := &cfg.Organisations[i]; o.Limited {
			out[o.ID] = k.g.settings.limit(o)
		}
	}
	return out
}

func (k knowledge) Used() map[entity.OrgID]quota.Usage { return k.g.meter.used() }
func (k knowledge) Urgent() bool                       { return k.g.meter.urgent() }

func (k knowledge) ApplyAccounts(now time.Time, accounts map[entity.OrgID]quota.Account, instances int) {
	k.g.meter.adopt(now, accounts, instances)
	k.g.retries.setInstances(instances)
}

func (k knowledge) HandoverLevel(now time.Time, org entity.OrgID, l quota.Limit) float64 {
	return k.g.meter.handover(now, org, l)
}

// moment is the present on both clocks.
func moment(now time.Time) zone.Moment { return zone.Moment{Now: now, Boot: bootTime()} }

// meter guards a quota.Meter for the goroutines of requests.
type meter struct {
	mu    sync.Mutex
	meter *quota.Meter
}

func (m *meter) charge(org entity.OrgID, l quota.Limit, cost, reserve float64) (ok bool, retryAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Charge(time.Now(), org, l, cost, reserve)
}

func (m *meter) refund(org entity.OrgID, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Refund(time.Now(), org, cost)
}

func (m *meter) used() map[entity.OrgID]quota.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Used()
}

func (m *meter) urgent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Urgent()
}

func (m *meter) adopt(now time.Time, accounts map[entity.OrgID]quota.Account, instances int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.ApplyAccounts(now, accounts, instances)
}

func (m *meter) handover(now time.Time, org entity.OrgID, l quota.Limit) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.HandoverLevel(now, org, l)
}
