package adminapi

import (
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Paths of the interface.
const (
	PathStatus    = "/admin/v1/status"
	PathInstances = "/admin/v1/instances"
	PathEndpoints = "/admin/v1/endpoints"
	PathPools     = "/admin/v1/pools"
	PathDrain     = "/admin/v1/drain"
)

// Status is the answer to GET PathStatus.
type Status struct {
	Instance entity.InstanceID `json:"instance"`
	Zone     entity.ZoneID     `json:"zone"`
	Version  string            `json:"version,omitempty"`
	// Revision is the configuration revision in force at the instance.
	Revision config.Revision `json:"revision"`
	// Ready says that the instance takes requests.
	Ready bool `json:"ready"`
	// CaughtUp says that it has held the newest configuration since it started.
	CaughtUp bool `json:"caught_up"`
	// AgeMS is how long ago it last knew that its configuration was the newest.
	AgeMS int64 `json:"age_ms"`
	// Draining says that it is stopping.
	Draining bool `json:"draining"`
}

// InstanceState is what one instance thinks of another.
type InstanceState string

// The states of an instance.
const (
	InstanceAlive   InstanceState = "alive"
	InstanceSuspect InstanceState = "suspect"
	InstanceLeaving InstanceState = "leaving"
	InstanceDead    InstanceState = "dead"
)

// Instance is one row of the answer to GET PathInstances.
type Instance struct {
	ID           entity.InstanceID `json:"id"`
	Zone         entity.ZoneID     `json:"zone"`
	Region       entity.RegionID   `json:"region,omitempty"`
	PeerAddress  string            `json:"peer_address"`
	AdminAddress string            `json:"admin_address,omitempty"`
	State        InstanceState     `json:"state"`
}

// Endpoint is one row of the answer to GET PathEndpoints.
type Endpoint struct {
	ID      entity.EndpointID   `json:"id"`
	Pool    entity.PoolID       `json:"pool"`
	Zone    entity.ZoneID       `json:"zone"`
	Kind    entity.EndpointKind `json:"kind"`
	Address string              `json:"address"`
	// Owner is the instance that admits work to the endpoint.
	Owner entity.InstanceID `json:"owner,omitempty"`
	// Running and Queued count requests; only the owner knows, others say 0.
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// Failing says that the endpoint did not answer as it should.
	Failing bool `json:"failing,omitempty"`
}

// Pool is one row of the answer to GET PathPools: what the instance owns of the
// pool.
type Pool struct {
	ID        entity.PoolID       `json:"id"`
	Kind      entity.EndpointKind `json:"kind"`
	Endpoints int                 `json:"endpoints"`
	Slots     int                 `json:"slots"`
	Running   int                 `json:"running"`
	Queued    int                 `json:"queued"`
}

// Drain is the answer to POST PathDrain.
type Drain struct {
	Instance entity.InstanceID `json:"instance"`
	// InFlight is how many requests the instance still has to finish.
	InFlight int `json:"in_flight"`
}

// Error is the body of an answer that refuses a call.
type Error struct {
	Message string `json:"error"`
}
