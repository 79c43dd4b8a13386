package gateway

import (
	"context"
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/core/zone"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// inboxSize is the capacity of the control goroutine's message queue.
	inboxSize = 4096
	// batchSize is the maximum number of queued messages that are handled before
	// the control goroutine looks for a tick again.
	batchSize = 64
	// freeSlotsInterval is the time between two reports of free slots to other zones.
	freeSlotsInterval = 150 * time.Millisecond
	// viewInterval is the minimum time between two updates of the membership view.
	// When hundreds of instances start together, each learns of the others one by
	// one, and every update recomputes the roles.
	viewInterval = 50 * time.Millisecond
	// localShare is the share of each engine's slots that all members of a zone
	// together may grant to themselves while they can't reach the broker. Each
	// member gets an equal part of it, because the broker may still be running and
	// granting slots to others.
	localShare = 1.0
	// ineligibleCapacity is the capacity that an instance advertises while it must
	// not hold roles, in thousandths of a core.
	ineligibleCapacity = 1
)

// control holds the state of the control goroutine. Apart from inbox, only that
// goroutine may access it.
type control struct {
	g       *Instance
	self    entity.Instance
	inbox   chan any
	members *membership.Core
	entry   *reserve.Entry
	// elected grants slots to the whole zone for the pools whose broker is this
	// instance. local grants slots to this instance only, while the elected broker
	// of a pool is unresponsive.
	elected, local *broker.Broker
	zone           *zone.Core
	view           membership.View
	// viewChanged is set while view is out of date; viewedAt is the time of its
	// last update.
	viewChanged bool
	viewedAt    time.Time
	// loggedCounts are the numbers of members as last logged.
	loggedCounts memberCounts
	// addresses holds the peer addresses of the reachable members.
	addresses map[entity.InstanceID]string
	// brokersByZonePool holds the brokers of all zones, brokers those of the local zone.
	brokersByZonePool map[reserve.ZonePool]entity.InstanceID
	brokers           map[entity.PoolID]entity.InstanceID
	waiters           map[entity.RequestID]chan<- reserve.Decision
	overloads         []broker.Overload // at this instance as a broker, as last logged
	nextFreeSlots     time.Time         // when free slots are reported to other zones again
	nextLimitLog      time.Time         // when changed learned limits are logged again
	stalls            stallDetector
	// listedInZone is the number of instances of the zone that are registered in the store.
	listedInZone int
	// limitsVersion and the shares are those of the limits that the brokers keep.
	limitsVersion               uint64
	limitShare, localLimitShare float64
	// ineligible is set while the instance must not hold roles: it is too slow, or
	// the store refuses it while answering others.
	ineligible bool
	refusal    storeRefusal
	send       func(to entity.InstanceID, address string, msg any)
}

// membershipSettings returns settings with shorter intervals and timeouts than
// the defaults: a zone's broker must be replaced within the time that callers
// can wait.
func membershipSettings() membership.Settings {
	s := membership.DefaultSettings()
	s.ProbeInterval = 250 * time.Millisecond
	s.PingTimeout = 120 * time.Millisecond
	s.ProbeTimeout = 350 * time.Millisecond
	s.SuspicionTimeout = 900 * time.Millisecond
	s.LinkInterval = 500 * time.Millisecond
	s.LinkTimeout = 1500 * time.Millisecond
	s.JoinTimeout = 600 * time.Millisecond
	s.LeaveRepeat = 150 * time.Millisecond
	s.MaxTickGap = 700 * time.Millisecond
	return s
}

func newControl(g *Instance, self entity.Instance) *control {
	local := broker.DefaultSettings(self.Zone)
	local.SlotShare, local.Self = 1, self.ID
	return &control{
		g: g, self: self, inbox: make(chan any, inboxSize),
		members: membership.New(membershipSettings(), self, rand.New(rand.NewSource(time.Now().UnixNano()))),
		entry:   reserve.New(self.ID, self.Zone),
		zone:    zone.New(self, zoneCoreState{g}),
		elected: broker.New(broker.DefaultSettings(self.Zone)), local: broker.New(local),
		addresses: make(map[entity.InstanceID]string), brokers: make(map[entity.PoolID]entity.InstanceID),
		waiters: make(map[entity.RequestID]chan<- reserve.Decision),
	}
}

// post sends a message to the control goroutine. It blocks only while the inbox
// is full, and gives up when ctx ends.
func (c *control) post(ctx context.Context, msg any) {
	select {
	case c.inbox <- msg:
	case <-ctx.Done():
	}
}

// run is the body of the control goroutine.
func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(broker.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.step(c.tick)
		case msg := <-c.inbox:
			c.step(func(now time.Time) { c.handle(now, msg) })
			c.handleQueued()
		}
	}
}

// handleQueued handles up to batchSize messages that are already in the inbox.
func (c *control) handleQueued() {
	for range batchSize {
		select {
		case msg := <-c.inbox:
			c.step(func(now time.Time) { c.handle(now, msg) })
		default:
			return
		}
	}
}

// step runs f with the present time, then processes the outputs of the cores.
func (c *control) step(f func(now time.Time)) {
	now := time.Now()
	f(now)
	c.processOutputs(now)
	c.g.metrics.ControlNanoseconds.Inc(time.Since(now).Nanoseconds())
}

