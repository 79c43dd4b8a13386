package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// behindLogged is how long an instance may lack a version that another one has before that is logged, and
	// the time between two such lines.
	behindLogged = 500 * time.Millisecond
	behindRepeat = time.Second
)

// newestKnown tracks the newest version of the configuration that another instance is known to have, and where the
// one in force came from. It is safe for concurrent use.
type newestKnown struct {
	mu     sync.Mutex
	newest int64
	// newestFrom is the first instance that is known to have that version.
	newestFrom entity.InstanceID
	// behindSince is since when the version in force has been older and has not become newer, zero if it is not older.
	behindSince time.Time
	// inForceFrom is where the version in force came from, "store" or an instance, and inForceAt is when.
	inForceFrom string
	inForceAt   time.Time
	// coordinator is that of the local zone; heardAt is when it last told something, zero for never.
	coordinator entity.InstanceID
	heardAt     time.Time
	loggedAt    time.Time
}

// observe processes the version that another instance has, given the one in force here.
func (k *newestKnown) observe(now time.Time, from entity.InstanceID, version, inForce int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.newest {
		k.newest, k.newestFrom = version, from
	}
	if k.newest > inForce && k.behindSince.IsZero() {
		k.behindSince = now
	}
}

// applied records that a version was put into force, and returns for how long the one before was known to be too old.
func (k *newestKnown) applied(now time.Time, version int64, from string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	behind := k.behindFor(now)
	k.inForceFrom, k.inForceAt = from, now
	k.behindSince = time.Time{}
	if k.newest > version {
		k.behindSince = now
	}
	return behind
}

// behindFor returns for how long the version in force has been known to be too old, 0 if it isn't. k.mu must be held.
func (k *newestKnown) behindFor(now time.Time) time.Duration {
	if k.behindSince.IsZero() {
		return 0
	}
	return now.Sub(k.behindSince)
}

// version returns the newest version that another instance is known to have.
func (k *newestKnown) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest
}

// setCoordinator sets the coordinator of the local zone and returns the one before.
func (k *newestKnown) setCoordinator(id entity.InstanceID) (before entity.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, k.coordinator = k.coordinator, id
	return before
}

// heard records that an instance has told something.
func (k *newestKnown) heard(now time.Time, from entity.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if from == k.coordinator {
		k.heardAt = now
	}
}

// ConfigStanding implements edge.Scheduler.
func (g *Instance) ConfigStanding() edge.ConfigStanding {
	now, k := time.Now(), &g.newest
	k.mu.Lock()
	defer k.mu.Unlock()
	s := edge.ConfigStanding{
		Version: g.state.version(), From: k.inForceFrom, InForceFor: now.Sub(k.inForceAt), ProofAge: g.state.proofAge(),
		Newest: k.newest, NewestFrom: k.newestFrom, BehindFor: k.behindFor(now), Coordinator: k.coordinator, CoordinatorSilentFor: -1,
	}
	if !k.heardAt.IsZero() {
		s.CoordinatorSilentFor = now.Sub(k.heardAt)
	}
	return s
}

// logBehind logs, from time to time, that this instance lacks a version that another one has.
func (c *control) logBehind(now time.Time) {
	k := &c.g.newest
	k.mu.Lock()
	due := k.behindFor(now) >= behindLogged && now.Sub(k.loggedAt) >= behindRepeat
	if due {
		k.loggedAt = now
	}
	k.mu.Unlock()
	if due {
		telemetry.Log(c.g.log, telemetry.EventConfigBehind, append(c.g.ConfigStanding().Fields(), "reads", c.zone.ReadReason(now),
			"read_age_ms", c.g.follower.readAge(now).Milliseconds(), "store_answer_age_ms", c.g.follower.storeAnswerAge(now).Milliseconds())...)
	}
}
