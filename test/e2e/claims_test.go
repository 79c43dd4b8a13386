package e2e

import (
	"net/http"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// startZones starts one instance in each zone and waits until all are ready.
func startZones(t *testing.T, b *testbed.Bed, zones ...string) []*testbed.Instance {
	t.Helper()
	var out []*testbed.Instance
	for _, zone := range zones {
		in, err := b.StartInstance("instance-"+zone, b.InstanceSettings("instance-"+zone, entity.ZoneID(zone)))
		if err != nil {
			t.Fatal(err)
		}
		if err := in.WaitReady(); err != nil {
			t.Fatal(err)
		}
		out = append(out, in)
	}
	return out
}

// TestTransferRunsOnce sends the same transfer through both zones: the second caller
// must get the first one's response, and another body under the key is refused.
func TestTransferRunsOnce(t *testing.T) {
	t.Parallel()
	b := newBed(t, "a", "b")
	ins := startZones(t, b, "a", "b")
	const transfer = `{"from":"anna","to":"jon","hours":2}`
	first := call(t, ins[0], "POST", "/services/ledger/transfers", transfer, "Idempotency-Key", "transfer-1")
	if first.status != http.StatusOK || first.header.Get("X-Medlarhold-Verdict") != "ran" {
		t.Fatalf("first transfer: got %+v, want it to run", first)
	}
	second := callUntilSettled(t, ins[1], transfer, "transfer-1")
	if second.status != first.status || second.header.Get("X-Medlarhold-Replayed") != "true" || second.body != first.body {
		t.Fatalf("second transfer: got %+v, want a replay of %+v", second, first)
	}
	other := call(t, ins[1], "POST", "/services/ledger/transfers", `{"hours":3}`, "Idempotency-Key", "transfer-1")
	if other.status != http.StatusConflict || other.header.Get("X-Medlarhold-Reason") != "key_reused" {
		t.Fatalf("same key with another body: got %+v, want 409 key_reused", other)
	}
}

// callUntilSettled sends a transfer with a key that was used before, and repeats it
// while the response says that the first transfer is in progress. The response says so
// until the first one's outcome is in the log.
func callUntilSettled(t *testing.T, in *testbed.Instance, body, key string) (got answer) {
	t.Helper()
	err := testbed.Eventually(func() bool {
		got = call(t, in, "POST", "/services/ledger/transfers", body, "Idempotency-Key", key)
		return got.header.Get("X-Medlarhold-Reason") != "key_in_progress" || got.header.Get("Retry-After") == ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestBadInput sends invalid requests, which must be refused before anything is
// dispatched.
func TestBadInput(t *testing.T) {
	t.Parallel()
	b := newBed(t, "a")
	in := startZones(t, b, "a")[0]
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"missing key", "POST", "/services/ledger/transfers", "{}", nil, 400, "key_required"},
		{"malformed body", "POST", "/v1/completions", "{", nil, 400, "bad_request"},
		{"no prompt", "POST", "/v1/completions", `{"model":"narrative"}`, nil, 400, "bad_request"},
		{"unknown model", "POST", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "unknown_model"},
		{"unknown service", "GET", "/services/x/y", "", nil, 404, "unknown_pool"},
		{"tier not in the contract", "POST", "/v1/completions", `{"model":"narrative","prompt":"p"}`, []string{"X-Medlarhold-Tier", "standard"}, 403, "tier_not_allowed"},
		{"bad deadline", "POST", "/v1/completions", `{"model":"narrative","prompt":"p"}`, []string{"X-Medlarhold-Deadline-Ms", "-1"}, 400, "bad_request"},
		{"wrong key", "POST", "/v1/completions", `{"model":"narrative","prompt":"p"}`, []string{"Authorization", "Bearer wrong"}, 401, "unauthenticated"},
		{"body too large", "POST", "/services/ledger/x", string(make([]byte, 70_000)), nil, 413, "body_too_large"},
		{"unknown request", "GET", "/v1/requests/nonsense", "", nil, 404, "unknown_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := call(t, in, c.method, c.path, c.body, c.headers...)
			if got.status != c.status || got.header.Get("X-Medlarhold-Reason") != c.reason || got.header.Get("X-Medlarhold-Verdict") != "not_run" {
				t.Fatalf("got %+v, want status %d, reason %s and verdict not_run", got, c.status, c.reason)
			}
		})
	}
	if got := call(t, in, "GET", "/readyz", ""); got.status != http.StatusOK {
		t.Fatalf("after the invalid requests: got %+v from /readyz, want 200", got)
	}
}
