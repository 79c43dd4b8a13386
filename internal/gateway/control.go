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
	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 4096
	// batchSize bounds the messages handled between two ticks.
	batchSize = 64
	// freeSlotsInterval is the time between two words to other zones on free slots.
	freeSlotsInterval = 150 * time.Millisecond
	// viewInterval is the least time between two looks at who is live: when
	// hundreds of instances start together, each hears of them one by one.
	viewInterval = 50 * time.Millisecond
	// localShare is an instance's part of each engine's slots while it can't reach
	// the broker, times the members of its zone: the broker may be there still
	// and grant to others.
	localShare = 1.0
	// ineligibleCapacity is the capacity that an instance tells which is to have no
	// roles, in thousandths of a core.
	ineligibleCapacity = 1
)

// control is the control goroutine and what it alone may touch.
type control struct {
	g       *Instance
	self    entity.Instance
	inbox   chan any
	members *membership.Core
	entry   *reserve.Entry
	// elected grants for the zone where this instance is chosen to; local
	// grants to this instance alone while the chosen one is silent.
	elected, local *broker.Broker
	zone           *zone.Core
	view           membership.View
	// viewChanged is set while the view is out of date, viewedAt is when it was taken.
	viewChanged bool
	viewedAt    time.Time
	addresses   map[entity.InstanceID]string
	// brokersBySite names the brokers of all zones, brokers those of the own one.
	brokersBySite map[reserve.Site]entity.InstanceID
	brokers       map[entity.PoolID]entity.InstanceID
	waiters       map[entity.RequestID]chan<- reserve.Decision
	nextFreeSlots time.Time
	stalls        stallDetector
	// ineligible is set while the instance is too slow for roles, or the store
	// refuses it alone.
	ineligible bool
	refusal    storeRefusal
	send       func(to entity.InstanceID, address string, msg any)
}

// Messages to the control goroutine.
type (
	// acquire asks for a slot.
	acquire struct {
		request reserve.Request
		reply   chan<- reserve.Decision
	}
	// abandon ends a request that nobody waits for any more.
	abandon struct{ id entity.RequestID }
	// dispatchStarted and done report on a dispatch.
	dispatchStarted struct {
		id    entity.RequestID
		after time.Duration
	}
	dispatchDone struct{ done broker.Done }
	// fromPeer is a message of another instance.
	fromPeer struct {
		from entity.InstanceID
		msg  any
	}
	// peerFailed is a message that did not get through.
	peerFailed struct {
		to  entity.InstanceID
		msg any
	}
	// instancesListed is who has registered in the store.
	instancesListed struct{ instances []entity.Instance }
	// stateChanged says that configuration or endpoints have stateChanged.
	stateChanged struct{}
	// leave begins the planned stop.
	leave struct{}
)

// membershipSettings are quicker than those of the product's own deployments:
// the zone's broker must be replaced within the time that callers can wait.
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
		zone:    zone.New(self, zoneState{g}),
		elected: broker.New(broker.DefaultSettings(self.Zone)), local: broker.New(local),
		addresses: make(map[entity.InstanceID]string), brokers: make(map[entity.PoolID]entity.InstanceID),
		waiters: make(map[entity.RequestID]chan<- reserve.Decision),
	}
}

// post hands a message over. It blocks only while the inbox is full.
func (c *control) post(ctx context.Context, msg any) {
	select {
	case c.inbox <- msg:
	case <-ctx.Done():
	}
}

// run is the control goroutine.
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

// handleQueued handles messages that are there already, up to a batch.
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

// step runs one step and carries out what it decided.
func (c *control) step(f func(now time.Time)) {
	now := time.Now()
	f(now)
	c.processOutputs(now)
	c.g.metrics.ControlNanoseconds.Inc(time.Since(now).Nanoseconds())
}

func (c *control) tick(now time.Time) {
	c.checkEligibility(now)
	c.members.Tick(now)
	c.entry.Tick(now)
	c.elected.Tick(now)
	c.local.Tick(now)
	c.zone.Tick(moment(now))
	c.g.follower.coordinator.Store(c.zone.IsCoordinator())
	c.g.follower.setReading(c.zone.ShouldReadStore(now) || c.refusal.retryDue(now))
	if !now.Before(c.nextFreeSlots) {
		c.nextFreeSlots = now.Add(freeSlotsInterval)
		c.g.follower.expireEndpoints(now)
		c.sendFreeSlots(now)
	}
}

// checkEligibility gives the roles of this instance to others while it is slow or
// can't read the store that others can.
func (c *control) checkEligibility(now time.Time) {
	slow := c.stalls.tick(now)
	refused := c.refusal.update(now, c.zone.RefusedByStore(now), c.g.follower.storeAnswerAge(now))
	if unable := slow || refused; unable != c.ineligible {
		c.ineligible = unable
		c.advertiseCapacity(now, slow, refused)
	}
}

// advertiseCapacity tells the others how much this instance has for roles.
func (c *control) advertiseCapacity(now time.Time, slow, refused bool) {
	capacity := c.self.Capacity
	if c.ineligible {
		capacity = min(capacity, ineligibleCapacity)
	}
	c.members.SetCapacity(now, capacity)
	telemetry.Log(c.g.log, telemetry.EventInstanceUnable, "slow", slow, "store_refuses", refused, "slow_for_s", c.stalls.suspension.Seconds(), "capacity", capacity)
}

func (c *control) handle(now time.Time, msg any) {
	switch m := msg.(type) {
	case acquire:
		c.waiters[m.request.ID] = m.reply
		c.entry.Ask(now, m.request)
	case abandon:
		delete(c.waiters, m.id)
		c.entry.Withdraw(m.id)
	case dispatchStarted:
		c.entry.Started(m.id, m.after)
	case dispatchDone:
		c.entry.Done(m.done)
	case fromPeer:
		c.fromPeer(now, m.from, m.msg)
	case peerFailed:
		c.members.ProbeFailed(now, m.to)
		c.entry.PeerFailed(now, m.to)
		c.zone.DeliveryFailed(m.to)
	case instancesListed:
		c.members.SetPlatformList(now, m.instances)
	case stateChanged:
		c.refresh(now)
	case leave:
		c.members.Leave(now)
	case snapshotRequest:
		m.reply <- c.snapshot(now) // has room for one
	}
}

// fromPeer passes a message of an instance to the part it is for.
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
	case reserve.Poll:
		// The acknowledgement is all that is asked for.
	default:
		if c.toBroker(now, c.elected, from, msg) {
			c.elected.MessageReceived(now, from)
		} else {
			c.toEntry(now, from, msg)
		}
	}
}

// toBroker passes a message of an entry to a broker.
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

// toEntry passes a message of a broker to the entry.
func (c *control) toEntry(now time.Time, from entity.InstanceID, msg any) {
	switch m := msg.(type) {
	case broker.Queued:
		c.entry.Queued(from, m)
	case broker.Forwarded:
		c.entry.PassedOn(now, from, m)
	case broker.Grant:
		c.entry.Granted(now, from, m)
	case broker.Deny:
		c.entry.Denied(from, m)
	case broker.Audit:
		c.entry.Audited(from, m)
	}
}
