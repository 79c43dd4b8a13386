package zone

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

const (
	tick      = 20 * time.Millisecond
	org       = entity.OrgID("org")
	limitRate = 64_000.0
	burst     = 64_000.0
	request   = 6_000.0
)

// member is one instance with its meter.
type member struct {
	id     entity.Instance
	meter  *quota.Meter
	config *catalog.Config
	core   *Core
	cut    bool
	alone  bool // cut off from everybody
	// answered is when the store has last answered it.
	answered time.Time
	proved   time.Duration
}

func (m *member) Config() *catalog.Config         { return m.config }
func (m *member) Endpoints() *catalog.Endpoints   { return catalog.NewEndpoints(nil) }
func (m *member) ProvedAt() time.Duration         { return m.proved }
func (m *member) ReadAge(time.Time) time.Duration { return 0 }
func (m *member) StoreAnswerAge(now time.Time) time.Duration {
	return now.Sub(m.answered)
}
func (m *member) StoreUptime(time.Time) time.Duration            { return 0 }
func (m *member) RecordPeerStoreUptime(time.Time, time.Duration) {}
func (m *member) Cursors() Cursors                               { return Cursors{} }
func (m *member) Used() map[entity.OrgID]quota.Usage             { return m.meter.Used() }
func (m *member) Limits() map[entity.OrgID]quota.Limit {
	return map[entity.OrgID]quota.Limit{org: {Rate: limitRate, Burst: burst}}
}
func (m *member) Urgent() bool { return m.meter.Urgent() }
func (m *member) ApplyAccounts(now time.Time, a map[entity.OrgID]quota.Account, n int) {
	m.meter.ApplyAccounts(now, a, n)
}
func (m *member) HandoverLevel(now time.Time, o entity.OrgID, l quota.Limit) float64 {
	return m.meter.HandoverLevel(now, o, l)
}

// fleet is some zones of members whose messages take one tick.
type fleet struct {
	members []*member
	now     time.Time
	boot    time.Duration
	wire    []delivery
	// admitted is what was admitted, by time.
	admitted []grant
}

type delivery struct {
	from, to entity.InstanceID
	msg      any
}

type grant struct {
	at   time.Duration
	cost float64
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), boot: time.Hour}
	cfg := &catalog.Config{Version: 1, Organisations: []catalog.Organisation{{ID: org, Limited: true, Rate: limitRate, Burst: burst}}}
	cfg.Index()
	for z := range zones {
		for i := range perZone {
			id := entity.Instance{ID: entity.InstanceID(fmt.Sprintf("z%d-%d", z, i)), Zone: entity.ZoneID(fmt.Sprintf("z%d", z))}
			id.PeerAddress = string(id.ID) + ":1"
			m := &member{id: id, meter: quota.NewMeter(true), config: cfg}
			m.core = New(id, m)
			f.members = append(f.members, m)
		}
	}
	f.meet(zones, perZone)
	return f
}

// meet tells all members who coordinates.
func (f *fleet) meet(zones, perZone int) {
	for _, m := range f.members {
		others := make(map[entity.ZoneID]entity.InstanceID)
		for z := range zones {
			if zone := entity.ZoneID(fmt.Sprintf("z%d", z)); zone != m.id.Zone {
				others[zone] = entity.InstanceID(fmt.Sprintf("z%d-0", z))
			}
		}
		m.core.SetCoordinators(entity.InstanceID(string(m.id.Zone)+"-0"), others, perZone)
	}
}

// coordinatedBy tells a member who coordinates a zone.
func (m *member) coordinatedBy(zone entity.ZoneID, chosen entity.InstanceID) {
	if m.id.Zone == zone {
		m.core.SetCoordinators(chosen, m.core.others, m.core.zoneSize)
		return
	}
	others := maps.Clone(m.core.others)
	others[zone] = chosen
	m.core.SetCoordinators(m.core.coordinator, others, m.core.zoneSize)
}

// restart starts all members anew, which know nothing of before.
func (f *fleet) restart(zones, perZone int) {
	f.wire = nil
	for _, m := range f.members {
		m.meter = quota.NewMeter(false)
		m.core = New(m.id, m)
	}
	f.meet(zones, perZone)
}

func (f *fleet) member(id entity.InstanceID) *member {
	for _, m := range f.members {
		if m.id.ID == id {
			return m
		}
	}
	return nil
}

// step lets one tick pass; each member is asked for so many requests a second.
func (f *fleet) step(perSecond float64) {
	f.now, f.boot = f.now.Add(tick), f.boot+tick
	at := Moment{Now: f.now, Boot: f.boot}
	wire := f.wire
	f.wire = nil
	for _, d := range wire {
		f.deliver(at, d)
	}
	n := int(f.boot / tick)
	every := max(1, int(1/(perSecond*tick.Seconds())))
	for i, m := range f.members {
		if (n+i)%every == 0 {
			if ok, _ := m.meter.Charge(f.now, org, quota.Limit{Rate: limitRate, Burst: burst}, request, 0); ok {
				f.admitted = append(f.admitted, grant{at: f.boot, cost: request})
			}
		}
		m.core.Tick(at)
	}
	for _, m := range f.members {
		messages, news := m.core.Ready()
		for _, t := range messages {
			f.wire = append(f.wire, delivery{from: m.id.ID, to: t.Instance, msg: t.Message})
		}
		for _, x := range news {
			m.proved = max(m.proved, x.ProvedAt)
			if x.Config != nil && x.Config.Version > m.config.Version {
				m.config = x.Config
			}
		}
	}
}

