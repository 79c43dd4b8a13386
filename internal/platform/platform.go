// Package platform is the edge towards what the platform provides: the
// append-only log service, the list of instances and the weight store.
// The interfaces stand here; each has an HTTP client for the daemon and
// in-process stand-ins for tests (internal/standin).
package platform

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Stream names one stream of the log service.
type Stream string

// Offset is the position of a record in its stream; the first is 0.
type Offset int64

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"` // when the log service took it, by its clock
	Data   []byte    `json:"data"`
}

// Log is the platform's append-only log service. It takes several hundred
// appends a second from everyone together, keeps records for a limited time
// and has outages.
type Log interface {
	// Append adds one record. ErrUnknownOutcome means that the record may or
	// may not stand in the stream: settle it by reading, never by guessing.
	// ErrNotAppended means that it does not and never will.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns up to limit records from offset on, and the next offset to
	// ask for. With wait > 0 it waits that long for a first record.
	// ErrTruncated means that retention has passed the offset.
	Read(ctx context.Context, s Stream, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// ReadResult is what one Read returned.
type ReadResult struct {
	Records []Record `json:"records"`
	// First is the oldest offset still kept, Next the one after the newest.
	First Offset `json:"first"`
	Next  Offset `json:"next"`
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	// Register announces the instance, or renews it; a renewal is due at least
	// every ListRenewInterval.
	Register(ctx context.Context, in entity.Instance) error
	// Deregister takes the instance off the list.
	Deregister(ctx context.Context, id entity.InstanceID) error
	// List returns the list as the platform sees it now.
	List(ctx context.Context) ([]entity.Instance, error)
}

// ListRenewInterval is how often an instance renews its row of the list.
const ListRenewInterval = 2 * time.Second

// WeightStore holds model weights; its rate is limited for everyone together.
type WeightStore interface {
	// Stat returns the size of the weights in bytes.
	Stat(ctx context.Context, name string) (int64, error)
}
