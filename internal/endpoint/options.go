package endpoint

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultNoProgress     = 3 * time.Second
	DefaultCallNoProgress = 30 * time.Second
	DefaultCallLimit      = 2 * time.Minute
	DefaultReattachTries  = 5
	DefaultReattachPause  = 50 * time.Millisecond
	DefaultControlTries   = 3
	DefaultMaxEventBytes  = 64 << 10
	DefaultMaxBodyBytes   = 8 << 20
)

// Options configures a Client. Zero values stand for the defaults.
type Options struct {
	// TLS is used towards endpoints; nil means plain TCP. Certificates are
	// replaced through the callbacks of tls.Config.
	TLS *tls.Config
	// Wrap, if set, is put around each connection, beneath TLS.
	Wrap func(net.Conn) net.Conn
	// DialTimeout bounds the opening of a connection, TLS included.
	DialTimeout time.Duration
	// NoProgress is how long a connection to an engine may go without a byte
	// before it is taken as dead. Engines send a comment each second.
	NoProgress time.Duration
	// CallNoProgress is the same for plain services, which send nothing while they work.
	CallNoProgress time.Duration
	// CallLimit bounds a call to a plain service as a whole, so that one that
	// sends a byte now and then comes to an end too.
	CallLimit time.Duration
	// ReattachTries bounds the attempts in a row to re-attach to a stream
	// without a new token.
	ReattachTries int
	// ReattachPause is the first pause before an attempt; pauses grow
	// exponentially, with jitter.
	ReattachPause time.Duration
	// ControlTries bounds the attempts of a call that may be repeated.
	ControlTries int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxBodyBytes bounds the body of any other answer.
	MaxBodyBytes int64
	// Metrics takes the counters; nil means a registry of its own.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.NoProgress = orDefault(o.NoProgress, DefaultNoProgress)
	o.CallNoProgress = orDefault(o.CallNoProgress, DefaultCallNoProgress)
	o.CallLimit = orDefault(o.CallLimit, DefaultCallLimit)
	o.ReattachTries = orDefault(o.ReattachTries, DefaultReattachTries)
	o.ReattachPause = orDefault(o.ReattachPause, DefaultReattachPause)
	o.ControlTries = orDefault(o.ControlTries, DefaultControlTries)
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
