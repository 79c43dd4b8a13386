package zone

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// burstVersions is the number of versions of a burst, burstGap the time between two acknowledgements.
	burstVersions = 22
	burstGap      = 80 * time.Millisecond
	// inForceWithin is how long after its acknowledgement a version must be in force at each member.
	inForceWithin = 3 * time.Second
	// readPause is the time between two reads of the store.
	readPause = 100 * time.Millisecond
	// disturbedBefore is how long before the burst a disturbance begins.
	disturbedBefore = 6 * time.Second
)

// publication is a fleet whose operator publishes a burst of versions, and whose members read the store if they should.
type publication struct {
	*fleet
	acked     []time.Time // of the versions from 2 on
	published int64
	reads     map[entity.InstanceID]time.Time // begin of the last read, by member
	// hangs reports whether a member's connection for reads of the configuration is silent.
	hangs func(m *member) bool
	// heldBack holds messages back that arrive later, delays says by how much.
	heldBack []lateDelivery
	delays   func(d delivery) time.Duration
}

type lateDelivery struct {
	at time.Time
	d  delivery
}

func newPublication(zones, perZone int) *publication {
	b := &publication{fleet: newFleet(zones, perZone), published: 1, reads: make(map[entity.InstanceID]time.Time)}
	b.hangs = func(*member) bool { return false }
	b.delays = func(delivery) time.Duration { return 0 }
	for i, m := range b.members {
		m.core.SetReadRank(i % perZone)
		m.lastRead, m.answered = b.now, b.now
		m.readAge = func(now time.Time) time.Duration {
			if m.lastRead.IsZero() {
				return -1
			}
			return now.Sub(m.lastRead)
		}
	}
	return b
}

// step advances time by a tick.
func (b *publication) step() {
	b.delay()
	b.advance(func(int) int { return 0 })
	for _, m := range b.members {
		b.read(m)
	}
}

// delay holds back what is to arrive later.
func (b *publication) delay() {
	var now []delivery
	for _, d := range b.inFlight {
		if late := b.delays(d); late > 0 {
			b.heldBack = append(b.heldBack, lateDelivery{b.now.Add(late), d})
		} else {
			now = append(now, d)
		}
	}
	for len(b.heldBack) > 0 && !b.heldBack[0].at.After(b.now) {
		now = append(now, b.heldBack[0].d)
		b.heldBack = b.heldBack[1:]
	}
	b.inFlight = now
}

// read has a member read the store if it should.
func (b *publication) read(m *member) {
	if !m.core.ShouldReadStore(b.now) || b.now.Sub(b.reads[m.id.ID]) < readPause {
		return
	}
	b.reads[m.id.ID] = b.now
	m.lastRead, m.answered = b.now, b.now // discovery is answered
	if b.hangs(m) && !m.core.ReadReason(b.now).BeginsAnew() {
		return
	}
	m.proved = b.boot
	if b.published > m.config.Version {
		m.apply(b.now, &catalog.Config{Version: b.published})
	}
}

// publish publishes a version once per burstGap.
func (b *publication) publish() {
	if n := len(b.acked); n < burstVersions && (n == 0 || b.now.Sub(b.acked[n-1]) >= burstGap) {
		b.published++
		b.acked = append(b.acked, b.now)
	}
}

// late returns the members that lack a version which was acknowledged too long ago.
func (b *publication) late() (out []string) {
	for _, m := range b.members {
		if i := int(m.config.Version - 1); i >= 0 && i < len(b.acked) && b.now.Sub(b.acked[i]) > inForceWithin {
			out = append(out, fmt.Sprintf("%s has version %d, %v after the next one", m.id.ID, m.config.Version, b.now.Sub(b.acked[i])))
		}
	}
	return out
}

// splitCoordinator has two members of the first zone take each other for the coordinator; half of the others agree
// with each.
func (b *publication) splitCoordinator(perZone int) {
	first, second := b.members[8], b.members[9] // whose turns to try the store come late
	for i, m := range b.members[:perZone] {
		m.setCoordinator("z0", []*member{first, second}[i%2].id.ID)
	}
	first.setCoordinator("z0", second.id.ID)
	second.setCoordinator("z0", first.id.ID)
}

