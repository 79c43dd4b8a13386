package zone

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Members and coordinators send each other the records of the quarantine and the statements
// about limits that have changed since their last message. A message that may not have arrived
// is followed by all of them.

// minKnownReceivers is the number of receivers up to which all are remembered; beyond twice
// the zone's size most have left.
const minKnownReceivers = 64

// knownVersions holds the version of a set of records that each receiver has, 0 for none.
type knownVersions map[entity.InstanceID]uint64

// update records that a receiver is sent a version. It returns the version that it had, and
// whether that is another one.
func (k knownVersions) update(to entity.InstanceID, version uint64, zoneSize int) (known uint64, lacks bool) {
	if known = k[to]; known == version {
		return known, false
	}
	if len(k) > max(minKnownReceivers, 2*zoneSize) {
		clear(k)
	}
	k[to] = version
	return known, true
}

// advance records that the change from one version to the next came from a receiver, which
// need not be sent it if it had the one before.
func (k knownVersions) advance(from entity.InstanceID, before, version uint64) {
	if k[from] == before {
		k[from] = version
	}
}
