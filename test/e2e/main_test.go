// Package e2e tests the system's programs as separate processes on loopback, under
// the failures that the system is designed to survive.
package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

var programs testbed.Programs

func TestMain(m *testing.M) {
	os.Exit(testbed.RunTests("e2e", func(p testbed.Programs) { programs = p }, m.Run))
}

// newBed starts a simulated platform and, for each zone, a simulated engine and a simulated plain
// service, and publishes a configuration that contains them.
func newBed(t *testing.T, zones ...string) *testbed.Bed {
	t.Helper()
	b, err := testbed.New(t.TempDir(), programs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	var endpoints strings.Builder
	for _, z := range zones {
		engine, err := b.StartStandin("engine", map[string]any{})
		if err != nil {
			t.Fatal(err)
		}
		service, err := b.StartStandin("service", map[string]any{})
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&endpoints, `{"kind":"endpoint","name":"engine-%[1]s","spec":{"pool":"reports","zone":"%[1]s","address":"%[2]s","models":["narrative"],"slots":8,"kv_tokens":65536}},
		{"kind":"endpoint","name":"ledger-%[1]s","spec":{"pool":"ledger","zone":"%[1]s","address":"%[3]s","slots":4}},`, z, engine.Address, service.Address)
	}
	if err := b.Publish(context.Background(), []byte(fmt.Sprintf(configuration, endpoints.String()))); err != nil {
		t.Fatal(err)
	}
	return b
}

// configuration is the published configuration, with a format verb in place of the
// endpoints.
const configuration = `[
  {"kind":"deployment","name":"default","spec":{"tiers":["urgent","standard","patient"],"scores":{"goodput":0.5,"wasted_prefill":0.5}}},
  {"kind":"pool","name":"reports","spec":{"kind":"engine","queue_per_endpoint":8,"max_body_bytes":1048576,"retry_budget":0.1}},
  {"kind":"pool","name":"ledger","spec":{"kind":"service","queue_per_endpoint":8,"max_body_bytes":65536,"retry_budget":0.1,
    "non_idempotent":[{"method":"POST","path_prefix":"/transfers"}]}},
  {"kind":"model","name":"narrative","spec":{"pool":"reports","version":"1","weights":"narrative-1","min_copies":1}},
  %s
  {"kind":"contract","name":"bank","spec":{"tiers":["urgent","patient"],"default_tier":"patient","requests_per_sec":500,"burst":1000,"max_concurrent":400,
    "key_hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}},
]`