// Whatever keeps a coordinator from telling its zone, the last version of a burst is in force at all members in time.
func TestLastVersionOfABurstIsInForceInTime(t *testing.T) {
	const zones, perZone = 3, 42
	tests := []struct {
		name    string
		disturb func(b *publication)
	}{
		{"undisturbed", func(*publication) {}},
		{"two members take each other for the coordinator", func(b *publication) { b.splitCoordinator(perZone) }},
		{"a coordinator's reads of the configuration hang", func(b *publication) {
			b.hangs = func(m *member) bool { return m.id.ID == "z0-0" }
		}},
		{"all coordinators' reads of the configuration hang", func(b *publication) {
			b.hangs = func(m *member) bool { return strings.HasSuffix(string(m.id.ID), "-0") }
		}},
		{"what a coordinator tells arrives late", func(b *publication) {
			b.delays = func(d delivery) time.Duration {
				if _, ok := d.msg.(Bulletin); ok && d.from == "z0-0" {
					return 4 * time.Second
				}
				return 0
			}
		}},
		{"configurations to a member are lost", func(b *publication) {
			b.delays = func(d delivery) time.Duration {
				if m, ok := d.msg.(Bulletin); ok && m.Config != nil && d.to == "z0-7" {
					return time.Hour
				}
				return 0
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newPublication(zones, perZone)
			for range int(5 * time.Second / tick) {
				b.step()
			}
			tt.disturb(b)
			for range int(disturbedBefore / tick) {
				b.step()
			}
			late := map[string]bool{}
			for range int(12 * time.Second / tick) {
				b.publish()
				b.step()
				for _, l := range b.late() {
					late[strings.Fields(l)[0]] = true
				}
			}
			if len(late) > 0 {
				t.Errorf("%d of %d members lacked a version %v after its acknowledgement", len(late), len(b.members), inForceWithin)
			}
		})
	}
}

// randomRoles changes what a random member takes for the coordinator of its zone, to one of the first three.
func (b *publication) randomRoles(perZone int) {
	i := b.random.IntN(len(b.members))
	first := i - i%perZone
	m := b.members[i]
	m.setCoordinator(m.id.Zone, b.members[first+b.random.IntN(3)].id.ID)
}

// startAgain restarts a random member without its state.
func (b *publication) startAgain(perZone int, started map[entity.InstanceID]time.Time) {
	i := b.random.IntN(len(b.members))
	m := b.members[i]
	m.config, m.proved, m.lastRead, m.answered, m.lag = &catalog.Config{}, 0, time.Time{}, b.now.Add(-time.Hour), VersionLag{}
	coordinator, remote := m.core.coordinator, m.core.remoteCoordinators
	m.core = New(m.id, m)
	m.core.SetCoordinators(coordinator, remote, perZone)
	m.core.SetReadRank(i % perZone)
	started[m.id.ID] = b.now
}

// Roles move, members start again and messages are lost while a burst of versions is published.
func TestBurstWhileRolesMove(t *testing.T) {
	const zones, perZone, contact = 3, 42, 4 * time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := newPublication(zones, perZone)
			b.random, b.loss = rand.New(rand.NewPCG(seed, seed)), 0.05
			started := make(map[entity.InstanceID]time.Time)
			late := make(map[string]bool)
			for range int(12 * time.Second / tick) {
				if b.random.IntN(3) == 0 {
					b.randomRoles(perZone)
				}
				if b.random.IntN(5) == 0 {
					b.startAgain(perZone, started)
				}
				b.publish()
				b.step()
				for _, l := range b.late() {
					if id := entity.InstanceID(strings.Fields(l)[0]); b.now.Sub(started[id]) > contact {
						late[l] = true
					}
				}
			}
			for l := range late {
				t.Error(l)
			}
		})
	}
}
