package e2e

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// TestLogOutage takes the log away: what may not be repeated is refused as not
// run, everything else goes on, and nothing runs twice when the log is back.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	if o := c.book(c.instances[0], "before").wait(c); o.verdict != verdict.Ran {
		t.Fatalf("before: %+v", o)
	}
	c.must(c.SetPlatformFaults(map[string]any{"lose_append_answers": 1}))
	if o := c.book(c.instances[0], "lost-answer").wait(c); o.verdict != verdict.Ran {
		t.Errorf("an append whose answer was lost: %+v", o)
	}
	for _, outage := range []string{"refuse", "silent"} {
		t.Run(outage, func(t *testing.T) {
			c.must(c.SetPlatformFaults(map[string]any{"log_outage": outage}))
			if o := c.book(c.instances[0], outage).wait(c); o.verdict != verdict.NotRun || o.reason != verdict.ReasonLogUnavailable || !o.retry {
				t.Errorf("during the outage: %+v", o)
			}
			for _, in := range c.instances {
				if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
					t.Errorf("during the outage: %+v", o)
				}
			}
			c.must(c.SetPlatformFaults(map[string]any{"log_outage": ""}))
			c.rebook(c.instances[1], outage)
		})
	}
	if got := c.check(); got != 4+2*len(c.instances) {
		t.Errorf("%d dispatches", got)
	}
}

// TestStartWithoutLog: an instance that starts while the log is out becomes
// ready from its peers' configuration.
func TestStartWithoutLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	before, err := c.instances[0].Metric("medlarhold_config_revision")
	c.must(err)
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "silent"}))
	in := c.startOnly("a2", c.InstanceSettings("a2", "a"))
	c.instances = append(c.instances, in)
	c.waitMembers(c.instances...)
	if after, err := in.Metric("medlarhold_config_revision"); err != nil || after != before {
		t.Errorf("revision %v, the peers have %v (%v)", after, before, err)
	}
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
		t.Errorf("%+v", o)
	}
	c.check()
}

// behindRelays starts one instance in each zone, reached by its peers and
// reaching the platform through relays of its own.
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
		c.instances = append(c.instances, c.startOnly(string(z)+"0", s))
		peers, platforms = append(peers, peer), append(platforms, plat)
	}
	c.waitMembers(c.instances...)
	return peers, platforms
}
