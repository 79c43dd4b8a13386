package node

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
)

// Messages that the I/O side steps a Node with.
type (
	// Arrive is a request that passed the checks of the callers' edge.
	Arrive struct{ Arrival request.Arrival }
	// Ended reports how a dispatch ended.
	Ended struct {
		ID  entity.RequestID
		End request.End
	}
	// Paused reports that an endpoint confirmed a pause.
	Paused struct{ ID entity.RequestID }
	// CallerGone reports that a caller closed its connection.
	CallerGone struct{ ID entity.RequestID }
	// FromPeer is a message of another instance.
	FromPeer struct {
		From entity.InstanceID
		Msg  any
	}
	// PeerFailed is a message that could not be delivered.
	PeerFailed struct {
		To  entity.InstanceID
		Msg any
	}
	// PeerLost says that a connection to a peer ended; what it carried may be lost.
	PeerLost struct{ Peer entity.InstanceID }
	// Configured is a configuration that is now in force.
	Configured struct{ State config.State }
	// PlatformList is the platform's list of instances.
	PlatformList struct{ Instances []entity.Instance }
	// LoadReport is a load report of an owned endpoint.
	LoadReport struct{ Report entity.LoadReport }
	// CacheEvent is a cache event of an owned endpoint.
	CacheEvent struct{ Event entity.CacheEvent }
	// LoadedModels says which models an owned endpoint serves that takes orders. It is
	// to be sent when that has changed.
	LoadedModels struct {
		Endpoint entity.EndpointID
		Models   []entity.ModelID
	}
	// Drain begins the planned stop. Callers' requests are still taken in for
	// Notice, while the balancer learns of it.
	Drain struct{ Notice time.Duration }
)

// Messages between instances, beside those of package entity.
type (
	// Withdraw takes a reservation back.
	Withdraw struct {
		ID  entity.RequestID `json:"i"`
		Seq uint32           `json:"q,omitempty"`
	}
	// HeldSlots tells a new owner what the sender already runs on an endpoint.
	HeldSlots struct {
		Endpoint entity.EndpointID `json:"e"`
		Requests []HeldRequest     `json:"h"`
	}
	// HeldRequest is one running request.
	HeldRequest struct {
		ID            entity.RequestID `json:"i"`
		Seq           uint32           `json:"q,omitempty"`
		Org           entity.OrgID     `json:"o"`
		Pool          entity.PoolID    `json:"p"`
		Model         entity.ModelID   `json:"m,omitempty"`
		Tier          entity.Tier      `json:"t,omitempty"`
		PromptTokens  int              `json:"n,omitempty"`
		MaxTokens     int              `json:"x,omitempty"`
		NonIdempotent bool             `json:"u,omitempty"`
		Paused        bool             `json:"z,omitempty"`
	}
)

// Outgoing is a message to another instance.
type Outgoing struct {
	To      entity.InstanceID
	Address string
	Msg     any
}
