package endpoint

import (
	"context"
	"errors"
	"net"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// ErrOldFence means that an engine has seen a higher fencing number.
var ErrOldFence = errors.New("endpoint: the order carries an old fencing number")

// errBodyTooLarge means that a response's body is larger than the limit.
var errBodyTooLarge = errors.New("endpoint: answer is larger than the limit")

// notRun counts and returns the error of a request of which no byte was sent.
func (c *Client) notRun(ctx context.Context, address string, err error) error {
	reason := contextReason(ctx, verdict.ReasonEndpointRefused)
	return c.countFailure(verdict.New(verdict.NotRun, reason, 0, "endpoint %s was not reached: %v", address, err))
}

// mayHaveRun counts and returns the error of a request whose outcome is unknown.
func (c *Client) mayHaveRun(ctx context.Context, reason verdict.Reason, address string, err error) error {
	reason = contextReason(ctx, reason)
	return c.countFailure(verdict.New(verdict.MayHaveRun, reason, 0, "endpoint %s: %v", address, err))
}

// contextReason returns the reason why ctx ended, or fallback if it has not ended.
func contextReason(ctx context.Context, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCallerGone
	}
	return fallback
}

// isTimeout reports whether err is a timeout, such as that of a connection
// without progress.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
