package e2e

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The ways in which a network is cut.
var (
	refusing = relay.Faults{Refuse: true}
	silent   = relay.Faults{ToTarget: relay.Direction{Stalled: true}, FromTarget: relay.Direction{Stalled: true}}
)

// TestZonesCut cuts two zones from each other. Each goes on with its own
// engine, and with the other's once the cut has healed.
func TestZonesCut(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]relay.Faults{"refused": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, slow, zone{"a", 0, 1}, zone{"b", 0, 1})
			peers, _ := c.behindRelays("a", "b")
			running := c.stream(c.instances[0], "patient", 200)
			running.started(c)
			for _, p := range peers {
				c.must(p.SetFaults(faults))
				c.must(p.StallOpenConnections())
			}
			c.serves("during the cut")
			for _, p := range peers {
				c.must(p.SetFaults(relay.Faults{}))
			}
			if o := running.wait(c); o.verdict != verdict.Ran {
				t.Errorf("running at the cut: %+v", o)
			}
			c.serves("after the cut")
			c.reachesAcross()
			c.check()
		})
	}
}

// serves sends one request to each instance.
func (c *cluster) serves(when string) {
	c.t.Helper()
	for _, in := range c.instances {
		if o := c.stream(in, "urgent", 20).wait(c); o.verdict != verdict.Ran {
			c.t.Errorf("%s, at %s: %+v", when, in.ID, o)
		}
	}
}

// reachesAcross waits until an instance is served by the other zone's engine
// while its own zone's one is full.
func (c *cluster) reachesAcross() {
	c.t.Helper()
	var full []*flight
	for range c.engines[0].row.Slots + 2 {
		full = append(full, c.stream(c.instances[0], "urgent", 80))
	}
	for _, f := range full {
		if o := f.wait(c); o.verdict != verdict.Ran {
			c.t.Errorf("across zones: %+v", o)
		}
	}
}

// TestZoneCutFromPlatform cuts one zone from the platform, without closing a
// connection. It serves what it can, and says so of what it can't.
func TestZoneCutFromPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 0, 1}, zone{"b", 0, 1})
	_, platforms := c.behindRelays("a", "b")
	if o := c.book(c.instances[0], "before").wait(c); o.verdict != verdict.Ran {
		t.Fatalf("before the cut: %+v", o)
	}
	c.must(platforms[0].SetFaults(silent))
	c.serves("during the cut")
	if o := c.book(c.instances[0], "during").wait(c); o.verdict != verdict.NotRun || o.reason != verdict.ReasonLogUnavailable || !o.retry {
		t.Errorf("in the cut zone: %+v", o)
	}
	if o := c.book(c.instances[1], "elsewhere").wait(c); o.verdict != verdict.Ran {
		t.Errorf("in the other zone: %+v", o)
	}
	c.publishMore(1)
	c.must(platforms[0].SetFaults(relay.Faults{}))
	c.must(platforms[0].StallOpenConnections())
	newest, err := c.instances[1].Metric("medlarhold_config_revision")
	c.must(err)
	c.must(c.instances[0].WaitMetric("medlarhold_config_revision", func(v float64) bool { return v >= newest }))
	c.rebook(c.instances[0], "during")
	c.rebook(c.instances[0], "elsewhere")
	c.check()
}
