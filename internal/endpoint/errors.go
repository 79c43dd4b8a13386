package endpoint

import (
	"context"
	"errors"
	"net"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// ErrOldFence means that an engine has seen a higher fencing number.
var ErrOldFence = errors.New("endpoint: the order carries an old fencing number")

// errBodyTooLarge means that an answer is larger than the limit.
var errBodyTooLarge = errors.New("endpoint: answer is larger than the limit")

// notSent is the error of a request of which no byte was sent.
func (c *Client) notSent(ctx context.Context, address string, err error) error {
	reason := contextReason(ctx, verdict.ReasonEndpointRefused)
	return c.failed(verdict.New(verdict.NotRun, reason, 0, "endpoint %s was not reached: %v", address, err))
}

// lost is the error of a request whose end is not known.
func (c *Client) lost(ctx context.Context, reason verdict.Reason, address string, err error) error {
	reason = contextReason(ctx, reason)
	return c.failed(verdict.New(verdict.MayHaveRun, reason, 0, "endpoint %s: %v", address, err))
}

// contextReason returns the reason for which ctx ended, or otherwise if it hasn't.
func contextReason(ctx context.Context, otherwise verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCallerGone
	}
	return otherwise
}

// isTimeout says whether err came from a connection without progress.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
