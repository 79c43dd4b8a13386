package gateway

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// logOverloads logs the standing overloads that have begun or ended at this instance as a broker.
func (c *control) logOverloads(now time.Time) {
	current := c.elected.Overloads(now)
	for _, o := range current {
		if !slices.Contains(c.overloads, o) {
			c.logOverload(telemetry.EventOverloadBegun, o)
		}
	}
	for _, o := range c.overloads {
		if !slices.Contains(current, o) {
			c.logOverload(telemetry.EventOverloadEnded, o)
		}
	}
	c.overloads = current
}

func (c *control) logOverload(e telemetry.Event, o broker.Overload) {
	telemetry.Log(c.g.log, e, "pool", o.Pool, "rank", o.Rank, "waiting", c.elected.Waiting(), "running", c.elected.Running(), "view", c.view.Version)
}
