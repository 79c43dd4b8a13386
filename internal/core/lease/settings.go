package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// Name names a lease.
type Name string

// DefaultStream is the stream that holds the records of leases.
const DefaultStream platform.Stream = "leases"

// Settings of a Lease. The zero value of each duration takes the default;
// Name and Instance are required.
type Settings struct {
	Name     Name
	Instance entity.InstanceID // unique over restarts
	Stream   platform.Stream
	// Term is how long a lease lasts without a renewal.
	Term time.Duration
	// RenewEvery is the pause between renewals.
	RenewEvery time.Duration
	// Margin is taken off the holder's term and added to everyone else's.
	Margin time.Duration
	// MaxClockDrift bounds how much a clock may run fast or slow, as a fraction.
	MaxClockDrift float64
	// MaxOrderDuration is when the holder gives up on an order that it sent.
	MaxOrderDuration time.Duration
	// Stagger keeps candidates of different rank apart.
	Stagger time.Duration
	// AppendTimeout is when an append without an answer is given up on; its
	// record may still come to stand in the stream.
	AppendTimeout time.Duration
	// Backoff is the pause after a failed append or read.
	Backoff time.Duration
	// ReadTimeout, ReadInterval and ReadWait are as with package claim.
	ReadTimeout  time.Duration
	ReadInterval time.Duration
	ReadWait     time.Duration
}

// Defaults of the Settings.
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

	// readLimit is the most records of one read.
	readLimit = 256
	// maxRecordBytes is the longest record that is looked at.
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
		return trace.BadParameter("lease: rate error %v is too large", s.MaxClockDrift)
	case s.RenewEvery+s.AppendTimeout >= s.shorten(s.Term):
		return trace.BadParameter("lease: term %v is too short for a renewal every %v with a timeout of %v",
			s.Term, s.RenewEvery, s.AppendTimeout)
	}
	return nil
}

// shorten shortens a duration as the holder counts it.
func (s Settings) shorten(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1-s.MaxClockDrift)) - s.Margin
}

// lengthen lengthens a duration as everyone else counts it.
func (s Settings) lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+s.MaxClockDrift)) + s.Margin
}
