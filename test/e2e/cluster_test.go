package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// simulatedEndpoint is a simulated endpoint with its entry in the configuration.
type simulatedEndpoint struct {
	*testbed.Server
	row entity.Endpoint
}

// cluster is a simulated platform with simulated endpoints and real instances, and the
// history of what the callers sent and received.
type cluster struct {
	*testbed.Bed
	t              *testing.T
	engines        []*simulatedEndpoint
	services       []*simulatedEndpoint
	instances      []*testbed.Instance
	calls          *calls
	warmUpRequests int // number of requests of warmUp
	history        history.Recorder
}

// zone gives the numbers of instances and engines of a zone at the start.
type zone struct {
	id                 entity.ZoneID
	instances, engines int
}

// newCluster starts endpoints and instances and waits until all instances are ready
// and each sees the others of its zone. Each zone has one plain service.
func newCluster(t *testing.T, engine map[string]any, zones ...zone) *cluster {
	t.Helper()
	b, err := testbed.New(t.TempDir(), programs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	c := &cluster{Bed: b, t: t, calls: newCalls()}
	t.Cleanup(c.checkLogs)
	for _, z := range zones {
		for range z.engines {
			c.engines = append(c.engines, c.startEndpoint("engine", engine, z.id))
		}
		c.services = append(c.services, c.startEndpoint("service", map[string]any{"delay_ns": 50_000_000}, z.id))
	}
	if err := b.Publish(context.Background(), []byte(fmt.Sprintf(configuration, c.endpointObjects()))); err != nil {
		t.Fatal(err)
	}
	for _, z := range zones {
		for i := range z.instances {
			name := fmt.Sprintf("%s%d", z.id, i)
			c.instances = append(c.instances, c.startNoWait(name, b.InstanceSettings(name, z.id)))
		}
	}
	c.waitMembers(c.instances...)
	c.warmUp()
	return c
}

// warmUpBurst is the number of requests that an instance has at the same time in a
// test.
const warmUpBurst = 6

// warmUp sends a burst of requests through each instance, so that each then holds a
// share of the contract's limits that admits a burst at once.
func (c *cluster) warmUp() {
	c.t.Helper()
	pending := make([]*pendingRequest, 0, len(c.instances))
	for _, in := range c.instances {
		for range warmUpBurst {
			pending = append(pending, c.stream(in, "urgent", 20))
		}
	}
	for _, f := range pending {
		if o := f.wait(c); o.verdict != verdict.Ran {
			c.t.Fatalf("warm-up request: got %+v, want it to run", o)
		}
	}
	c.warmUpRequests += len(pending)
}

// startEndpoint starts one simulated endpoint.
func (c *cluster) startEndpoint(kind string, settings map[string]any, z entity.ZoneID) *simulatedEndpoint {
	c.t.Helper()
	s, err := c.StartStandin(kind, settings)
	c.must(err)
	row := entity.Endpoint{ID: entity.EndpointID(fmt.Sprintf("%s-%s-%d", kind, z, len(c.engines)+len(c.services))),
		Zone: z, Address: s.Address, Kind: entity.KindEngine, Pool: "reports", Models: []entity.ModelID{"narrative"}, Slots: 8}
	if kind == "service" {
		row.Kind, row.Pool, row.Models = entity.KindService, "ledger", nil
	}
	return &simulatedEndpoint{s, row}
}

// endpointObjects returns the endpoints' configuration objects.
func (c *cluster) endpointObjects() string {
	var out strings.Builder
	for _, e := range c.engines {
		fmt.Fprintf(&out, `{"kind":"endpoint","name":%q,"spec":{"pool":"reports","zone":%q,"address":%q,"models":["narrative"],"slots":%d,"kv_tokens":65536}},`,
			e.row.ID, e.row.Zone, e.row.Address, e.row.Slots)
	}
	for _, s := range c.services {
		fmt.Fprintf(&out, `{"kind":"endpoint","name":%q,"spec":{"pool":"ledger","zone":%q,"address":%q,"slots":%d}},`,
			s.row.ID, s.row.Zone, s.row.Address, s.row.Slots)
	}
	return out.String()
}

// startNoWait starts an instance without waiting until it is ready.
func (c *cluster) startNoWait(name string, settings map[string]any) *testbed.Instance {
	c.t.Helper()
	in, err := c.StartInstance(name, settings)
	c.must(err)
	return in
}

// must ends the test on an error.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// waitMembers waits until the instances are ready and each sees as members exactly
// those of its zone.
func (c *cluster) waitMembers(live ...*testbed.Instance) {
	c.t.Helper()
	inZone := map[byte]int{}
	for _, in := range live {
		inZone[in.ID[0]]++
	}
	for _, in := range live {
		c.must(in.WaitReady())
		want := float64(inZone[in.ID[0]])
		c.must(in.WaitMetric("medlarhold_zone_members", func(v float64) bool { return v == want }))
	}
}

// owner returns the instance that owns an endpoint, computed as the members do.
func (c *cluster) owner(e *simulatedEndpoint, live ...*testbed.Instance) *testbed.Instance {
	c.t.Helper()
	members := ownership.Members{}
	byID := map[entity.InstanceID]*testbed.Instance{}
	for _, in := range live {
		z := zoneOf(in)
		members[z] = append(members[z], entity.Instance{ID: in.ID, Zone: z})
		byID[in.ID] = in
	}
	table := ownership.NewTable()
	table.SetMembers(members)
	table.SetEndpoints([]entity.Endpoint{e.row})
	owner := byID[table.Owner(e.row.ID)]
	if owner == nil {
		c.t.Fatalf("no owner of %s", e.row.ID)
	}
	return owner
}

// checkLogs searches the programs' logs for data races and panics. The race detector
// is active only if GOFLAGS=-race is set, since the test builds the programs.
func (c *cluster) checkLogs() {
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.log"))
	if err != nil || len(files) == 0 {
		c.t.Errorf("found no log files: %v", err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			c.t.Error(err)
		}
		for _, sign := range []string{"DATA RACE", "panic:", "fatal error:", "request handler failed"} {
			if _, after, found := bytes.Cut(data, []byte(sign)); found {
				c.t.Errorf("%s: %s%.2000s", filepath.Base(f), sign, after)
			}
		}
	}
}

// others returns all instances but the given one.
func (c *cluster) others(without *testbed.Instance) (rest []*testbed.Instance) {
	for _, in := range c.instances {
		if in != without {
			rest = append(rest, in)
		}
	}
	return rest
}

// zoneOf returns the zone of an instance, which is the first letter of its name.
func zoneOf(in *testbed.Instance) entity.ZoneID { return entity.ZoneID(in.ID[:1]) }
