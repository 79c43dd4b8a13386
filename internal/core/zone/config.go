package zone

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A configuration may be large beside the links and processors of small
// instances, and members report several times while it is on its way. So it
// travels compressed, is encoded once for all, and goes out again only to those
// that still lack it after a while.

const (
	// offerAgainAfter is the time after which a receiver that still lacks what
	// it was sent is sent it again: several times what the largest
	// configuration takes on the slowest link.
	offerAgainAfter = 1500 * time.Millisecond
	// failedAgainAfter is the same where a message to the receiver failed
	// meanwhile: two exchanges, so that a link which can't carry it isn't flooded.
	failedAgainAfter = 400 * time.Millisecond
	// behindFor is how long another zone may lack a version before it is sent:
	// its own coordinator reads the store as well.
	behindFor = 600 * time.Millisecond
	// maxConfigBytes bounds a configuration that is unpacked.
	maxConfigBytes = 64 << 20
)

// packed is the newest configuration as it travels.
type packed struct {
	version int64
	data    []byte
}

// bytes returns a configuration in its travelling form.
func (p *packed) bytes(cfg *catalog.Config) []byte {
	if p.version != cfg.Version || p.data == nil {
		p.version, p.data = cfg.Version, pack(cfg)
	}
	return p.data
}

// unpack decodes a configuration that came from another instance, nil for none.
func unpack(data []byte) (*catalog.Config, error) {
	if len(data) == 0 {
		return nil, nil
	}
	cfg := &catalog.Config{}
	if err := unpackInto(data, maxConfigBytes, cfg); err != nil {
		return nil, trace.BadParameter("a peer's configuration can't be read: %v", err)
	}
	cfg.Index()
	return cfg, nil
}

// offer is what a receiver was sent last, and when.
type offer struct {
	what uint64
	at   time.Time
	// failed says that it may not have arrived.
	failed bool
}

// offers remembers what each receiver was sent, so that it isn't sent again
// while it is on its way.
type offers map[entity.InstanceID]offer

// due says whether a receiver is to be sent something now, and notes that it is.
func (o offers) due(now time.Time, to entity.InstanceID, what uint64) bool {
	last, ok := o[to]
	again := offerAgainAfter
	if last.failed {
		again = failedAgainAfter
	}
	if ok && last.what == what && now.Sub(last.at) < again {
		return false
	}
	o[to] = offer{what: what, at: now}
	return true
}

// DeliveryFailed takes in that a bulletin or an exchange did not get through: what
// it carried may go out again soon.
func (c *Core) DeliveryFailed(to entity.InstanceID) {
	c.configs.fail(to)
	c.tables.fail(to)
}

// fail notes that what a receiver was sent last may not have arrived.
func (o offers) fail(to entity.InstanceID) {
	if last, ok := o[to]; ok {
		last.failed = true
		o[to] = last
	}
}

// forget drops what is too old to matter.
func (o offers) forget(now time.Time) {
	for to, last := range o {
		if now.Sub(last.at) >= offerAgainAfter {
			delete(o, to)
		}
	}
}
