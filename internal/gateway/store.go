package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Cursor is a position in a topic of the store. Its meaning is up to the adapter.
type Cursor int64

// FromStart is the cursor that requests the complete present state.
const FromStart Cursor = -1

// Store holds the configuration that operators publish, the endpoints that discovery
// has recorded, and the registered instances. Its methods are called concurrently.
type Store interface {
	// Config returns the newest configuration after a cursor. It waits for one for
	// up to wait.
	Config(ctx context.Context, after Cursor, wait time.Duration) (ConfigRead, error)
	// Endpoints returns the changes that discovery has recorded after a cursor.
	Endpoints(ctx context.Context, after Cursor) (EndpointsRead, error)
	// Register adds an instance to those that Instances returns.
	Register(ctx context.Context, self entity.Instance) error
	// Instances returns all instances that have registered, including some that no
	// longer run.
	Instances(ctx context.Context) ([]entity.Instance, error)
}

// ConfigRead is the result of Store.Config.
type ConfigRead struct {
	// Config is nil if there is no new configuration.
	Config *catalog.Config
	// Next is the cursor for the next read.
	Next Cursor
	// Malformed holds an error for each record that could not be decoded.
	Malformed []error
}

// EndpointsRead is the result of Store.Endpoints.
type EndpointsRead struct {
	Changes []catalog.Change
	// Complete is set if the changes are the complete present state: endpoints that
	// are not among them have been removed.
	Complete bool
	// Next is the cursor for the next read.
	Next Cursor
	// Malformed holds an error for each entry that could not be decoded.
	Malformed []error
}
