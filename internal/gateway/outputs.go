package gateway

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// processOutputs takes the outputs of the cores and delivers them, until no core
// has produced a message for another core of this instance.
func (c *control) processOutputs(now time.Time) {
	for {
		busy := c.processMembers(now)
		busy = c.processEntry(now) || busy
		c.processZone(now)
		busy = c.processBroker(now, c.local, reserve.LocalBroker) || busy
		busy = c.processBroker(now, c.elected, c.self.ID) || busy
		if !busy {
			return
		}
	}
}

// processMembers sends the messages of the membership core, and updates the view
// at most once per viewInterval. It reports whether the view was updated.
func (c *control) processMembers(now time.Time) bool {
	r := c.members.Ready()
	for _, m := range r.Messages {
		c.send(m.To, m.Address, m.Message)
	}
	c.viewChanged = c.viewChanged || r.Changed
	if !c.viewChanged || now.Sub(c.viewedAt) < viewInterval {
		return false
	}
	c.viewChanged, c.viewedAt = false, now
	c.updateMembers(now)
	return true
}

// processEntry delivers the entry's messages to brokers, and its decisions to
// request goroutines. It reports whether there were any.
func (c *control) processEntry(now time.Time) bool {
	messages, decisions := c.entry.Ready()
	for _, m := range messages {
		switch m.Instance {
		case reserve.LocalBroker:
			c.toBroker(now, c.local, c.self.ID, m.Message)
			c.local.MessageReceived(now, c.self.ID)
		case c.self.ID:
			c.toBroker(now, c.elected, c.self.ID, m.Message)
			c.elected.MessageReceived(now, c.self.ID)
		default:
			c.send(m.Instance, c.addresses[m.Instance], m.Message)
		}
	}
	for _, d := range decisions {
		c.deliverDecision(d)
	}
	for _, b := range c.entry.NewlyUnresponsive() {
		if c.isBroker(b) {
			telemetry.Log(c.g.log, telemetry.EventBrokerUnresponsive, "broker", b, "view", c.view.Version)
		}
	}
	return len(messages)+len(decisions) > 0
}

// isBroker reports whether an instance grants slots of this zone.
func (c *control) isBroker(id entity.InstanceID) bool {
	for _, b := range c.brokers {
		if b == id {
			return true
		}
	}
	return false
}

// processZone sends the messages of the zone core, and applies the updates that
// it received from other instances.
func (c *control) processZone(now time.Time) {
	messages, updates := c.zone.Ready()
	for _, m := range messages {
		c.send(m.Instance, c.addresses[m.Instance], m.Message)
	}
	for _, u := range updates {
		c.g.applyUpdate(now, u)
	}
	for _, r := range c.zone.Resends() {
		telemetry.Log(c.g.log, telemetry.EventConfigSentAgain, "to", r.To, "version", r.Version, "has", r.Has, "after_ms", r.After.Milliseconds())
	}
}

// deliverDecision sends a decision to the request goroutine that waits for it, or
// releases the slot when none waits any more.
func (c *control) deliverDecision(d reserve.Decision) {
	reply, ok := c.waiters[d.ID]
	if !ok {
		c.entry.Withdraw(d.ID)
		return
	}
	delete(c.waiters, d.ID)
	reply <- d // buffered, does not block
}

// processBroker sends the messages of a broker; name is the id by which entries
// address it. The local broker sends messages only to this instance's entry.
// processBroker reports whether there were any messages.
func (c *control) processBroker(now time.Time, b *broker.Broker, name entity.InstanceID) bool {
	messages := b.Ready()
	for _, m := range messages {
		if d, ok := m.Message.(broker.Deny); ok {
			telemetry.Log(c.g.log, telemetry.EventCallDenied, "request", d.ID, "reason", d.Reason, "retry_after_ms", d.RetryAfter.Milliseconds(), "appointed", d.Appointed,
				"waiting", b.Waiting(), "running", b.Running(), "entry", m.Instance, "view", c.view.Version)
		}
		if name == reserve.LocalBroker || m.Instance == c.self.ID {
			c.toEntry(now, name, m.Message)
			continue
		}
		c.send(m.Instance, c.addresses[m.Instance], m.Message)
	}
	return len(messages) > 0
}
