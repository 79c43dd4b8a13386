package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// countedLog wraps a platform.Log. It counts calls and logs appends whose outcome is unknown.
type countedLog struct {
	platform.Log
	metrics *telemetry.Metrics
	log     logr.Logger
}

// Append implements platform.Log.
func (c countedLog) Append(ctx context.Context, s platform.Stream, data []byte) (platform.Offset, error) {
	c.metrics.LogCall("append", string(s))
	offset, err := c.Log.Append(ctx, s, data)
	if err != nil && stream.StatusOf(err) == stream.AppendUnknown {
		telemetry.Log(c.log, telemetry.EventAppendUnknown, "stream", s)
	}
	return offset, err
}

// Read implements platform.Log.
func (c countedLog) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadResult, error) {
	c.metrics.LogCall("read", string(s))
	return c.Log.Read(ctx, s, from, limit, wait)
}
