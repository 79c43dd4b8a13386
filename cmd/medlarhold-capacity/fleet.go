package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

const (
	// enginesPerInstance is the number of engines per instance at the target
	// size. One of them has its own process and serves the load; the others
	// share a process and are idle, so that a run needs no more than a few
	// hundred processes.
	enginesPerInstance = 11
	// slotsPerEngine exceeds what the load of a run needs, so that no request
	// waits for a slot.
	slotsPerEngine = 64
)

// fleet is a set of instances with their platform and engines.
type fleet struct {
	bed        *testbed.Bed
	engines    []*testbed.Server // with load, one for each instance
	idleEngine *testbed.Server
	instances  []*testbed.Instance
	zones      []entity.ZoneID
	started    int
}

// build builds the programs into a temporary directory, which the returned
// function removes.
func build() (testbed.Programs, func(), error) {
	dir, err := os.MkdirTemp("", "medlarhold-capacity-")
	if err != nil {
		return testbed.Programs{}, nil, trace.ConvertSystemError(err)
	}
	p, err := testbed.Build(dir)
	return p, func() { os.RemoveAll(dir) }, trace.Wrap(err)
}

// newFleet starts the platform and the engines and publishes a configuration with
// the given number of contracts and engines for perZone instances in each zone.
// loaded is the number of engines that serve load.
func newFleet(ctx context.Context, programs testbed.Programs, zones []entity.ZoneID, perZone, contracts, loaded int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "medlarhold-capacity-run-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	bed, err := testbed.New(dir, programs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &fleet{bed: bed, zones: zones}
	if err := f.setFaults(`{"appends_per_sec":0}`); err != nil {
		return f, trace.Wrap(err)
	}
	if err := f.startEngines(loaded); err != nil {
		return f, trace.Wrap(err)
	}
	if err := bed.Publish(ctx, f.configuration(perZone, contracts)); err != nil {
		return f, trace.Wrap(err)
	}
	return f, trace.Wrap(f.setFaults(`{"appends_per_sec":400}`))
}

// startEngines starts the engines that serve load, and a single process for all
// idle ones.
func (f *fleet) startEngines(loaded int) error {
	for i := range loaded + 1 {
		e, err := f.bed.StartStandin("engine", map[string]any{
			"kv_tokens": 4_000_000, "max_running": 1024, "prefill_tokens_per_sec": 1e6, "decode_tokens_per_sec": 100, "batch_slowdown": 1e-6,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		if i == loaded {
			f.idleEngine = e
			return nil
		}
		f.engines = append(f.engines, e)
	}
	return nil
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	if f != nil && f.bed != nil {
		f.bed.Close()
		os.RemoveAll(f.bed.Dir)
	}
}

// configuration describes the engines and the contracts of a run.
func (f *fleet) configuration(perZone, contracts int) []byte {
	var b bytes.Buffer
	b.WriteString(`[{"kind":"deployment","name":"default","spec":{"tiers":["urgent","high","standard","low","patient"],"scores":{"goodput":0.5,"wasted_prefill":0.5}}},
{"kind":"pool","name":"reports","spec":{"kind":"engine","queue_per_endpoint":8,"max_body_bytes":1048576,"retry_budget":0.1}},
{"kind":"model","name":"narrative","spec":{"pool":"reports","version":"1","weights":"narrative-1","min_copies":1}},
{"kind":"pool","name":"resting","spec":{"kind":"engine","queue_per_endpoint":8,"max_body_bytes":1048576,"retry_budget":0.1}},
{"kind":"model","name":"unused","spec":{"pool":"resting","version":"1","weights":"unused-1","min_copies":1}},
`)
	loaded := f.engines
	for _, z := range f.zones {
		for i := range perZone * enginesPerInstance {
			pool, model, address := "resting", "unused", f.idleEngine.Address
			if i%enginesPerInstance == 0 && len(loaded) > 0 {
				pool, model, address = "reports", "narrative", loaded[0].Address
				loaded = loaded[1:]
			}
			fmt.Fprintf(&b, `{"kind":"endpoint","name":"engine-%s-%04d","spec":{"pool":%q,"zone":%q,"address":%q,"models":[%q],"slots":%d,"kv_tokens":4000000}},`+"\n",
				z, i, pool, z, address, model, slotsPerEngine)
		}
	}
	for i := range contracts {
		fmt.Fprintf(&b, `{"kind":"contract","name":"organisation-%05d","spec":{"tiers":["urgent","standard","patient"],"default_tier":"standard","requests_per_sec":20,"burst":40,"max_concurrent":30,"lose_first":["review","batch"],"key_hashes":["%064x"]}},`+"\n", i, i+1)
	}
	b.WriteString(`{"kind":"contract","name":"bank","spec":{"tiers":["urgent","patient"],"default_tier":"patient","requests_per_sec":100000,"burst":100000,"max_concurrent":100000,` +
		`"key_hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}}]`)
	return b.Bytes()
}

// setFaults sets the faults of the simulated platform.
func (f *fleet) setFaults(faults string) error {
	req, err := http.NewRequest(http.MethodPut, f.bed.Platform+"/standin/faults", strings.NewReader(faults))
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return trace.BadParameter("faults %s: status %d", faults, res.StatusCode)
	}
	return nil
}

// start starts another instance in a zone.
func (f *fleet) start(zone entity.ZoneID) (*testbed.Instance, error) {
	f.started++
	name := fmt.Sprintf("instance-%s-%03d", zone, f.started)
	in, err := f.bed.StartInstance(name, f.bed.InstanceSettings(name, zone))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.instances = append(f.instances, in)
	return in, nil
}

// startAll starts perZone instances in each zone and waits until all are ready.
func (f *fleet) startAll(perZone int) error {
	for _, z := range f.zones {
		for range perZone {
			if _, err := f.start(z); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	for _, in := range f.instances {
		if err := in.WaitReady(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
