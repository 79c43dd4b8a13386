package adminapi

import (
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// URL paths of the interface.
const (
	PathStatus    = "/admin/v1/status"
	PathInstances = "/admin/v1/instances"
	PathEndpoints = "/admin/v1/endpoints"
	PathPools     = "/admin/v1/pools"
	PathDrain     = "/admin/v1/drain"
)

// Status is the response to GET PathStatus.
type Status struct {
	Instance entity.InstanceID `json:"instance"`
	Zone     entity.ZoneID     `json:"zone"`
	Version  string            `json:"version,omitempty"`
	// Revision is the configuration revision in force at the instance.
	Revision config.Revision `json:"revision"`
	// Ready is set if load balancers should send requests to the instance. It is
	// not set during a planned stop.
	Ready bool `json:"ready"`
	// CaughtUp is set if it has held the newest configuration at some time since it started.
	CaughtUp bool `json:"caught_up"`
	// AgeMs is the time since its configuration was last known to be the newest, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Draining is set during a planned stop.
	Draining bool `json:"draining"`
}

// InstanceState is the state of an instance as another instance sees it.
type InstanceState string

// The states of an instance.
const (
	InstanceAlive   InstanceState = "alive"
	InstanceSuspect InstanceState = "suspect"
	InstanceLeaving InstanceState = "leaving"
	InstanceDead    InstanceState = "dead"
)

// Instance is one row of the response to GET PathInstances.
type Instance struct {
	ID           entity.InstanceID `json:"id"`
	Zone         entity.ZoneID     `json:"zone"`
	Region       entity.RegionID   `json:"region,omitempty"`
	PeerAddress  string            `json:"peer_address"`
	AdminAddress string            `json:"admin_address,omitempty"`
	State        InstanceState     `json:"state"`
}

// Endpoint is one row of the response to GET PathEndpoints.
type Endpoint struct {
	ID      entity.EndpointID   `json:"id"`
	Pool    entity.PoolID       `json:"pool"`
	Zone    entity.ZoneID       `json:"zone"`
	Kind    entity.EndpointKind `json:"kind"`
	Address string              `json:"address"`
	// Owner is the instance that grants the slots of the endpoint.
	Owner entity.InstanceID `json:"owner,omitempty"`
	// Running counts the requests on the endpoint, Queued those that the owner
	// has queued for the endpoint's pool. Instances other than the owner report 0.
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// Failing is set while the endpoint is suspended because of failures.
	Failing bool `json:"failing,omitempty"`
}

// Pool is one row of the response to GET PathPools: the totals over the pool's
// endpoints that the instance owns.
type Pool struct {
	ID        entity.PoolID       `json:"id"`
	Kind      entity.EndpointKind `json:"kind"`
	Endpoints int                 `json:"endpoints"`
	Slots     int                 `json:"slots"`
	Running   int                 `json:"running"`
	Queued    int                 `json:"queued"`
}

// Drain is the response to POST PathDrain.
type Drain struct {
	Instance entity.InstanceID `json:"instance"`
	// InFlight is the number of requests that the instance has not finished yet.
	InFlight int `json:"in_flight"`
}

// Error is the body of an error response.
type Error struct {
	Message string `json:"error"`
}
