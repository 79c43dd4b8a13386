package node

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
)

// Messages from the I/O side, passed to Node.Step.
type (
	// Arrive is a caller's request that has passed the checks of the caller-facing server.
	Arrive struct{ Arrival request.Arrival }
	// Ended reports the result of a dispatch.
	Ended struct {
		ID  entity.RequestID
		End request.End
	}
	// Paused reports that an endpoint confirmed a pause.
	Paused struct{ ID entity.RequestID }
	// CallerGone reports that a caller closed its connection.
	CallerGone struct{ ID entity.RequestID }
	// FromPeer is a message from another instance.
	FromPeer struct {
		From entity.InstanceID
		Msg  any
	}
	// SendFailed reports that a message could not be delivered.
	SendFailed struct {
		To  entity.InstanceID
		Msg any
	}
	// PeerDisconnected reports that a connection to a peer ended. Messages sent on it may be
	// lost.
	PeerDisconnected struct{ Peer entity.InstanceID }
	// Configured is a configuration to put into force.
	Configured struct{ State config.State }
	// PlatformList is the platform's list of instances.
	PlatformList struct{ Instances []entity.Instance }
	// LoadReport is a load report of an owned endpoint.
	LoadReport struct{ Report entity.LoadReport }
	// CacheEvent is a cache event of an owned endpoint.
	CacheEvent struct{ Event entity.CacheEvent }
	// LoadedModels lists the models that an owned endpoint has loaded, for an endpoint
	// that is sent orders to load and unload models. It is sent when the list has
	// changed.
	LoadedModels struct {
		Endpoint entity.EndpointID
		Models   []entity.ModelID
	}
	// Drain begins the planned stop. For Notice, requests of callers are still accepted,
	// while the load balancer learns of the stop. Timeout is how long after that the process
	// waits for those that it has accepted, 0 if that is not bounded.
	Drain struct{ Notice, Timeout time.Duration }
)

// Messages between instances, in addition to those of package entity.
type (
	// Withdraw withdraws the request's reservations up to Seq.
	Withdraw struct {
		ID  entity.RequestID `json:"i"`
		Seq uint32           `json:"q,omitempty"`
	}
	// HeldSlots notifies a new owner of the requests that the sender already runs on an
	// endpoint.
	HeldSlots struct {
		Endpoint entity.EndpointID `json:"e"`
		Requests []HeldRequest     `json:"h"`
	}
	// HeldRequest is one running or paused request of a HeldSlots message.
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
