package e2e

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The kinds of network partition: connections are refused, or stay open and carry no
// data.
var (
	refusing     = relay.Faults{Refuse: true}
	unresponsive = relay.Faults{ToTarget: relay.Direction{Stalled: true}, FromTarget: relay.Direction{Stalled: true}}
)

// TestZonesCut partitions two zones from each other. Each must continue to serve with
// its own engine, and use the other zone's engine as well once the partition has ended.
func TestZonesCut(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]relay.Faults{"refused": refusing, "unresponsive": unresponsive} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, slow, zone{"a", 0, 1}, zone{"b", 0, 1})
			peers, _ := c.behindRelays("a", "b")
			running := c.stream(c.instances[0], "patient", 200)
			running.waitFirstToken(c)
			for _, p := range peers {
				c.must(p.SetFaults(faults))
				c.must(p.StallOpenConnections())
			}
			c.checkServing("during the partition")
			for _, p := range peers {
				c.must(p.SetFaults(relay.Faults{}))
			}
			if o := running.wait(c); o.verdict != verdict.Ran {
				t.Errorf("request that ran when the partition began: got %+v, want it to run", o)
			}
			c.checkServing("after the partition")
			c.checkServesBeyondLocalSlots()
			c.check()
		})
	}
}

// checkServing sends one request to each instance and checks that it runs.
func (c *cluster) checkServing(when string) {
	c.t.Helper()
	for _, in := range c.instances {
		if o := c.stream(in, "urgent", 20).wait(c); o.verdict != verdict.Ran {
			c.t.Errorf("%s, request to %s: got %+v, want it to run", when, in.ID, o)
		}
	}
}

// checkServesBeyondLocalSlots sends an instance two requests more than its zone's
// engine has slots, so that the other zone's engine is needed, and checks that all run.
// It does not check which engine ran them.
func (c *cluster) checkServesBeyondLocalSlots() {
	c.t.Helper()
	var full []*pendingRequest
	for range c.engines[0].row.Slots + 2 {
		full = append(full, c.stream(c.instances[0], "urgent", 80))
	}
	for _, f := range full {
		if o := f.wait(c); o.verdict != verdict.Ran {
			c.t.Errorf("request beyond the local slots: got %+v, want it to run", o)
		}
	}
}

// TestZoneCutFromPlatform partitions one zone from the platform without closing a
// connection. The zone must continue to serve completions, and refuse calls that need
// the log as not run, with a retry delay.
func TestZoneCutFromPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 0, 1}, zone{"b", 0, 1})
	_, platforms := c.behindRelays("a", "b")
	if o := c.transfer(c.instances[0], "before").wait(c); o.verdict != verdict.Ran {
		t.Fatalf("transfer before the partition: got %+v, want it to run", o)
	}
	c.must(platforms[0].SetFaults(unresponsive))
	c.checkServing("during the partition")
	if o := c.transfer(c.instances[0], "during").wait(c); o.verdict != verdict.NotRun || o.reason != verdict.ReasonLogUnavailable || !o.hasRetryAfter {
		t.Errorf("transfer in the partitioned zone: got %+v, want not_run with reason log_unavailable and a retry delay", o)
	}
	if o := c.transfer(c.instances[1], "elsewhere").wait(c); o.verdict != verdict.Ran {
		t.Errorf("transfer in the other zone: got %+v, want it to run", o)
	}
	c.publishChanges(1)
	c.must(platforms[0].SetFaults(relay.Faults{}))
	c.must(platforms[0].StallOpenConnections())
	newest, err := c.instances[1].Metric("medlarhold_config_revision")
	c.must(err)
	c.must(c.instances[0].WaitMetric("medlarhold_config_revision", func(v float64) bool { return v >= newest }))
	c.repeatTransfer(c.instances[0], "during")
	c.repeatTransfer(c.instances[0], "elsewhere")
	c.check()
}
