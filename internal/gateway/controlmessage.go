package gateway

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
)

// Messages to the control goroutine.
type (
	// acquire requests a slot. The decision is sent to reply, which must have a
	// buffer of one.
	acquire struct {
		request reserve.Request
		reply   chan<- reserve.Decision
	}
	// tellRelay sends a message to the instance through which a response came.
	tellRelay struct {
		to  entity.InstanceID
		msg heldOff
	}
	// abandon withdraws a slot request whose caller no longer waits.
	abandon struct{ id entity.RequestID }
	// dispatchStarted reports the first byte of a response.
	dispatchStarted struct{ started broker.Started }
	// dispatchDone reports the end of a dispatch.
	dispatchDone struct{ done broker.Done }
	// fromPeer is a message from another instance.
	fromPeer struct {
		from entity.InstanceID
		msg  any
	}
	// peerFailed reports a message that could not be delivered, or a lost
	// connection, where msg is nil.
	peerFailed struct {
		to  entity.InstanceID
		msg any
	}
	// instancesListed holds the instances that are registered in the store.
	instancesListed struct{ instances []entity.Instance }
	// stateChanged reports a change of the configuration or of the endpoints.
	stateChanged struct{}
	// leave starts the planned stop, at the end of which the instance exits.
	leave struct{ endsAt time.Time }
)
