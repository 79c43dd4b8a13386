package e2e

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// TestLogOutage makes the log refuse calls, and then leave them unanswered. Calls that
// may not be repeated must be refused as not run, all other requests must run, and
// nothing may run twice when the log is available again.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	if o := c.transfer(c.instances[0], "before").wait(c); o.verdict != verdict.Ran {
		t.Fatalf("transfer before the outage: got %+v, want it to run", o)
	}
	c.must(c.SetPlatformFaults(map[string]any{"lose_append_answers": 1}))
	if o := c.transfer(c.instances[0], "lost-answer").wait(c); o.verdict != verdict.Ran {
		t.Errorf("transfer with a lost append answer: got %+v, want it to run", o)
	}
	for _, outage := range []string{"refuse", "silent"} {
		t.Run(outage, func(t *testing.T) {
			c.must(c.SetPlatformFaults(map[string]any{"log_outage": outage}))
			if o := c.transfer(c.instances[0], outage).wait(c); o.verdict != verdict.NotRun || o.reason != verdict.ReasonLogUnavailable || !o.hasRetryAfter {
				t.Errorf("transfer during the outage: got %+v, want not_run with reason log_unavailable and a retry delay", o)
			}
			for _, in := range c.instances {
				if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
					t.Errorf("completion during the outage: got %+v, want it to run", o)
				}
			}
			c.must(c.SetPlatformFaults(map[string]any{"log_outage": ""}))
			c.repeatTransfer(c.instances[1], outage)
		})
	}
	if got := c.check(); got != 4+2*len(c.instances) {
		t.Errorf("got %d dispatches, want one per transfer that ran and per completion", got)
	}
}

// TestStartWithoutLog starts an instance while the log is unresponsive. It must take
// the configuration from its peers and become ready.
func TestStartWithoutLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	before, err := c.instances[0].Metric("medlarhold_config_revision")
	c.must(err)
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "silent"}))
	in := c.startNoWait("a2", c.InstanceSettings("a2", "a"))
	c.instances = append(c.instances, in)
	c.waitMembers(c.instances...)
	if after, err := in.Metric("medlarhold_config_revision"); err != nil || after != before {
		t.Errorf("got revision %v, want the peers' revision %v (error %v)", after, before, err)
	}
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
		t.Errorf("got %+v, want it to run", o)
	}
	c.check()
}

// behindRelays starts one instance in each zone. Its peers reach it through one relay,
// and it reaches the platform through another; both are returned by zone.
func (c *cluster) behindRelays(zones ...entity.ZoneID) (peers, platforms []*testbed.Server) {
	c.t.Helper()
	for _, z := range zones {
		address, err := testbed.FreeAddress()
		c.must(err)
		peer, err := c.StartRelay(address)
		c.must(err)
		plat, err := c.StartRelay(c.Platform[len("http://"):])
		c.must(err)
		s := c.InstanceSettings(string(z)+"0", z)
		s["listen"].(map[string]any)["peers"] = address
		s["advertise_peers"] = peer.Address
		url := "http://" + plat.Address
		s["platform"] = map[string]any{"log": url, "instance_list": url, "weight_store": url}
		c.instances = append(c.instances, c.startNoWait(string(z)+"0", s))
		peers, platforms = append(peers, peer), append(platforms, plat)
	}
	c.waitMembers(c.instances...)
	return peers, platforms
}
