package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// startEngineWithOtherModel starts a simulated platform and a simulated engine that
// accepts orders and has loaded another model than the one configured for it.
func startEngineWithOtherModel(t *testing.T) (*testbed.Bed, *testbed.Server) {
	t.Helper()
	b, err := testbed.New(t.TempDir(), programs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	engine, err := b.StartStandin("engine", map[string]any{"models": []string{"other"}, "checks_fencing": true})
	if err != nil {
		t.Fatal(err)
	}
	putWeights(t, b, "narrative-1", 1000)
	row := fmt.Sprintf(`{"kind":"endpoint","name":"engine-a","spec":{"pool":"reports","zone":"a","address":%q,
		"models":["narrative"],"slots":8,"kv_tokens":65536,"weight_bytes":10000,"checks_fencing":true}},`, engine.Address)
	if err := b.Publish(context.Background(), []byte(fmt.Sprintf(configuration, row))); err != nil {
		t.Fatal(err)
	}
	return b, engine
}

// TestOrdersLoadTheModel starts an engine that has loaded another model than the
// configured one. The holder of the zone's lease must order it to load the configured
// one, and the request that waits for it must be served.
func TestOrdersLoadTheModel(t *testing.T) {
	b, engine := startEngineWithOtherModel(t)
	in := startZones(t, b, "a")[0]
	got := call(t, in, "POST", "/v1/completions", `{"model":"narrative","prompt":"A visit report","max_tokens":3}`, "X-Medlarhold-Deadline-Ms", "60000")
	if got.status != http.StatusOK {
		t.Fatalf("got %+v, want status 200", got)
	}
	st, err := endpoint.New(endpoint.Options{}).OrderStatus(context.Background(), engine.Address)
	if err != nil || st.Models["narrative"] != "1" || st.Fence < 0 {
		t.Fatalf("order status of the engine: got %+v, error %v, want model narrative at version 1 and a fencing number", st, err)
	}
}

// putWeights adds weights of the given size to the simulated weight store.
func putWeights(t *testing.T, b *testbed.Bed, name string, bytes int) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, b.Platform+"/weights/"+name, strings.NewReader(fmt.Sprintf(`{"bytes":%d}`, bytes)))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		t.Fatal(res.Status)
	}
}

// logged reports whether an instance has logged the event about the lease.
func logged(t *testing.T, b *testbed.Bed, name string, event int, lease string) bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(b.Dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		var l struct {
			Event int    `json:"event"`
			Lease string `json:"lease"`
		}
		if json.Unmarshal(line, &l) == nil && l.Event == event && l.Lease == lease {
			return true
		}
	}
	return false
}

// TestLeaseHolderFrozen freezes the holder of the lease for orders until its term has
// passed. The other instance must take over with a higher fencing number, and the old
// holder must send the engine no more orders after it continues.
func TestLeaseHolderFrozen(t *testing.T) {
	t.Parallel()
	const lease, won, lost = "orders/a", 6002, 6003
	b, engine := startEngineWithOtherModel(t)
	instances := make(map[string]*testbed.Instance)
	for _, name := range []string{"a0", "a1"} {
		in, err := b.StartInstance(name, b.InstanceSettings(name, "a"))
		if err != nil {
			t.Fatal(err)
		}
		instances[name] = in
	}
	client := endpoint.New(endpoint.Options{})
	t.Cleanup(client.Close)
	var held endpoint.OrderStatus
	eventually(t, func() bool {
		var err error
		held, err = client.OrderStatus(context.Background(), engine.Address)
		return err == nil && held.Models["narrative"] == "1"
	})
	holder, other := "a0", "a1"
	if !logged(t, b, holder, won, lease) {
		holder, other = other, holder
	}
	if err := instances[holder].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return logged(t, b, other, won, lease) })
	if err := newOperator("anna").change(&cluster{Bed: b}, "version-2", config.KindModel, "narrative", "version", "2"); err != nil {
		t.Fatal(err)
	}
	var after endpoint.OrderStatus
	eventually(t, func() bool {
		var err error
		after, err = client.OrderStatus(context.Background(), engine.Address)
		return err == nil && after.Models["narrative"] == "2"
	})
	if after.Fence <= held.Fence {
		t.Errorf("got fencing number %d after the takeover, want more than %d", after.Fence, held.Fence)
	}
	if err := instances[holder].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return logged(t, b, holder, lost, lease) })
	last, err := client.OrderStatus(context.Background(), engine.Address)
	if err != nil || last.Models["narrative"] != "2" || last.Fence < after.Fence {
		t.Errorf("after the old holder continued: got order status %+v, error %v; want version 2 and a fencing number of at least %d", last, err, after.Fence)
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	if err := testbed.Eventually(condition); err != nil {
		t.Fatal(err)
	}
}
