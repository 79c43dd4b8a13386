package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Home lends the zone's part of the contracts that it is home to.
type Home struct {
	settings  Settings
	contracts Contracts
	self      entity.InstanceID
	zone      zone
	loans     map[entity.OrgID]*loan
	// movedAt is when this instance may last have become home of something.
	movedAt time.Time
	// since lists the member digests from movedAt on; told maps a member to
	// the digest under which it last listed all it holds.
	since []uint32
	told  map[entity.InstanceID]uint32
	// early keeps complete demands made under a view that this instance does
	// not have yet.
	early map[entity.InstanceID]earlyDemand
	// joinedAt is when a member appeared; it may come from a part of the zone
	// that was cut off, and hold shares of a home there.
	joinedAt map[entity.InstanceID]time.Time
	lastTick time.Time
	nextTidy time.Time
	// nextTell is when members may be asked again for what they hold.
	nextTell time.Time
	seq      uint64
	messages []Outgoing
}

// earlyDemand is a demand that waits for the view to catch up.
type earlyDemand struct {
	at time.Time
	Demand
}

// earlyFor is how long a demand waits for the view to catch up. A later demand
// of the same borrower replaces it.
const earlyFor = 6 * time.Second

// NewHome returns a home that has lent nothing.
func NewHome(s Settings, self entity.InstanceID, contracts Contracts) *Home {
	return &Home{
		settings: s, contracts: contracts, self: self, zone: newZone(Zone{}),
		loans: make(map[entity.OrgID]*loan), told: make(map[entity.InstanceID]uint32),
		early: make(map[entity.InstanceID]earlyDemand), joinedAt: make(map[entity.InstanceID]time.Time),
	}
}

// SetZone takes in a change of the membership view.
func (h *Home) SetZone(now time.Time, z Zone) {
	before := h.zone
	h.zone = newZone(z)
	if h.zone.digest != before.digest {
		h.moved(now, &before)
	}
	for org, l := range h.loans {
		if h.zone.home(org) != h.self {
			delete(h.loans, org)
			continue
		}
		l.resize(h.limits(l.limit))
	}
	for _, m := range h.zone.members {
		if d, ok := h.early[m.ID]; ok && d.MembersDigest == h.zone.digest {
			delete(h.early, m.ID)
			h.Step(now, m.ID, d.Demand)
		}
	}
}

// moved notes that organisations may have got this instance as their new home.
func (h *Home) moved(now time.Time, before *zone) {
	wasHome := slices.ContainsFunc(before.members, func(m entity.Instance) bool { return m.ID == h.self && !m.Leaving })
	lost := !wasHome || h.zone.lostMember(before)
	if lost {
		h.movedAt = now
		clear(h.told)
	}
	if lost || now.Sub(h.movedAt) >= h.settings.LeaseFor {
		h.since = h.since[:0]
	}
	h.since = append(h.since, h.zone.digest)
	for _, m := range h.zone.members {
		if !before.has(m.ID) {
			h.joinedAt[m.ID] = now
			delete(h.told, m.ID)
		}
	}
}

// limits returns the part of a contract that the zone may lend.
func (h *Home) limits(l Limit) Limit {
	w := h.zone.weight()
	return Limit{
		Rate:       l.Rate * w * (1 - h.settings.BaseFraction),
		Burst:      int(ceil(float64(l.Burst) * w)),
		Concurrent: int(ceil(float64(l.Concurrent) * w)),
	}
}

// settled reports whether this home knows all that is lent.
func (h *Home) settled(now time.Time) bool {
	moved := now.Sub(h.movedAt) < h.settings.LeaseFor
	if !moved && len(h.joinedAt) == 0 {
		return true
	}
	for _, m := range h.zone.members {
		joined, ok := h.joinedAt[m.ID]
		if !moved && (!ok || now.Sub(joined) >= h.settings.LeaseFor) {
			continue
		}
		if d, ok := h.told[m.ID]; !ok || !slices.Contains(h.since, d) {
			return false
		}
	}
	return true
}

// tellInterval is the time between two questions to the same members.
const tellInterval = 500 * time.Millisecond

// askWhoHasNotTold asks the members for what they hold that have not told it
// under a view that this home had. Nothing can be lent before they have, or
// until the leases have run out.
func (h *Home) askWhoHasNotTold(now time.Time) {
	if now.Before(h.nextTell) {
		return
	}
	h.nextTell = now.Add(tellInterval)
	for _, m := range h.zone.members {
		if d, ok := h.told[m.ID]; !ok || !slices.Contains(h.since, d) {
			h.messages = append(h.messages, Outgoing{To: m.ID, Share: &Share{Seq: h.nextSeq(), RequestComplete: true}})
		}
	}
}

// thaw forgets all loans when this instance has been away: others may have
// lent meanwhile.
func (h *Home) thaw(now time.Time) {
	if !h.lastTick.IsZero() && now.Sub(h.lastTick) > h.settings.MaxTickGap {
		clear(h.loans)
		clear(h.told)
		h.movedAt = now
	}
	h.lastTick = now
}

// tidyInterval is the time between two looks for loans that have ended.
const tidyInterval = time.Second

// Tick lets time pass.
func (h *Home) Tick(now time.Time) {
	h.thaw(now)
	if now.Before(h.nextTidy) {
		return
	}
	h.nextTidy = now.Add(tidyInterval)
	for _, org := range slices.Sorted(maps.Keys(h.loans)) {
		h.tidy(now, h.loans[org])
	}
	for id := range h.told {
		if !h.zone.has(id) {
			delete(h.told, id)
		}
	}
	for id, at := range h.joinedAt {
		if now.Sub(at) >= h.settings.LeaseFor {
			delete(h.joinedAt, id)
		}
	}
	for id, d := range h.early {
		if now.Sub(d.at) >= earlyFor {
			delete(h.early, id)
		}
	}
}

// tidy ends what has run out, and takes back what is lent too much.
func (h *Home) tidy(now time.Time, l *loan) {
	l.refresh(now)
	l.limit, _ = h.contracts(l.org)
	l.resize(h.limits(l.limit))
	l.holders = slices.DeleteFunc(l.holders, func(b *holder) bool { return !now.Before(b.expires) })
	if l.freeRate() < 0 || l.freeConcurrent() < 0 {
		h.takeBack(now, l, "")
	}
	if len(l.holders) == 0 && l.tokens >= float64(l.part.Burst) {
		delete(h.loans, l.org)
	}
}

// Ready hands out what is to be sent and starts a new batch.
func (h *Home) Ready() Ready {
	r := Ready{Messages: h.messages}
	h.messages = nil
	return r
}

// Loans returns how many organisations have something lent.
func (h *Home) Loans() int { return len(h.loans) }

func compareHolder(b *holder, id entity.InstanceID) int { return cmp.Compare(b.id, id) }
