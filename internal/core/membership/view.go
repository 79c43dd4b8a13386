package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Member is a live instance.
type Member struct {
	entity.Instance
	Incarnation uint64
	// Suspect is set while the instance has failed a probe but has not been
	// declared dead.
	Suspect bool
}

// ZoneView describes one zone as this instance knows it.
type ZoneView struct {
	Zone   entity.ZoneID
	Region entity.RegionID
	// Reachable is set if a link of the local zone reaches the zone. The local
	// zone is always reachable.
	Reachable bool
	// Members are the live instances, leaving ones included, sorted by ID.
	Members []Member
}

// View is a snapshot of the live instances. It must not be changed.
type View struct {
	// Version grows with each change that Ready reports.
	Version uint64
	// Self is this instance as it announces itself to its peers.
	Self Member
	// Joined is set once a peer of the zone has answered, or none did in time.
	Joined bool
	// Zones are sorted by name.
	Zones []ZoneView
}

// Zone returns the view of a zone, false if the zone is unknown.
func (v *View) Zone(id entity.ZoneID) (ZoneView, bool) {
	i, ok := slices.BinarySearchFunc(v.Zones, id, func(z ZoneView, id entity.ZoneID) int { return cmp.Compare(z.Zone, id) })
	if !ok {
		return ZoneView{}, false
	}
	return v.Zones[i], true
}

// ReachableMembers returns the live instances of the reachable zones, in the
// form that package ownership takes.
func (v *View) ReachableMembers() map[entity.ZoneID][]entity.Instance {
	out := make(map[entity.ZoneID][]entity.Instance, len(v.Zones))
	for _, z := range v.Zones {
		if !z.Reachable {
			continue
		}
		for _, m := range z.Members {
			out[z.Zone] = append(out[z.Zone], m.Instance)
		}
	}
	return out
}

// View returns the current snapshot. It is built once per change.
func (c *Core) View() View {
	if c.viewStale {
		c.buildView()
	}
	return c.view
}

// FleetSize returns how many instances of all zones may be serving callers: the
// live ones, and those recorded as dead whose death is not confirmed. A death
// is confirmed if the instance had announced its leave, or once
// ConfirmDeathAfter has passed and the platform list no longer contains it.
// Limits that are divided equally among instances must be divided by FleetSize,
// so that an isolated instance does not claim the share of those it can't reach.
func (c *Core) FleetSize(now time.Time) int {
	n := 0
	for _, z := range c.table.zones {
		n += c.zoneSize(now, z)
	}
	return n
}

// ZoneSize returns how many instances of a zone may be serving callers, see FleetSize.
func (c *Core) ZoneSize(now time.Time, zone entity.ZoneID) int {
	for _, z := range c.table.zones {
		if z.zone == zone {
			return c.zoneSize(now, z)
		}
	}
	return 0
}

func (c *Core) zoneSize(now time.Time, z *zoneTable) int {
	n := z.live
	for _, r := range z.rows {
		if r.live() || r.Leaving {
			continue
		}
		if now.Sub(r.since) < c.settings.ConfirmDeathAfter || c.inPlatformList(r.ID) {
			n++
		}
	}
	return n
}

func (c *Core) buildView() {
	c.viewStale = false
	v := View{Version: c.version, Joined: c.joined, Zones: make([]ZoneView, 0, len(c.table.zones))}
	v.Self = memberOf(c.table.byID[c.self])
	for _, z := range c.table.zones {
		if z.live > 0 {
			v.Zones = append(v.Zones, c.zoneView(z))
		}
	}
	c.view = v
}

func (c *Core) zoneView(z *zoneTable) ZoneView {
	zv := ZoneView{Zone: z.zone, Reachable: c.reachable(z.zone), Members: make([]Member, 0, z.live)}
	for _, r := range z.rows {
		if r.live() {
			zv.Members = append(zv.Members, memberOf(r))
			zv.Region = r.Region
		}
	}
	slices.SortFunc(zv.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return zv
}

func memberOf(r *row) Member {
	return Member{
		Instance: entity.Instance{
			ID: r.ID, Zone: r.Zone, Region: r.Region, PeerAddress: r.PeerAddress, Leaving: r.Leaving, Capacity: r.Capacity,
		},
		Incarnation: r.Incarnation,
		Suspect:     r.State == Suspect,
	}
}
