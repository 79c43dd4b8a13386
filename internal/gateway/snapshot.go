package gateway

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/edge"
)

// StatePath is the URL path of the state snapshot at the metrics address.
const StatePath = "/beliefs"

// snapshotTimeout is how long the control goroutine may take to accept a snapshot
// request, and again to answer it.
const snapshotTimeout = time.Second

// neverMs is the age, in milliseconds, of data that was never received.
const neverMs = -1

// StateSnapshot is the local state of an instance at one moment, with the ages of
// its data.
type StateSnapshot struct {
	Instance entity.InstanceID `json:"instance"`
	Zone     entity.ZoneID     `json:"zone"`
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving"`
	// ConfigVersion is the version in force, 0 for none. ConfigAgeMs is the age of
	// its freshness proof in milliseconds, -1 if there was none.
	ConfigVersion int64 `json:"config_version"`
	ConfigAgeMs   int64 `json:"config_age_ms"`
	// Endpoints is the number of known endpoints, EndpointsAgeMs the age of the
	// last read of discovery in milliseconds, -1 if there was none.
	Endpoints      int   `json:"endpoints"`
	EndpointsAgeMs int64 `json:"endpoints_age_ms"`
	// ReadsStore is set while the instance reads the store itself. Otherwise it
	// receives updates from Coordinator.
	ReadsStore  bool              `json:"reads_store"`
	Coordinator entity.InstanceID `json:"coordinator"`
	// Ineligible is set while the instance must not hold roles: it is slow, or the
	// store refuses it.
	Ineligible bool          `json:"unable"`
	Zones      []ZoneMembers `json:"zones"`
	// Brokers holds the instance that grants the slots of each pool in this zone.
	// ElectedLoads is the load of the pools as counted by this instance as their
	// broker, LocalLoads as counted by its local broker.
	Brokers      map[entity.PoolID]entity.InstanceID `json:"brokers"`
	ElectedLoads []broker.Load                       `json:"granted"`
	LocalLoads   []broker.Load                       `json:"alone"`
	// Backlog is what the instance holds for callers and endpoints that read slowly.
	Backlog edge.Backlog `json:"backlog"`
	// LimitedEndpoints holds the endpoints that have stated a limit.
	LimitedEndpoints []LimitedEndpoint `json:"limited_endpoints"`
	// Quarantined holds the parts of prompts that are kept away from engines.
	Quarantined []QuarantinedPart `json:"quarantined"`
	// Rollouts holds the words about roll-outs. DecidesRollouts is set at the instance that decides.
	Rollouts        []rollout.Word `json:"rollouts,omitempty"`
	DecidesRollouts bool           `json:"decides_rollouts,omitempty"`
}

// LimitedEndpoint is an endpoint that takes only PerSecond requests a second from all
// instances together.
type LimitedEndpoint struct {
	Endpoint  entity.EndpointID `json:"endpoint"`
	PerSecond float64           `json:"per_second"`
}

// QuarantinedPart is a part of prompts that crashes engines. LastCrashMs is the age of the
// last of the crashes in milliseconds.
type QuarantinedPart struct {
	Part        entity.PartID `json:"part"`
	Crashes     int           `json:"crashes"`
	LastCrashMs int64         `json:"last_crash_age_ms"`
}

// Grants reports whether the instance grants the slots of a pool in its zone.
func (s *StateSnapshot) Grants(pool entity.PoolID) bool { return s.Brokers[pool] == s.Instance }

// ZoneMembers counts the members of a zone that the instance knows of.
type ZoneMembers struct {
	Zone      entity.ZoneID `json:"zone"`
	Reachable bool          `json:"reachable"`
	Members   int           `json:"members"`
	Suspect   int           `json:"suspect"`
	Leaving   int           `json:"leaving"`
}

// snapshotRequest asks the control goroutine for a snapshot. The reply channel must
// have a buffer of one.
type snapshotRequest struct{ reply chan<- StateSnapshot }

// StateSnapshot returns a snapshot of the local state. It returns false if the
// control goroutine does not answer within snapshotTimeout.
func (g *Instance) StateSnapshot() (StateSnapshot, bool) {
	reply := make(chan StateSnapshot, 1)
	select {
	case g.control.inbox <- snapshotRequest{reply: reply}:
	case <-time.After(snapshotTimeout):
		return StateSnapshot{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-time.After(snapshotTimeout):
		return StateSnapshot{}, false
	}
}

// serveState responds with the state snapshot as JSON.
func (g *Instance) serveState(w http.ResponseWriter, _ *http.Request) {
	s, ok := g.StateSnapshot()
	if !ok {
		http.Error(w, "the control goroutine is busy", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected: nothing is left to do.
	_ = json.NewEncoder(w).Encode(s)
}

// snapshot returns a snapshot of the local state.
func (c *control) snapshot(now time.Time) StateSnapshot {
	g := c.g
	s := StateSnapshot{
		Instance: c.self.ID, Zone: c.self.Zone, Ready: g.ready(), Leaving: g.Leaving(),
		ConfigVersion: g.state.version(), ConfigAgeMs: ageMs(g.state.proofAge()),
		Endpoints: g.state.endpoints.Load().Len(), EndpointsAgeMs: ageMs(g.follower.readAge(now)),
		ReadsStore: g.follower.reading.Load(), Coordinator: c.roleHolder(c.self.Zone, coordinatorRole), Ineligible: c.ineligible,
		Brokers: c.brokers, ElectedLoads: c.elected.Loads(now), LocalLoads: c.local.Loads(now),
		Backlog: g.edge.Backlog(),
	}
	if g.rollouts.inForce() {
		s.Rollouts, s.DecidesRollouts = g.rollouts.snapshot(), g.rollouts.keeper.decides.Load()
	}
	limits := g.limits.limits()
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		s.LimitedEndpoints = append(s.LimitedEndpoints, LimitedEndpoint{Endpoint: id, PerSecond: limits[id].PerSecond})
	}
	for _, q := range g.quarantine.quarantined() {
		s.Quarantined = append(s.Quarantined, QuarantinedPart{Part: q.Part, Crashes: q.Crashes, LastCrashMs: now.Sub(q.LastCrash).Milliseconds()})
	}
	for _, z := range c.view.Zones {
		zone := ZoneMembers{Zone: z.Zone, Reachable: z.Reachable, Members: len(z.Members)}
		for _, m := range z.Members {
			if m.Suspect {
				zone.Suspect++
			}
			if m.Leaving {
				zone.Leaving++
			}
		}
		s.Zones = append(s.Zones, zone)
	}
	return s
}

// ageMs returns an age in milliseconds, neverMs if the data was never received.
func ageMs(age time.Duration) int64 {
	if age < 0 || age == neverProved {
		return neverMs
	}
	return age.Milliseconds()
}
