package gateway

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// settle lets the parts work until none has anything left to say to another
// one on this instance.
func (c *control) settle(now time.Time) {
	for {
		busy := c.settleMembers(now)
		busy = c.settleEntry(now) || busy
		c.settleZone(now)
		busy = c.settleBroker(now, c.local, reserve.LocalBroker) || busy
		busy = c.settleBroker(now, c.elected, c.self.ID) || busy
		if !busy {
			return
		}
	}
}

func (c *control) settleMembers(now time.Time) bool {
	r := c.members.Ready()
	for _, m := range r.Messages {
		c.send(m.To, m.Address, m.Message)
	}
	c.viewChanged = c.viewChanged || r.Changed
	if !c.viewChanged || now.Sub(c.viewedAt) < viewInterval {
		return false
	}
	c.viewChanged, c.viewedAt = false, now
	c.membersChanged(now)
	return true
}

func (c *control) settleEntry(now time.Time) bool {
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
			c.send(m.Instance, c.address[m.Instance], m.Message)
		}
	}
	for _, d := range decisions {
		c.decide(d)
	}
	for _, b := range c.entry.NewlyUnresponsive() {
		if c.isBroker(b) {
			telemetry.Log(c.g.log, telemetry.EventBrokerSilent, "broker", b, "view", c.view.Version)
		}
	}
	return len(messages)+len(decisions) > 0
}

// isBroker says whether an instance grants slots of this zone.
func (c *control) isBroker(id entity.InstanceID) bool {
	for _, b := range c.brokers {
		if b == id {
			return true
		}
	}
	return false
}

// settleZone sends what the zone's part has to say, and takes in its news.
func (c *control) settleZone(now time.Time) {
	messages, news := c.zone.Ready()
	for _, m := range messages {
		c.send(m.Instance, c.address[m.Instance], m.Message)
	}
	for _, n := range news {
		c.g.learn(now, n)
	}
}

// decide gives a request's goroutine the word that it waits for.
func (c *control) decide(d reserve.Decision) {
	reply, ok := c.waiters[d.ID]
	if !ok {
		c.entry.Withdraw(d.ID)
		return
	}
	delete(c.waiters, d.ID)
	reply <- d // has room for one
}

// settleBroker hands out what a broker has to say. The local one speaks to
// this instance's entry only.
func (c *control) settleBroker(now time.Time, b *broker.Broker, name entity.InstanceID) bool {
	messages := b.Ready()
	for _, m := range messages {
		if d, ok := m.Message.(broker.Deny); ok {
			telemetry.Log(c.g.log, telemetry.EventCallDenied, "request", d.ID, "reason", d.Reason, "retry_after_ms", d.RetryAfter.Milliseconds(),
				"waiting", b.Waiting(), "running", b.Running(), "entry", m.Instance, "view", c.view.Version)
		}
		if name == reserve.LocalBroker || m.Instance == c.self.ID {
			c.toEntry(now, name, m.Message)
			continue
		}
		c.send(m.Instance, c.address[m.Instance], m.Message)
	}
	return len(messages) > 0
}
