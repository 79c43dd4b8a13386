package zone

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A configuration may be large for the links and processors of small instances,
// and members send several reports while it is being transferred. It is therefore
// compressed, encoded once for all receivers, and sent again only to those that
// still lack it after a while.

const (
	// resendAfter is the time after which something is sent again to a receiver
	// that still lacks it: several times the transfer time of the largest
	// configuration on the slowest link.
	resendAfter = 1500 * time.Millisecond
	// resendAfterFailure replaces resendAfter if a message to the receiver failed
	// in the meantime: two exchange intervals, so that a link that cannot carry
	// the configuration is not flooded.
	resendAfterFailure = 400 * time.Millisecond
	// catchUpGrace is how long another zone may lack a version before it is sent:
	// that zone's coordinator reads the store as well.
	catchUpGrace = 600 * time.Millisecond
	// maxConfigBytes limits the size of a decompressed configuration.
	maxConfigBytes = 64 << 20
)

// configEncoding caches the encoded form of the newest configuration.
type configEncoding struct {
	version int64
	data    []byte
}

// bytes returns the encoded form of a configuration.
func (p *configEncoding) bytes(cfg *catalog.Config) []byte {
	if p.version != cfg.Version || p.data == nil {
		p.version, p.data = cfg.Version, pack(cfg)
	}
	return p.data
}

// unpack decodes a configuration from another instance. It returns nil for empty
// data.
func unpack(data []byte) (*catalog.Config, error) {
	if len(data) == 0 {
		return nil, nil
	}
	cfg := &catalog.Config{}
	if err := unpackInto(data, maxConfigBytes, cfg); err != nil {
		return nil, trace.BadParameter("a peer's configuration can't be read: %v", err)
	}
	if err := stateKeys(cfg); err != nil {
		return nil, err
	}
	cfg.Index()
	return cfg, nil
}

// stateKeys sets the key rule of a configuration from an instance of an older build, which doesn't state it. Without
// organisations it can't be told; the receiver reads the configuration from the store then, as it lacks it.
func stateKeys(cfg *catalog.Config) error {
	if cfg.Keys != catalog.KeysUnstated {
		return nil
	}
	if len(cfg.Organisations) == 0 {
		return trace.BadParameter("a peer's configuration %d doesn't state whether keys are required", cfg.Version)
	}
	cfg.Keys = catalog.KeysRequired
	return nil
}

// sentItem is what was last sent to a receiver.
type sentItem struct {
	// id is the version of a configuration, the digest of a table or anyFullTable.
	id uint64
	// firstAt is when it was first sent, sentAt when last.
	firstAt, sentAt time.Time
	// failed is set if the item may not have arrived.
	failed bool
}

// sentItems records what was last sent to each receiver, so that it is not sent
// again during its transfer.
type sentItems map[entity.InstanceID]sentItem

// shouldSend reports whether an item is to be sent to a receiver now, and if so,
// records it as sent.
func (s sentItems) shouldSend(now time.Time, to entity.InstanceID, id uint64) bool {
	last, ok := s[to]
	interval := resendAfter
	if last.failed {
		interval = resendAfterFailure
	}
	if ok && last.id == id && now.Sub(last.sentAt) < interval {
		return false
	}
	first := now
	if ok && last.id == id {
		first = last.firstAt
	}
	s[to] = sentItem{id: id, firstAt: first, sentAt: now}
	return true
}

// Resend is a configuration that was sent again to an instance that still lacks it.
type Resend struct {
	To entity.InstanceID
	// Version is the one that was sent, Has the one that the instance has.
	Version, Has int64
	// After is the time since it was first sent.
	After time.Duration
}

// configFor returns the encoded configuration for an instance that has the given version, nil if it is not to be
// sent now.
func (c *Core) configFor(now time.Time, to entity.InstanceID, has int64) []byte {
	cfg := c.state.Config()
	if versionOf(cfg) <= has || !c.sentConfigs.shouldSend(now, to, uint64(cfg.Version)) {
		return nil
	}
	if after := now.Sub(c.sentConfigs[to].firstAt); after > 0 {
		c.resends = append(c.resends, Resend{To: to, Version: cfg.Version, Has: has, After: after})
	}
	return c.packedConfig.bytes(cfg)
}

// Resends returns and clears the configurations that were sent again since the last call.
func (c *Core) Resends() []Resend {
	resends := c.resends
	c.resends = nil
	return resends
}

// SendFailed records that a bulletin or an exchange may not have been delivered,
// so that its content may be sent again soon.
func (c *Core) SendFailed(to entity.InstanceID) {
	c.sentConfigs.markFailed(to)
	c.sentTables.markFailed(to)
	delete(c.quarantineKnown, to)
	delete(c.limitsKnown, to)
}

// markFailed records that the item last sent to a receiver may not have arrived.
func (s sentItems) markFailed(to entity.InstanceID) {
	if last, ok := s[to]; ok {
		last.failed = true
		s[to] = last
	}
}

// expire removes the records that no longer delay another transmission.
func (s sentItems) expire(now time.Time) {
	for to, last := range s {
		if now.Sub(last.sentAt) >= resendAfter {
			delete(s, to)
		}
	}
}