// tick advances all cores to now. Every freeSlotsInterval it also removes expired
// endpoints and reports free slots to other zones.
func (c *control) tick(now time.Time) {
	c.checkEligibility(now)
	c.g.logQuarantine(now)
	c.members.Tick(now)
	c.applyLimits(now)
	c.entry.Tick(now)
	c.elected.Tick(now)
	c.local.Tick(now)
	c.logLimitChanges(now)
	c.zone.Tick(moment(now))
	c.g.follower.coordinator.Store(c.zone.IsCoordinator())
	why := c.zone.ReadReason(now)
	c.g.follower.setReading(why != zone.ReadNot || c.refusal.retryDue(now), why)
	if why.BeginsAnew() {
		c.g.follower.renewRead(now)
	}
	c.logLagging(now)
	if !now.Before(c.nextFreeSlots) {
		c.nextFreeSlots = now.Add(freeSlotsInterval)
		c.g.follower.expireEndpoints(now)
		c.applyRollouts()
		c.sendFreeSlots(now)
		c.logOverloads(now)
	}
}

// checkEligibility makes this instance ineligible for roles while it is slow, or
// while the store refuses it but answers others.
func (c *control) checkEligibility(now time.Time) {
	slow := c.stalls.tick(now)
	c.g.standstill.tick(now, bootTime())
	refused := c.refusal.update(now, c.zone.RefusedByStore(now), c.g.follower.storeAnswerAge(now))
	if ineligible := slow || refused; ineligible != c.ineligible {
		c.ineligible = ineligible
		c.advertiseCapacity(now, slow, refused)
	}
}

// advertiseCapacity sends the other members the capacity by which roles are
// assigned.
func (c *control) advertiseCapacity(now time.Time, slow, refused bool) {
	capacity := c.self.Capacity
	if c.ineligible {
		capacity = min(capacity, ineligibleCapacity)
	}
	c.members.SetCapacity(now, capacity)
	telemetry.Log(c.g.log, telemetry.EventEligibilityChanged, "slow", slow, "store_refuses", refused, "slow_for_s", c.stalls.slowFor.Seconds(), "capacity", capacity)
}

// handle processes one message of the inbox.
func (c *control) handle(now time.Time, msg any) {
	switch m := msg.(type) {
	case acquire:
		c.waiters[m.request.ID] = m.reply
		c.entry.RequestSlot(now, m.request)
	case abandon:
		delete(c.waiters, m.id)
		c.entry.Withdraw(m.id)
	case tellRelay:
		c.send(m.to, c.addresses[m.to], m.msg)
	case dispatchStarted:
		c.entry.Started(m.started)
	case dispatchDone:
		c.entry.Done(m.done)
	case fromPeer:
		c.fromPeer(now, m.from, m.msg)
	case peerFailed:
		c.members.PeerFailed(now, m.to)
		c.entry.PeerFailed(now, m.to)
		c.zone.SendFailed(m.to)
	case instancesListed:
		c.members.SetPlatformList(now, m.instances)
		c.listedInZone = countZone(m.instances, c.self.Zone)
	case stateChanged:
		c.refresh(now)
	case leave:
		c.entry.Stop(now, m.endsAt)
		c.members.Leave(now)
	case snapshotRequest:
		m.reply <- c.snapshot(now) // buffered, does not block
	}
}

// countZone returns the number of instances in a zone.
func countZone(instances []entity.Instance, zone entity.ZoneID) int {
	n := 0
	for _, in := range instances {
		if in.Zone == zone {
			n++
		}
	}
	return n
}

// fromPeer passes a message from another instance to the core that handles it.
func (c *control) fromPeer(now time.Time, from entity.InstanceID, msg any) {
	switch m := msg.(type) {
	case membership.Message:
		c.members.Step(now, from, m)
	case broker.ZoneState:
		c.elected.HandleZoneState(now, from, m)
	case zone.Report:
		c.zone.HandleReport(moment(now), from, m)
	case zone.Bulletin:
		c.zone.HandleBulletin(moment(now), from, m)
	case zone.Exchange:
		c.zone.HandleExchange(moment(now), from, m)
	case heldOff:
		c.g.handleHeldOff(now, m)
	case reserve.Poll:
		// A poll needs no handling: the transport acknowledges it.
	default:
		if c.toBroker(now, c.elected, from, msg) {
			c.elected.MessageReceived(now, from)
		} else {
			c.toEntry(now, from, msg)
		}
	}
}

// toBroker passes a message from an entry to b. It reports whether the message is
// one for a broker.
func (c *control) toBroker(now time.Time, b *broker.Broker, from entity.InstanceID, msg any) bool {
	switch m := msg.(type) {
	case broker.SlotRequest:
		b.HandleSlotRequest(now, m)
	case broker.Withdraw:
		b.HandleWithdraw(now, m)
	case broker.Started:
		b.HandleStarted(now, m)
	case broker.Done:
		b.HandleDone(now, m)
	case broker.RunningReport:
		b.HandleRunningReport(now, from, m)
	default:
		return false
	}
	return true
}

// toEntry passes a message from a broker to the entry.
func (c *control) toEntry(now time.Time, from entity.InstanceID, msg any) {
	switch m := msg.(type) {
	case broker.Queued:
		c.entry.HandleQueued(from, m)
	case broker.Forwarded:
		c.entry.HandleForwarded(now, from, m)
	case broker.Grant:
		c.entry.HandleGrant(now, from, m)
	case broker.Deny:
		c.entry.HandleDeny(now, from, m)
	case broker.Audit:
		c.entry.HandleAudit(from, m)
	}
}
