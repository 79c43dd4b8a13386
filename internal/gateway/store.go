package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
)

// Store holds the configuration that operators publish, the endpoints that discovery
// has recorded, and the registered instances. Its methods are called concurrently.
//
// What a read returns reaches to the end of what was there when it began: callers take what is missing in it
// for what does not exist.
type Store interface {
	// Config returns the newest configuration after a position. It waits for one for
	// up to wait.
	Config(ctx context.Context, after storeera.Position, wait time.Duration) (ConfigRead, error)
	// Endpoints returns the changes that discovery has recorded after a position.
	Endpoints(ctx context.Context, after storeera.Position) (EndpointsRead, error)
	// Register adds an instance to those that Instances returns.
	Register(ctx context.Context, self entity.Instance) error
	// Instances returns all instances that have registered, including some that no
	// longer run.
	Instances(ctx context.Context) (InstancesRead, error)
	// MarkSettled records that an era of the store is settled: the operator has had the time to publish
	// again what the store may have lost before.
	MarkSettled(ctx context.Context, era int64) error
	// SaveQuarantine stores records of the quarantine for instances that start later.
	SaveQuarantine(ctx context.Context, s *quarantine.State) error
	// LoadQuarantine returns the records that were saved last, with their ages of now; nil
	// if there are none.
	LoadQuarantine(ctx context.Context) (*quarantine.State, error)
	// AppendOrigins appends records of the origins of streams, in one step. If at is not nil, it
	// fails unless the log ends there.
	AppendOrigins(ctx context.Context, at *storeera.Position, records []OriginRecord) error
	// Origins returns the records of origins that were appended after a position.
	Origins(ctx context.Context, after storeera.Position) (OriginsRead, error)
	// Rollouts returns the words about roll-outs that were saved, and the operators' status.
	Rollouts(ctx context.Context) (RolloutsRead, error)
	// SaveRollout saves a word. It fails unless the log of words ends at a position.
	SaveRollout(ctx context.Context, at storeera.Position, w rollout.Word) error
	// WriteRolloutStatus tells operators the state of an order.
	WriteRolloutStatus(ctx context.Context, pool entity.PoolID, s RolloutStatus) error
}

// OriginRecord is one record of the log of origins. The newest record of each key is kept.
type OriginRecord struct {
	Key string
	// Batch is nil if the record removes the key.
	Batch *origin.Batch
}

// OriginsRead is the result of Store.Origins.
type OriginsRead struct {
	Records []OriginRecord
	// Complete is set if the records are the newest of each key, and not what was appended after
	// a position.
	Complete bool
	// Next is the position for the next read. It has the era of the response.
	Next storeera.Position
}

// InstancesRead is the result of Store.Instances.
type InstancesRead struct {
	Instances []entity.Instance
	// Settled is the era that was marked last, storeera.NoEra for none.
	Settled int64
}

// ConfigRead is the result of Store.Config.
type ConfigRead struct {
	// Config is nil if there is no new configuration.
	Config *catalog.Config
	// Complete is set if the present state was read, and not what was published after
	// a position.
	Complete bool
	// Next is the position for the next read. It has the era of the response.
	Next storeera.Position
	// Malformed holds an error for each record that could not be decoded. Unreadable is set if one of them
	// is the newest configuration.
	Malformed  []error
	Unreadable bool
	// Orders are the records about roll-outs, and MalformedOrders an error for each that could not be
	// decoded.
	Orders          []rollout.Heard
	MalformedOrders []error
}

// EndpointsRead is the result of Store.Endpoints.
type EndpointsRead struct {
	Changes []catalog.Change
	// Complete is set if the changes are the complete present state: endpoints that
	// are not among them have been removed.
	Complete bool
	// Next is the position for the next read. It has the era of the response.
	Next storeera.Position
	// Malformed holds an error for each entry that could not be decoded.
	Malformed []error
}
