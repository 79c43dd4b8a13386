package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// claimExchangeTimeout bounds an exchange about claims with the log service,
// beyond the time that a read waits for records.
const claimExchangeTimeout = 2 * time.Second

// claimLog appends and reads the claims' streams for the decision core.
//
// The two clients of the log service differ in where their bytes are counted:
// busy carries what requests cause, idle the reads that keep a home up to date
// while no request waits for it.
type claimLog struct {
	busy, idle platform.Log
	post       func(msg any)
}

// append appends a batch, once, on a goroutine of its own.
func (c *claimLog) append(a node.ClaimAppend) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimExchangeTimeout)
		defer cancel()
		offset, err := c.busy.Append(ctx, a.Batch.Stream, a.Batch.Data)
		c.post(node.ClaimAppended{Shard: a.Shard, Batch: a.Batch.ID, Status: appendStatus(err), Offset: offset})
	}()
}

func appendStatus(err error) claim.AppendStatus {
	switch {
	case err == nil:
		return claim.AppendDone
	case errors.Is(err, platform.ErrNotAppended):
		return claim.AppendFailed
	default:
		return claim.AppendUnknown
	}
}

// read makes one read, on a goroutine of its own.
func (c *claimLog) read(r node.ClaimReadRequest) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimExchangeTimeout+r.Read.Wait)
		defer cancel()
		log := c.busy
		if r.Read.Idle {
			log = c.idle
		}
		res, err := log.Read(ctx, r.Read.Stream, r.Read.From, r.Read.Limit, r.Read.Wait)
		if errors.Is(err, platform.ErrTruncated) {
			res.Records, err = nil, nil // Fold learns from First that records are gone
		}
		c.post(node.ClaimRead{Shard: r.Shard, Result: res, Err: err})
	}()
}
