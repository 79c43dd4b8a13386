// Package platform defines the interfaces to the services of the platform: the
// append-only log service, the list of instances and the weight store. Each has
// an HTTP client in this package, which the daemon uses, and an in-process
// simulation for tests in internal/standin.
package platform

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Stream is the name of a stream of the log service.
type Stream string

// Offset is the position of a record in its stream; the first is 0.
type Offset int64

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"` // when the log service appended it, by its clock
	Data   []byte    `json:"data"`
}

// Log is the platform's append-only log service. It accepts several hundred
// appends per second in total from all its clients, keeps records for a limited
// time and has outages.
type Log interface {
	// Append adds one record and returns its offset. ErrUnknownOutcome means
	// that the record may or may not be in the stream: read the stream to find
	// out. ErrNotAppended means that it is not and never will be.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns up to limit records, beginning at offset from. With wait > 0
	// it waits up to wait for a first record. ErrTruncated means that the log
	// has dropped the offset because of its retention; First and Next of the
	// result are then still valid.
	Read(ctx context.Context, s Stream, from Offset, limit int, wait time.Duration) (ReadResult, error)
}

// ReadResult is the result of one Read.
type ReadResult struct {
	Records []Record `json:"records"`
	// First is the oldest offset still in the stream, Next the one after the newest.
	First Offset `json:"first"`
	Next  Offset `json:"next"`
}

// InstanceList is the platform's list of live and leaving instances. Changes
// appear in it with a delay.
type InstanceList interface {
	// Register adds the instance to the list or renews its row. The row expires
	// unless it is renewed; instances renew it every ListRenewInterval.
	Register(ctx context.Context, in entity.Instance) error
	// Deregister removes the instance from the list.
	Deregister(ctx context.Context, id entity.InstanceID) error
	// List returns the current content of the list.
	List(ctx context.Context) ([]entity.Instance, error)
}

// ListRenewInterval is the interval at which an instance renews its row of the list.
const ListRenewInterval = 2 * time.Second

// WeightStore holds model weights. All clients share its limited transfer rate.
type WeightStore interface {
	// Stat returns the size of the weights in bytes.
	Stat(ctx context.Context, name string) (int64, error)
}
