package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/zone"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// laggingLogged is how long an instance may lack a version that another one has before that is logged, and
	// the time between two such lines.
	laggingLogged = 500 * time.Millisecond
	laggingRepeat = time.Second
)

// newestKnown tracks the newest version of the configuration that another instance is known to have, and where the
// one in force came from. It is safe for concurrent use.
type newestKnown struct {
	mu  sync.Mutex
	lag zone.VersionLag
	// inForceFrom is where the version in force came from, "store" or an instance, and inForceAt is when.
	inForceFrom string
	inForceAt   time.Time
	// coordinator is that of the local zone; heardAt is when it last told something, zero for never.
	coordinator entity.InstanceID
	heardAt     time.Time
	loggedAt    time.Time
}

// observe processes the version that another instance has, given the state in force here.
func (k *newestKnown) observe(now time.Time, from entity.InstanceID, version int64, state *localState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lag.Observe(now, from, version, state.version())
}

// applied records that a version was put into force, and returns for how long the one before was known to be too old.
func (k *newestKnown) applied(now time.Time, version int64, from string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	lagged := k.lag.For(now)
	k.inForceFrom, k.inForceAt = from, now
	k.lag.Applied(now, version)
	return lagged
}

// laggingFor returns for how long the version in force has been known to be too old, 0 if it isn't.
func (k *newestKnown) laggingFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lag.For(now)
}

// isBehind reports whether another instance is known to have a newer version.
func (k *newestKnown) isBehind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lag.IsBehind()
}

// version returns the newest version that another instance is known to have.
func (k *newestKnown) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lag.Newest
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
		Newest: k.lag.Newest, NewestFrom: k.lag.From, LaggingFor: k.lag.For(now), Coordinator: k.coordinator, CoordinatorSilentFor: -1,
	}
	if !k.heardAt.IsZero() {
		s.CoordinatorSilentFor = now.Sub(k.heardAt)
	}
	return s
}

// logLagging logs, from time to time, that this instance lacks a version that another one has.
func (c *control) logLagging(now time.Time) {
	k := &c.g.newest
	k.mu.Lock()
	due := k.lag.For(now) >= laggingLogged && now.Sub(k.loggedAt) >= laggingRepeat
	if due {
		k.loggedAt = now
	}
	k.mu.Unlock()
	if due {
		telemetry.Log(c.g.log, telemetry.EventConfigLagging, append(c.g.ConfigStanding().Fields(), "reads", c.zone.ReadReason(now),
			"read_age_ms", c.g.follower.readAge(now).Milliseconds(), "store_answer_age_ms", c.g.follower.storeAnswerAge(now).Milliseconds())...)
	}
}
