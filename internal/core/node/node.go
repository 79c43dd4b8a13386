package node

import (
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// TickInterval is the maximum time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Settings of a Node.
type Settings struct {
	Self       entity.Instance
	Membership membership.Settings
	Admission  admission.Settings
	Request    request.Settings
	Retry      retry.Settings
	Routing    routing.Settings
	Claims     claim.Settings
	// ResendAfter is the pause before an undelivered message about a request is sent
	// again.
	ResendAfter time.Duration
	// MaxTickGap is the time without a step after which the Node assumes that its
	// process was frozen.
	MaxTickGap time.Duration
}

// DefaultSettings returns the settings of an instance for which none are given.
func DefaultSettings(self entity.Instance) Settings {
	routes := routing.DefaultSettings()
	routes.Zone = self.Zone
	owner := admission.DefaultSettings()
	owner.Zone = self.Zone
	return Settings{
		Self:       self,
		Membership: membership.DefaultSettings(),
		Admission:  owner,
		Request: request.Settings{
			Self: self.ID, KeepFinished: 4096, RetryInterval: routing.RetryInterval,
			FirstQueueWait: 100 * time.Millisecond, MaxQueueWait: 2 * time.Second,
			DispatchWithin: time.Second,
		},
		Retry:       retry.DefaultSettings(),
		Routing:     routes,
		Claims:      claim.Settings{Instance: self.ID},
		ResendAfter: 500 * time.Millisecond,
		MaxTickGap:  time.Second,
	}
}

// Node is the decision core of one instance.
type Node struct {
	settings Settings
	state    config.State
	members  *membership.Core
	owners   *ownership.Table
	owner    *admission.Owner
	router   *router
	entry    *request.Entry
	retries  *retry.Policy
	view     membership.View
	address  map[entity.InstanceID]string
	draining bool
	closesAt time.Time // when a draining instance stops accepting requests
	// givesUpAt is when a draining instance refuses the requests that still wait, zero for never.
	givesUpAt time.Time
	limits    *limits
	// loaded holds the models reported as loaded, for owned endpoints that are sent
	// orders to load and unload models.
	loaded map[entity.EndpointID][]entity.ModelID
	claims *claims
	// zoneMembers are the live instances of the local zone.
	zoneMembers   []entity.Instance
	unsent        []undelivered
	lastStep      time.Time // time of the latest step
	localMessages []any
	ready         Ready
}

// undelivered is a message to send again at a given time.
type undelivered struct {
	at  time.Time
	to  entity.InstanceID
	msg any
}

// Ready is a batch to carry out.
type Ready struct {
	// Peers are messages to other instances, in order.
	Peers []Outgoing
	// Directives are for the I/O side of requests.
	Directives []request.Directive
	// ClaimAppends and ClaimReads are for the log service.
	ClaimAppends []ClaimAppend
	ClaimReads   []ClaimReadRequest
	// Retries and Finished are for the metrics.
	Retries  []request.Retry
	Finished []request.Finished
	// Owned is set if the set of owned endpoints has changed.
	Owned *[]entity.Endpoint
	// Lost are instances that have died, or whose zone has become unreachable.
	// Connections to them may be closed.
	Lost []entity.InstanceID
	// MembersChanged is set if View has changed.
	MembersChanged bool
}

// New returns a Node without configuration or peers.
func New(s Settings, rng *rand.Rand) *Node {
	n := &Node{
		settings: s,
		members:  membership.New(s.Membership, s.Self, rng),
		owners:   ownership.NewTable(),
		owner:    admission.New(s.Admission),
		retries:  retry.New(s.Retry, rng),
		address:  make(map[entity.InstanceID]string),
		loaded:   make(map[entity.EndpointID][]entity.ModelID),
	}
	n.router = &router{Router: routing.New(s.Routing), n: n}
	n.entry = request.New(s.Request, n.router, n.retries, n)
	n.limits = newLimits(s.Self.ID, func() config.State { return n.state })
	n.claims = newClaims(s.Claims)
	n.view = n.members.View()
	return n
}

// Step handles one message.
func (n *Node) Step(now time.Time, msg any) {
	n.detectFreeze(now)
	n.handle(now, msg)
	n.flushAll(now)
}

// Tick advances time to now.
func (n *Node) Tick(now time.Time) {
	n.detectFreeze(now)
	n.members.Tick(now)
	n.entry.Tick(now)
	n.tickDrain(now)
	n.owner.Tick(now)
	n.tickLimits(now)
	n.tickClaims(now)
	n.resend(now)
	n.flushAll(now)
}

// detectFreeze notifies the entry side if the process was frozen since the last step.
func (n *Node) detectFreeze(now time.Time) {
	if !n.lastStep.IsZero() && now.Sub(n.lastStep) > n.settings.MaxTickGap {
		n.entry.FreezeDetected(now)
	}
	n.lastStep = now
}

// Ready returns the batch to carry out, and clears it.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	return r
}

