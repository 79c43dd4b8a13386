package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Home lends the zone's part of the contracts of the organisations that this
// instance is the home of.
type Home struct {
	settings  Settings
	contracts Contracts
	self      entity.InstanceID
	zone      zone
	loans     map[entity.OrgID]*loan
	// gainedAt is when this instance may last have become the home of an organisation.
	gainedAt time.Time
	// viewDigests are the digests of the members in the views since gainedAt.
	// reported maps a member to the digest under which it last sent a complete
	// demand.
	viewDigests []uint32
	reported    map[entity.InstanceID]uint32
	// early holds complete demands that were sent under a view that this
	// instance does not have yet.
	early map[entity.InstanceID]earlyDemand
	// joinedAt is when a member appeared. The member may come from another side of
	// a partitioned zone and hold shares of a home there.
	joinedAt    map[entity.InstanceID]time.Time
	lastTick    time.Time
	nextCleanup time.Time
	// nextCompleteRequest is when members may be asked again for a complete demand.
	nextCompleteRequest time.Time
	seq                 uint64
	messages            []Outgoing
}

// earlyDemand is a demand that waits until this instance has the view under
// which it was sent.
type earlyDemand struct {
	at time.Time
	Demand
}

// earlyDemandTTL is how long an early demand is held. A later demand of the same
// borrower replaces it.
const earlyDemandTTL = 6 * time.Second

// NewHome returns a home that has lent nothing.
func NewHome(s Settings, self entity.InstanceID, contracts Contracts) *Home {
	return &Home{
		settings: s, contracts: contracts, self: self, zone: newZone(Zone{}),
		loans: make(map[entity.OrgID]*loan), reported: make(map[entity.InstanceID]uint32),
		early: make(map[entity.InstanceID]earlyDemand), joinedAt: make(map[entity.InstanceID]time.Time),
	}
}

// SetZone applies a change of the membership view.
func (h *Home) SetZone(now time.Time, z Zone) {
	before := h.zone
	h.zone = newZone(z)
	if h.zone.digest != before.digest {
		h.membersChanged(now, &before)
	}
	for org, l := range h.loans {
		if h.zone.home(org) != h.self {
			delete(h.loans, org)
			continue
		}
		l.resize(h.lendable(l.limit))
	}
	for _, m := range h.zone.members {
		if d, ok := h.early[m.ID]; ok && d.MembersDigest == h.zone.digest {
			delete(h.early, m.ID)
			h.Step(now, m.ID, d.Demand)
		}
	}
}

// membersChanged records when this instance may have become the home of further
// organisations, and which members have joined.
func (h *Home) membersChanged(now time.Time, before *zone) {
	wasHome := slices.ContainsFunc(before.members, func(m entity.Instance) bool { return m.ID == h.self && !m.Leaving })
	gained := !wasHome || h.zone.lostMember(before)
	if gained {
		h.gainedAt = now
		clear(h.reported)
	}
	if gained || now.Sub(h.gainedAt) >= h.settings.LeaseFor {
		h.viewDigests = h.viewDigests[:0]
	}
	h.viewDigests = append(h.viewDigests, h.zone.digest)
	for _, m := range h.zone.members {
		if !before.has(m.ID) {
			h.joinedAt[m.ID] = now
			delete(h.reported, m.ID)
		}
	}
}

// lendable returns the part of a contract that the zone may lend.
func (h *Home) lendable(l Limit) Limit {
	w := h.zone.weight()
	return Limit{
		Rate:       l.Rate * w * (1 - h.settings.BaseFraction),
		Burst:      int(ceil(float64(l.Burst) * w)),
		Concurrent: int(ceil(float64(l.Concurrent) * w)),
	}
}

// settled reports whether this home knows all shares that are lent: each member
// has sent a complete demand, or the leases that it may hold have expired.
func (h *Home) settled(now time.Time) bool {
	gained := now.Sub(h.gainedAt) < h.settings.LeaseFor
	if !gained && len(h.joinedAt) == 0 {
		return true
	}
	for _, m := range h.zone.members {
		joined, ok := h.joinedAt[m.ID]
		if !gained && (!ok || now.Sub(joined) >= h.settings.LeaseFor) {
			continue
		}
		if d, ok := h.reported[m.ID]; !ok || !slices.Contains(h.viewDigests, d) {
			return false
		}
	}
	return true
}

// completeRequestInterval is the minimum time between two requests to the
// members for complete demands.
const completeRequestInterval = 500 * time.Millisecond

// requestMissingReports asks for a complete demand from each member that has
// not sent one under a view that this home had. Nothing can be lent until all
// have done so or the leases have expired.
func (h *Home) requestMissingReports(now time.Time) {
	if now.Before(h.nextCompleteRequest) {
		return
	}
	h.nextCompleteRequest = now.Add(completeRequestInterval)
	for _, m := range h.zone.members {
		if d, ok := h.reported[m.ID]; !ok || !slices.Contains(h.viewDigests, d) {
			h.messages = append(h.messages, Outgoing{To: m.ID, Share: &Share{Seq: h.nextSeq(), RequestComplete: true}})
		}
	}
}

// checkTickGap discards all loans if the process did not run for longer than
// MaxTickGap, because other instances may have lent the shares in the meantime.
func (h *Home) checkTickGap(now time.Time) {
	if !h.lastTick.IsZero() && now.Sub(h.lastTick) > h.settings.MaxTickGap {
		clear(h.loans)
		clear(h.reported)
		h.gainedAt = now
	}
	h.lastTick = now
}

// cleanupInterval is the time between two scans for loans that have ended.
const cleanupInterval = time.Second

// Tick advances time to now: it discards loans that have ended and lowers shares
// that exceed the zone's part.
func (h *Home) Tick(now time.Time) {
	h.checkTickGap(now)
	if now.Before(h.nextCleanup) {
		return
	}
	h.nextCleanup = now.Add(cleanupInterval)
	for _, org := range slices.Sorted(maps.Keys(h.loans)) {
		h.cleanUp(now, h.loans[org])
	}
	for id := range h.reported {
		if !h.zone.has(id) {
			delete(h.reported, id)
		}
	}
	for id, at := range h.joinedAt {
		if now.Sub(at) >= h.settings.LeaseFor {
			delete(h.joinedAt, id)
		}
	}
	for id, d := range h.early {
		if now.Sub(d.at) >= earlyDemandTTL {
			delete(h.early, id)
		}
	}
}

// cleanUp removes holders whose lease has expired, and lowers the shares of
// others if more is lent than the zone may lend.
func (h *Home) cleanUp(now time.Time, l *loan) {
	l.refresh(now)
	l.limit, _ = h.contracts(l.org)
	l.resize(h.lendable(l.limit))
	l.holders = slices.DeleteFunc(l.holders, func(b *holder) bool { return !now.Before(b.expires) })
	if l.freeRate() < 0 || l.freeConcurrent() < 0 {
		h.lowerShares(now, l, "")
	}
	if len(l.holders) == 0 && l.tokens >= float64(l.lendable.Burst) {
		delete(h.loans, l.org)
	}
}

// Ready returns the messages to be sent since the last call.
func (h *Home) Ready() Ready {
	r := Ready{Messages: h.messages}
	h.messages = nil
	return r
}

// Loans returns the number of organisations that this home has a record of loans for.
func (h *Home) Loans() int { return len(h.loans) }

func compareHolder(b *holder, id entity.InstanceID) int { return cmp.Compare(b.id, id) }
