package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// Name identifies a lease.
type Name string

// DefaultStream is the stream that holds the records of leases.
const DefaultStream platform.Stream = "leases"

// Settings configures a Lease. A duration or MaxClockDrift that is zero or negative is
// replaced by its default, and so is an empty Stream. Name and Instance are required.
type Settings struct {
	Name     Name
	Instance entity.InstanceID // must be different after each restart
	Stream   platform.Stream
	// Term is how long a lease lasts without a renewal.
	Term time.Duration
	// RenewEvery is the pause between renewals.
	RenewEvery time.Duration
	// Margin is subtracted from the term as the holder measures it, and added to the
	// term as all others measure it.
	Margin time.Duration
	// MaxClockDrift is the maximum relative error of a clock's rate, as a fraction.
	MaxClockDrift float64
	// MaxOrderDuration is the time after which the holder abandons an order that it
	// sent.
	MaxOrderDuration time.Duration
	// Stagger is the delay of each rank of candidates after the one before it.
	Stagger time.Duration
	// AppendTimeout is the time after which the result of an append without an answer
	// counts as unknown; its record may still reach the stream.
	AppendTimeout time.Duration
	// Backoff is the pause after a failed append or read.
	Backoff time.Duration
	// ReadTimeout, ReadInterval and ReadWait are as in claim.Settings.
	ReadTimeout  time.Duration
	ReadInterval time.Duration
	ReadWait     time.Duration
}

// The default settings.
const (
	DefaultTerm             = 15 * time.Second
	DefaultRenewEvery       = 5 * time.Second
	DefaultMargin           = 500 * time.Millisecond
	DefaultMaxClockDrift    = 0.001
	DefaultMaxOrderDuration = 5 * time.Second
	DefaultStagger          = time.Second
	DefaultAppendTimeout    = 2 * time.Second
	DefaultBackoff          = 500 * time.Millisecond
	DefaultReadTimeout      = 3 * time.Second
	DefaultReadInterval     = 2 * time.Second
	DefaultReadWait         = 500 * time.Millisecond

	// readLimit is the maximum number of records of one read.
	readLimit = 256
	// maxRecordBytes is the maximum size of a record; a larger one is ignored.
	maxRecordBytes = 4 << 10
)

func (s Settings) withDefaults() (Settings, error) {
	if s.Stream == "" {
		s.Stream = DefaultStream
	}
	if s.MaxClockDrift <= 0 {
		s.MaxClockDrift = DefaultMaxClockDrift
	}
	for _, d := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&s.Term, DefaultTerm},
		{&s.RenewEvery, DefaultRenewEvery},
		{&s.Margin, DefaultMargin},
		{&s.MaxOrderDuration, DefaultMaxOrderDuration},
		{&s.Stagger, DefaultStagger},
		{&s.AppendTimeout, DefaultAppendTimeout},
		{&s.Backoff, DefaultBackoff},
		{&s.ReadTimeout, DefaultReadTimeout},
		{&s.ReadInterval, DefaultReadInterval},
		{&s.ReadWait, DefaultReadWait},
	} {
		if *d.value <= 0 {
			*d.value = d.def
		}
	}
	return s, s.check()
}

func (s Settings) check() error {
	switch {
	case s.Name == "" || s.Instance == "":
		return trace.BadParameter("lease: name or instance is missing")
	case s.MaxClockDrift >= 0.5:
		return trace.BadParameter("lease: clock drift %v is too large", s.MaxClockDrift)
	case s.RenewEvery+s.AppendTimeout >= s.shorten(s.Term):
		return trace.BadParameter("lease: term %v is too short for a renewal every %v with a timeout of %v",
			s.Term, s.RenewEvery, s.AppendTimeout)
	}
	return nil
}

// shorten returns the duration d as the holder of the lease measures it: shortened by
// the clock drift and the margin.
func (s Settings) shorten(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1-s.MaxClockDrift)) - s.Margin
}

// lengthen returns the duration d as all others measure it: lengthened by the clock
// drift and the margin.
func (s Settings) lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+s.MaxClockDrift)) + s.Margin
}
