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
	// stateInterval is the time between two words to other zones on free slots.
	stateInterval = 150 * time.Millisecond
	// viewInterval is the least time between two looks at who is live: when
	// hundreds of instances start together, each hears of them one by one.
	viewInterval = 50 * time.Millisecond
	// localPart is an instance's part of each engine's slots while it can't reach
	// the broker, times the members of its zone: the broker may be there still
	// and grant to others.
	localPart = 1.0
	// unableCapacity is the capacity that an instance tells which is to have no
	// roles, in thousandths of a core.
	unableCapacity = 1
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
	address     map[entity.InstanceID]string
	// sites names the brokers of all zones, brokers those of the own one.
	sites     map[reserve.ZonePool]entity.InstanceID
	brokers   map[entity.PoolID]entity.InstanceID
	waiters   map[entity.RequestID]chan<- reserve.Decision
	nextState time.Time
	stalls    stallDetector
	// unable is set while the instance is too slow for roles, or the store
	// refuses it alone.
	unable  bool
	refusal refusal
	send    func(to entity.InstanceID, address string, msg any)
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
	// started and done report on a dispatch.
	started struct {
		id    entity.RequestID
		after time.Duration
	}
	done struct{ done broker.Done }
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
	// listed is who has registered in the store.
	listed struct{ instances []entity.Instance }
	// changed says that configuration or endpoints have changed.
	changed struct{}
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
		zone:    zone.New(self, knowledge{g}),
		elected: broker.New(broker.DefaultSettings(self.Zone)), local: broker.New(local),
		address: make(map[entity.InstanceID]string), brokers: make(map[entity.PoolID]entity.InstanceID),
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
			c.handleWaiting()
		}
	}
}

// handleWaiting handles messages that are there already, up to a batch.
func (c *control) handleWaiting() {
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
	c.settle(now)
	c.g.metrics.ControlNanoseconds.Inc(time.Since(now).Nanoseconds())
}

func (c *control) tick(now time.Time) {
	c.checkAble(now)
	c.members.Tick(now)
	c.entry.Tick(now)
	c.elected.Tick(now)
	c.local.Tick(now)
	c.zone.Tick(moment(now))
	c.g.follower.coordinates.Store(c.zone.IsCoordinator())
	c.g.follower.setReading(c.zone.ShouldReadStore(now) || c.refusal.tries(now))
	if !now.Before(c.nextState) {
		c.nextState = now.Add(stateInterval)
		c.g.follower.tick(now)
		c.tellZones(now)
	}
}

// checkAble gives the roles of this instance to others while it is slow or
// can't read the store that others can.
func (c *control) checkAble(now time.Time) {
	slow := c.stalls.tick(now)
	refused := c.refusal.lasts(now, c.zone.RefusedByStore(now), c.g.follower.answeredAgo(now))
	if unable := slow || refused; unable != c.unable {
		c.unable = unable
		c.setCapacity(now, slow, refused)
	}
}

// setCapacity tells the others how much this instance has for roles.
func (c *control) setCapacity(now time.Time, slow, refused bool) {
	capacity := c.self.Capacity
	if c.unable {
		capacity = min(capacity, unableCapacity)
	}
	c.members.SetCapacity(now, capacity)
	telemetry.Log(c.g.log, telemetry.EventInstanceUnable, "slow", slow, "store_refuses", refused, "slow_for_s", c.stalls.lasted.Seconds(), "capacity", capacity)
}

func (c *control) handle(now time.Time, msg any) {
	switch m := msg.(type) {
	case acquire:
		c.waiters[m.request.ID] = m.reply
		c.entry.RequestSlot(now, m.request)
	case abandon:
		delete(c.waiters, m.id)
		c.entry.Withdraw(m.id)
	case started:
		c.entry.Started(m.id, m.after)
	case done:
		c.entry.Done(m.done)
	case fromPeer:
		c.fromPeer(now, m.from, m.msg)
	case peerFailed:
		c.members.ProbeFailed(now, m.to)
		c.entry.PeerFailed(now, m.to)
		c.zone.DeliveryFailed(m.to)
	case listed:
		c.members.SetPlatformList(now, m.instances)
	case changed:
		c.refresh(now)
	case leave:
		c.members.Leave(now)
	case describe:
		m.reply <- c.describe(now) // has room for one
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
		c.entry.HandleQueued(from, m)
	case broker.Forwarded:
		c.entry.HandleForwarded(now, from, m)
	case broker.Grant:
		c.entry.HandleGrant(now, from, m)
	case broker.Deny:
		c.entry.HandleDeny(from, m)
	case broker.Audit:
		c.entry.HandleAudit(from, m)
	}
}