// handle passes one message to the part that processes it.
func (n *Node) handle(now time.Time, msg any) {
	switch m := msg.(type) {
	case Arrive:
		if n.closed(now) {
			n.refuseStopping(now, m.Arrival)
			return
		}
		n.admit(now, m.Arrival)
	case Ended:
		n.entry.Ended(now, m.ID, m.End)
	case Paused:
		n.entry.Paused(now, m.ID)
	case CallerGone:
		n.entry.CallerGone(now, m.ID)
	case FromPeer:
		n.handlePeerMessage(now, m.From, m.Msg)
	case SendFailed:
		n.sendFailed(now, m.To, m.Msg)
	case PeerDisconnected:
		n.entry.ResendReservations(now, m.Peer)
	case Configured:
		n.setConfiguration(now, m.State)
	case PlatformList:
		n.members.SetPlatformList(now, m.Instances)
	case LoadReport:
		n.owner.HandleLoadReport(now, m.Report)
	case LoadedModels:
		n.loaded[m.Endpoint] = m.Models
		n.updateOwned(now)
	case CacheEvent:
		n.owner.HandleCacheEvent(now, m.Event)
	case ClaimAppended:
		n.claimAppended(now, m)
	case ClaimRead:
		n.claimRead(now, m)
	case Drain:
		n.beginDrain(now, m)
	}
}

// flushAll processes the output of all parts until none has a message left for
// another part of this instance. Membership and limits come first, because their
// changes move requests and endpoints in the same step.
func (n *Node) flushAll(now time.Time) {
	for {
		n.flushMembers(now)
		n.flushLimits(now)
		n.flushEntry(now)
		n.flushOwner()
		n.flushClaims()
		if len(n.localMessages) == 0 {
			return
		}
		msgs := n.localMessages
		n.localMessages = nil
		for _, m := range msgs {
			n.handlePeerMessage(now, n.settings.Self.ID, m)
		}
	}
}

// send sends a message to an instance, which may be this one.
func (n *Node) send(to entity.InstanceID, msg any) {
	if to == n.settings.Self.ID {
		n.localMessages = append(n.localMessages, msg)
		return
	}
	n.ready.Peers = append(n.ready.Peers, Outgoing{To: to, Address: n.address[to], Msg: msg})
}

// Revision returns the revision of the configuration in force.
func (n *Node) Revision() config.Revision { return n.state.Revision() }

// NewestRevisionPeer returns the live peer that has announced the newest configuration
// revision, and that revision; false if no peer has announced one.
func (n *Node) NewestRevisionPeer() (entity.Instance, int64, bool) {
	return n.members.NewestRevisionPeer()
}

// View returns the members as this instance sees them.
func (n *Node) View() membership.View { return n.view }

// InFlight returns the number of requests without a final answer plus the number of
// outcomes that are not confirmed to be in the log yet.
func (n *Node) InFlight() int {
	waiting := n.entry.Len()
	for _, t := range n.claims.tickets {
		if t.outcome != nil {
			waiting++
		}
	}
	return waiting
}

// InFlightByModel counts the requests without a final answer by model.
func (n *Node) InFlightByModel() map[entity.ModelID]int { return n.entry.InFlightByModel() }

// Draining reports whether the planned stop has begun.
func (n *Node) Draining() bool { return n.draining }

// Status returns what this instance knows of a request, and false if it knows nothing.
func (n *Node) Status(id entity.RequestID) (request.Status, bool) { return n.entry.Status(id) }

// EndpointStats returns the state of an endpoint, and false if this instance does not
// own it.
func (n *Node) EndpointStats(id entity.EndpointID) (admission.EndpointStats, bool) {
	return n.owner.Stats(id)
}

// Queued returns the number of reservations queued here for a pool.
func (n *Node) Queued(id entity.PoolID) int { return n.owner.Queued(id) }

// OwnerOf returns the owner of an endpoint, empty if there is none.
func (n *Node) OwnerOf(id entity.EndpointID) entity.InstanceID { return n.owners.Owner(id) }