func (f *fleet) deliver(at Moment, d delivery) {
	from, to := f.member(d.from), f.member(d.to)
	if from.cut != to.cut || from.alone || to.alone {
		return
	}
	switch m := d.msg.(type) {
	case Report:
		to.core.HandleReport(at, d.from, m)
	case Bulletin:
		to.core.HandleBulletin(at, d.from, m)
	case Exchange:
		to.core.HandleExchange(at, d.from, m)
	}
}

// most returns the most that was admitted in any window.
func (f *fleet) most(window time.Duration) float64 {
	best, sum, first := 0.0, 0.0, 0
	for i, g := range f.admitted {
		sum += g.cost
		for f.admitted[first].at <= f.admitted[i].at-window {
			sum -= f.admitted[first].cost
			first++
		}
		best = max(best, sum)
	}
	return best
}

// allowed is what the users' rule allows in a window of eight seconds, with a
// slack of about two seconds' rate.
func allowed() float64 { return (limitRate*8+burst)*1.1 + 140_000 }

// An organisation that sends four times its limit gets no more than that over
// all instances, and not much less.
func TestLimitHoldsOverZones(t *testing.T) {
	f := newFleet(3, 5)
	for range 1500 {
		f.step(3)
	}
	if got := f.most(8 * time.Second); got > allowed() {
		t.Errorf("%.0f admitted within 8 s, allowed %.0f", got, allowed())
	}
	t.Logf("most in 8 s: %.0f of %.0f", f.most(8*time.Second), allowed())
	total := 0.0
	for _, g := range f.admitted {
		total += g.cost
	}
	if total < 0.9*limitRate*30 {
		t.Errorf("%.0f admitted in 30 s, the limit is %.0f", total, limitRate*30)
	}
}

// The same while one zone is cut off from the others, whose callers go on.
func TestLimitHoldsThroughACut(t *testing.T) {
	f := newFleet(3, 5)
	for i := range 2000 {
		for _, m := range f.members {
			m.cut = i >= 500 && i < 1200 && m.id.Zone == "z1"
		}
		f.step(3)
	}
	if got := f.most(8 * time.Second); got > allowed() {
		t.Errorf("%.0f admitted within 8 s, allowed %.0f", got, allowed())
	}
	t.Logf("most in 8 s: %.0f of %.0f", f.most(8*time.Second), allowed())
}

// The same when all of many instances are killed at once, while the callers go on.
func TestLimitHoldsThroughARestartOfAll(t *testing.T) {
	const zones, perZone, perInstance = 4, 32, 0.35 // four times the limit
	for _, after := range []int{250, 300, 350, 400} {
		f := newFleet(zones, perZone)
		for i := range 1000 {
			if i == after {
				f.restart(zones, perZone)
			}
			f.step(perInstance)
		}
		if got := f.most(8 * time.Second); got > allowed() {
			t.Errorf("restarted after %v: %.0f admitted within 8 s, allowed %.0f", time.Duration(after)*tick, got, allowed())
		}
		t.Logf("most in 8 s: %.0f of %.0f", f.most(8*time.Second), allowed())
	}
}

// The same while a third of the instances are cut off one by one, and the
// organisation begins to send six times its usual only then: each of them has a
// full bucket when it is cut off.
func TestLimitHoldsWithInstancesCutOff(t *testing.T) {
	const usual, hot = 0.4, 2.4 // requests a second and instance
	f := newFleet(3, 5)
	for i := range 1500 {
		for k, m := range f.members {
			m.alone = i >= 300 && i < 1100 && k%3 == 1
		}
		if i < 600 {
			f.step(usual)
			continue
		}
		f.step(hot)
	}
	if got := f.most(8 * time.Second); got > allowed() {
		t.Errorf("%.0f admitted within 8 s, allowed %.0f", got, allowed())
	}
	t.Logf("most in 8 s: %.0f of %.0f", f.most(8*time.Second), allowed())
}

// The same while the coordinator's role of one zone moves to and fro, and members
// learn of that one after the other: what was used around a move must be
// counted, and nothing be given back by it.
func TestLimitHoldsWhileTheCoordinatorMoves(t *testing.T) {
	const zones, perZone = 3, 5
	const usual, hot = 0.4, 2.4 // requests a second and instance
	for _, every := range []int{7, 25, 75, 90, 150} {
		for _, spread := range []int{0, 2} { // ticks between one member's learning and the next one's
			f := newFleet(zones, perZone)
			for i := range 1500 {
				for k, m := range f.members {
					if at := i - spread*k; at >= 550 && at%every == 0 {
						m.coordinatedBy("z0", entity.InstanceID(fmt.Sprintf("z0-%d", at/every%2)))
					}
				}
				if i < 600 {
					f.step(usual)
					continue
				}
				f.step(hot)
			}
			if got := f.most(8 * time.Second); got > allowed() {
				t.Errorf("moved every %v, spread %d: %.0f admitted within 8 s, allowed %.0f", time.Duration(every)*tick, spread, got, allowed())
			}
			t.Logf("most in 8 s: %.0f of %.0f", f.most(8*time.Second), allowed())
		}
	}
}

// A member learns the age of the proof through its coordinator, and never takes
// it for newer than it is.
func TestProofTravels(t *testing.T) {
	f := newFleet(2, 3)
	proved := f.boot
	f.member("z0-0").proved = proved
	for range 100 {
		f.step(0.1)
	}
	for _, m := range f.members {
		if m.proved == 0 || m.proved > proved {
			t.Errorf("%s takes the proof to be of %v, it is of %v", m.id.ID, m.proved, proved)
		}
	}
}
