package telemetry

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logr logger that writes JSON lines to stderr through zap.
// Verbosity 1 adds a line for each request.
func NewLogger(verbosity int) (logr.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(zapcore.Level(-verbosity))
	cfg.Sampling = nil
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	z, err := cfg.Build()
	if err != nil {
		return logr.Discard(), trace.Wrap(err, "building the logger")
	}
	return zapr.NewLogger(z), nil
}
