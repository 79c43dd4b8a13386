package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// StatePath is where the metrics address tells what the instance believes.
const StatePath = "/beliefs"

// snapshotTimeout is how long the control goroutine may take to say what it knows.
const snapshotTimeout = time.Second

// neverMs is the age of what was never learned.
const neverMs = -1

// StateSnapshot is what an instance holds to be true, and how old its knowledge is.
type StateSnapshot struct {
	Instance entity.InstanceID `json:"instance"`
	Zone     entity.ZoneID     `json:"zone"`
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving"`
	// ConfigVersion is in force; it was last proved the newest so many
	// milliseconds ago, -1 for never.
	ConfigVersion int64 `json:"config_version"`
	ConfigAgeMs   int64 `json:"config_age_ms"`
	// Endpoints is how many are known, as of so many milliseconds ago.
	Endpoints      int   `json:"endpoints"`
	EndpointsAgeMs int64 `json:"endpoints_age_ms"`
	// ReadsStore says that the instance reads the store itself; if not it
	// learns from Coordinator.
	ReadsStore  bool              `json:"reads_store"`
	Coordinator entity.InstanceID `json:"coordinator"`
	// Ineligible says that the instance takes no roles: it is slow, or the store refuses it.
	Ineligible bool        `json:"unable"`
	Zones      []ZoneState `json:"zones"`
	// Brokers grant the slots of pools in this zone. Granted is what this
	// instance counts as a broker, Alone what it grants itself without one.
	Brokers      map[entity.PoolID]entity.InstanceID `json:"brokers"`
	ElectedLoads []broker.Load                       `json:"granted"`
	LocalLoads   []broker.Load                       `json:"alone"`
}

// Grants says whether the instance grants the slots of a pool.
func (b *StateSnapshot) Grants(pool entity.PoolID) bool { return b.Brokers[pool] == b.Instance }

// ZoneState is what is known of the instances of a zone.
type ZoneState struct {
	Zone      entity.ZoneID `json:"zone"`
	Reachable bool          `json:"reachable"`
	Members   int           `json:"members"`
	Suspect   int           `json:"suspect"`
	Leaving   int           `json:"leaving"`
}

// snapshotRequest asks the control goroutine what it believes.
type snapshotRequest struct{ reply chan<- StateSnapshot }

// StateSnapshot returns what the instance believes, false if it is too busy to say.
func (g *Instance) StateSnapshot() (StateSnapshot, bool) {
	reply := make(chan StateSnapshot, 1)
	select {
	case g.control.inbox <- snapshotRequest{reply: reply}:
	case <-time.After(snapshotTimeout):
		return StateSnapshot{}, false
	}
	select {
	case b := <-reply:
		return b, true
	case <-time.After(snapshotTimeout):
		return StateSnapshot{}, false
	}
}

// serveState answers with the beliefs as JSON.
func (g *Instance) serveState(w http.ResponseWriter, _ *http.Request) {
	b, ok := g.StateSnapshot()
	if !ok {
		http.Error(w, "the control goroutine is busy", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that went away needs nothing more.
	_ = json.NewEncoder(w).Encode(b)
}

// snapshot tells what the control goroutine believes.
func (c *control) snapshot(now time.Time) StateSnapshot {
	g := c.g
	b := StateSnapshot{
		Instance: c.self.ID, Zone: c.self.Zone, Ready: g.ready(), Leaving: g.Leaving(),
		ConfigVersion: g.state.version(), ConfigAgeMs: ageMs(g.state.proofAge()),
		Endpoints: g.state.endpoints.Load().Len(), EndpointsAgeMs: ageMs(g.follower.readAge(now)),
		ReadsStore: g.follower.reading.Load(), Coordinator: c.roleHolder(c.self.Zone, coordinatorRole), Ineligible: c.ineligible,
		Brokers: c.brokers, ElectedLoads: c.elected.Loads(now), LocalLoads: c.local.Loads(now),
	}
	for _, z := range c.view.Zones {
		zone := ZoneState{Zone: z.Zone, Reachable: z.Reachable, Members: len(z.Members)}
		for _, m := range z.Members {
			if m.Suspect {
				zone.Suspect++
			}
			if m.Leaving {
				zone.Leaving++
			}
		}
		b.Zones = append(b.Zones, zone)
	}
	return b
}

// ageMs is an age in milliseconds, neverMs where there is none.
func ageMs(age time.Duration) int64 {
	if age < 0 || age == neverProved {
		return neverMs
	}
	return age.Milliseconds()
}
