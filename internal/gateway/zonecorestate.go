package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/core/zone"
)

// zoneCoreState gives the zone core access to an instance's local state. It implements
// zone.LocalState.
type zoneCoreState struct{ g *Instance }

func (z zoneCoreState) Config() *catalog.Config       { return z.g.state.config.Load() }
func (z zoneCoreState) Endpoints() *catalog.Endpoints { return z.g.state.endpoints.Load() }
func (z zoneCoreState) ProvedAt() time.Duration       { return time.Duration(z.g.state.provedAt.Load()) }
func (z zoneCoreState) ReadAge(now time.Time) time.Duration {
	return z.g.follower.readAge(now)
}
func (z zoneCoreState) StoreAnswerAge(now time.Time) time.Duration {
	return z.g.follower.storeAnswerAge(now)
}
func (z zoneCoreState) StoreUptime(now time.Time) time.Duration { return z.g.follower.storeUptime(now) }
func (z zoneCoreState) RecordPeerStoreUptime(now time.Time, uptime time.Duration) {
	z.g.follower.recordPeerStoreUptime(now, uptime)
}
func (z zoneCoreState) RecentDepartures(now time.Time) []catalog.Departure {
	return z.g.follower.recentDepartures(now)
}
func (z zoneCoreState) RecordDepartures(now time.Time, d []catalog.Departure) {
	if len(d) > 0 {
		z.g.follower.recordDepartures(now, d)
	}
}
func (z zoneCoreState) QuarantineVersion() uint64 { return z.g.quarantine.version() }
func (z zoneCoreState) QuarantineSince(now time.Time, version uint64) *quarantine.State {
	return z.g.quarantine.since(now, version)
}
func (z zoneCoreState) MergeQuarantine(now time.Time, s *quarantine.State) {
	z.g.quarantine.merge(now, s)
}
func (z zoneCoreState) EndpointLimitsVersion() uint64 { return z.g.limits.version() }
func (z zoneCoreState) EndpointLimitsSince(boot time.Duration, version uint64) []endpointlimit.Statement {
	return z.g.limits.since(boot, version)
}
func (z zoneCoreState) MergeEndpointLimits(boot time.Duration, s []endpointlimit.Statement) {
	z.g.limits.merge(boot, s)
}
func (z zoneCoreState) RolloutWords(boot time.Duration) []rollout.Word {
	return z.g.rollouts.words(boot)
}
func (z zoneCoreState) DrainRollouts(boot time.Duration) ([]rollout.Count, []rollout.Traffic) {
	return z.g.rollouts.drain(boot)
}
func (z zoneCoreState) MergeRollouts(boot time.Duration, from entity.InstanceID, m *rollout.Message) {
	z.g.rollouts.merge(boot, from, m)
}
func (z zoneCoreState) Cursors() zone.Cursors { return z.g.follower.position() }
func (z zoneCoreState) RecordPeerVersion(now time.Time, from entity.InstanceID, version int64) {
	z.g.newest.observe(now, from, version, &z.g.state)
}
func (z zoneCoreState) NewestVersion() int64                   { return z.g.newest.version() }
func (z zoneCoreState) LaggingFor(now time.Time) time.Duration { return z.g.newest.laggingFor(now) }

func (z zoneCoreState) Limits() map[entity.OrgID]quota.Limit {
	cfg := z.Config()
	if cfg == nil {
		return nil
	}
	out := make(map[entity.OrgID]quota.Limit)
	for i := range cfg.Organisations {
		if o := &cfg.Organisations[i]; o.Limited {
			out[o.ID] = z.g.settings.effectiveLimit(o)
		}
	}
	return out
}

func (z zoneCoreState) ExpectedInstances(now time.Time) int {
	return z.g.meter.expectedInstances(now)
}

func (z zoneCoreState) LedgerChanged() { z.g.meter.ledgerChanged() }

func (z zoneCoreState) Used() map[entity.OrgID]quota.Usage { return z.g.meter.used() }
func (z zoneCoreState) Urgent() bool                       { return z.g.meter.urgent() }

func (z zoneCoreState) ApplyAccounts(now time.Time, accounts map[entity.OrgID]quota.Account, instances int) {
	z.g.meter.applyAccounts(now, accounts, instances)
	z.g.retries.setInstances(instances)
	z.g.checkStart()
}

func (z zoneCoreState) HandoverLevel(now time.Time, org entity.OrgID, l quota.Limit) float64 {
	return z.g.meter.handoverLevel(now, org, l)
}

func (z zoneCoreState) HandoverWindow(now time.Time, org entity.OrgID) *quota.UseWindow {
	return z.g.meter.handoverWindow(now, org)
}

// moment returns now together with the present time of bootTime.
func moment(now time.Time) zone.Moment { return zone.Moment{Now: now, Boot: bootTime()} }

// meter is a quota.Meter that is safe for concurrent use.
type meter struct {
	mu    sync.Mutex
	meter *quota.Meter
}

func (m *meter) charge(org entity.OrgID, l quota.Limit, cost, reserve float64) (ok bool, retryAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Charge(time.Now(), org, l, cost, reserve)
}

func (m *meter) standing(org entity.OrgID, l quota.Limit, cost, reserve float64) quota.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Standing(time.Now(), org, l, cost, reserve)
}

func (m *meter) awaitsFirstAccounts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.AwaitsFirstAccounts()
}

func (m *meter) setListedInstances(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.SetListedInstances(n)
}

func (m *meter) expectedInstances(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.ExpectedInstances(now)
}

func (m *meter) ledgerChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.LedgerChanged()
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

func (m *meter) applyAccounts(now time.Time, accounts map[entity.OrgID]quota.Account, instances int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.ApplyAccounts(now, accounts, instances)
}

func (m *meter) handoverWindow(now time.Time, org entity.OrgID) *quota.UseWindow {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.HandoverWindow(now, org)
}

func (m *meter) handoverLevel(now time.Time, org entity.OrgID, l quota.Limit) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.HandoverLevel(now, org, l)
}
