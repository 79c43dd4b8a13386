package edge

import (
	"context"
	"errors"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// A resumable stream goes on only at the software version of endpoints that began it: what two
// versions write doesn't fit together, and endpoints don't check it.

// errRestarted is returned if a stream began at an endpoint that has restarted since.
var errRestarted = errors.New("the endpoint has restarted, its version is not certain")

// streamID returns the request that began the stream that the call is about.
func (c *call) streamID() entity.RequestID {
	if c.takesUp() && c.resumes != "" {
		return c.resumes
	}
	return c.id
}

// takesUp reports whether the caller goes on with a stream that an earlier request began.
func (c *call) takesUp() bool { return c.route.Resumable && c.meta.LastEventID != "" }

// beginsStream reports whether the next dispatch may begin a stream that can be taken up.
func (c *call) beginsStream() bool { return c.route.Resumable && c.slotRequest.Version == "" }

// findOrigin finds the software version at which the stream goes on that the caller takes up.
func (c *call) findOrigin(ctx context.Context) *verdict.Error {
	if !c.takesUp() {
		return nil
	}
	version, v := c.server.opts.Scheduler.OriginOf(ctx, c.slotRequest.Pool, c.resumes)
	c.slotRequest.Version = version
	return v
}

// beginStream prepares the sending of the first bytes of a response. From here on a resumable
// stream goes on only at the version that began it.
func (c *call) beginStream(a *attempt, resumable bool) error {
	if !resumable || c.slotRequest.Version != "" {
		return nil
	}
	if !c.server.opts.Scheduler.IsCurrent(a.slot.Endpoint) {
		return errRestarted
	}
	if err := c.awaitRecord(a); err != nil {
		return err
	}
	c.slotRequest.Version = a.slot.Endpoint.Version
	c.originUnreadable = c.slotRequest.Version == ""
	return nil
}

// originStands reports whether the stream may go on at the version that is taken to have begun it, if one has.
func (c *call) originStands() bool {
	version := c.slotRequest.Version
	return version == "" || c.server.opts.Scheduler.OriginStands(c.slotRequest.Pool, c.streamID(), version)
}

// awaitRecord waits until the origin of a stream is recorded. It gives up when the request's time
// has run out, its caller has gone or the instance is about to end.
func (c *call) awaitRecord(a *attempt) error {
	if a.recorded == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	select {
	case <-a.recorded:
		return nil
	case <-c.server.opts.Scheduler.Answering().Done():
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}
