package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Cursor is a position in what the store tells; its meaning is the adapter's.
type Cursor int64

// FromStart asks for everything that stands now.
const FromStart Cursor = -1

// Store is where operators and endpoints say what is in force.
type Store interface {
	// Config returns the newest configuration after a cursor. It waits up to
	// wait for one.
	Config(ctx context.Context, after Cursor, wait time.Duration) (ConfigRead, error)
	// Endpoints returns what discovery has recorded after a cursor.
	Endpoints(ctx context.Context, after Cursor) (EndpointsRead, error)
	// Register makes an instance known to those that call Instances.
	Register(ctx context.Context, self entity.Instance) error
	// Instances returns who has registered, gone ones among them.
	Instances(ctx context.Context) ([]entity.Instance, error)
}

// ConfigRead is the outcome of reading the configuration.
type ConfigRead struct {
	// Config is nil when nothing has changed.
	Config *catalog.Config
	Next   Cursor
	// Malformed says what could not be read.
	Malformed []error
}

// EndpointsRead is the outcome of reading discovery.
type EndpointsRead struct {
	Changes []catalog.Change
	// Complete says that the changes are all that stands: other endpoints are gone.
	Complete bool
	Next     Cursor
	// Malformed says which entries could not be read.
	Malformed []error
}
