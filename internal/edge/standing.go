package edge

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// ConfigStanding describes how well it is known that the configuration in force is the newest, to explain a refusal.
type ConfigStanding struct {
	// Version is in force for InForceFor; it came from From, an instance or the store.
	Version    int64
	From       string
	InForceFor time.Duration
	// ProofAge is the time since it was proved to be the newest.
	ProofAge time.Duration
	// Newest is the newest version that another instance, NewestFrom, is known to have. It has been newer than the
	// one in force for LaggingFor, 0 if it isn't.
	Newest     int64
	NewestFrom entity.InstanceID
	LaggingFor time.Duration
	// Coordinator is the zone's coordinator, which last told something CoordinatorSilentFor ago, negative for never.
	Coordinator          entity.InstanceID
	CoordinatorSilentFor time.Duration
}

// Fields returns the fields of a log line.
func (s ConfigStanding) Fields() []any {
	return []any{
		"config_version", s.Version, "config_from", s.From, "in_force_ms", s.InForceFor.Milliseconds(), "proof_age_ms", s.ProofAge.Milliseconds(),
		"newest_known", s.Newest, "newest_from", s.NewestFrom, "lagging_ms", s.LaggingFor.Milliseconds(),
		"coordinator", s.Coordinator, "heard_ms", s.CoordinatorSilentFor.Milliseconds(),
	}
}
