package daemon

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// claimExchangeTimeout bounds an append or read of a claim stream at the log
// service, in addition to the time that a read waits for records.
const claimExchangeTimeout = 2 * time.Second

// claimLog appends to and reads the claim streams on behalf of the decision core.
//
// It uses two clients of the log service, whose bytes are counted separately:
// busy for traffic that requests cause, idle for the reads that keep a claim
// shard up to date while no request waits for it.
type claimLog struct {
	busy, idle platform.Log
	post       func(msg any)
}

// append appends a batch on a new goroutine, without retries, and posts the
// outcome as a node.ClaimAppended.
func (c *claimLog) append(a node.ClaimAppend) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimExchangeTimeout)
		defer cancel()
		offset, err := c.busy.Append(ctx, a.Batch.Stream, a.Batch.Data)
		c.post(node.ClaimAppended{Shard: a.Shard, Batch: a.Batch.ID, Status: stream.StatusOf(err), Offset: offset})
	}()
}

// read makes one read on a new goroutine and posts the result as a node.ClaimRead.
func (c *claimLog) read(r node.ClaimReadRequest) {
	go func() {
		log := c.busy
		if r.Read.Idle {
			log = c.idle
		}
		res, err := readStream(log, r.Read, claimExchangeTimeout)
		c.post(node.ClaimRead{Shard: r.Shard, Result: res, Err: err})
	}()
}
