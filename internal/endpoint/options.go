package endpoint

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Defaults of Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultNoProgress       = 3 * time.Second
	DefaultCallNoProgress   = 30 * time.Second
	DefaultCallLimit        = 2 * time.Minute
	DefaultReattachAttempts = 5
	DefaultReattachPause    = 50 * time.Millisecond
	DefaultControlAttempts  = 3
	DefaultMaxEventBytes    = 64 << 10
	DefaultMaxBodyBytes     = 8 << 20
)

// Options configures a Client. Zero fields use the defaults.
type Options struct {
	// TLS is used towards endpoints; nil means plain TCP. Certificates are
	// replaced through the callbacks of tls.Config.
	TLS *tls.Config
	// Wrap, if set, wraps each TCP connection, beneath TLS.
	Wrap func(net.Conn) net.Conn
	// DialTimeout is the maximum time to open a connection, TLS included.
	DialTimeout time.Duration
	// NoProgress is how long a connection to an engine may go without a byte
	// before it is considered dead. Engines send an SSE comment each second.
	NoProgress time.Duration
	// CallNoProgress is the same for plain services, which send nothing while
	// they process a call.
	CallNoProgress time.Duration
	// CallLimit is the maximum total duration of a call to a plain service, so
	// that a service that sends a byte now and then can't prolong it for ever.
	CallLimit time.Duration
	// ReattachAttempts is the maximum number of consecutive attempts to attach to
	// a stream again without a new token.
	ReattachAttempts int
	// ReattachPause is the initial pause of the exponential backoff with jitter
	// between attempts, also those of requests that may be repeated. NoProgress
	// is the longest pause.
	ReattachPause time.Duration
	// ControlAttempts is the maximum number of attempts of a request that may be
	// repeated.
	ControlAttempts int
	// MaxEventBytes is the maximum size of one event of a stream.
	MaxEventBytes int
	// MaxBodyBytes is the maximum size of the body of any other response.
	MaxBodyBytes int64
	// Metrics is the registry of the counters; nil means a new registry.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.NoProgress = orDefault(o.NoProgress, DefaultNoProgress)
	o.CallNoProgress = orDefault(o.CallNoProgress, DefaultCallNoProgress)
	o.CallLimit = orDefault(o.CallLimit, DefaultCallLimit)
	o.ReattachAttempts = orDefault(o.ReattachAttempts, DefaultReattachAttempts)
	o.ReattachPause = orDefault(o.ReattachPause, DefaultReattachPause)
	o.ControlAttempts = orDefault(o.ControlAttempts, DefaultControlAttempts)
	o.MaxEventBytes = orDefault(o.MaxEventBytes, DefaultMaxEventBytes)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
