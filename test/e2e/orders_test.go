package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// TestOrdersLoadTheModel starts an engine that holds another model than the
// one that is configured and wanted: the holder of the zone's lease orders it
// to load it, and the request that waited is served.
func TestOrdersLoadTheModel(t *testing.T) {
	b, err := testbed.New(t.TempDir(), programs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	engine, err := b.Standin("engine", map[string]any{"models": []string{"other"}, "checks_fencing": true})
	if err != nil {
		t.Fatal(err)
	}
	putWeights(t, b, "narrative-1", 1000)
	endpoint1 := fmt.Sprintf(`{"kind":"endpoint","name":"engine-a","spec":{"pool":"reports","zone":"a","address":%q,
		"models":["narrative"],"slots":8,"kv_tokens":65536,"weight_bytes":10000,"checks_fencing":true}},`, engine.Address)
	if err := b.Publish(context.Background(), []byte(fmt.Sprintf(configuration, endpoint1))); err != nil {
		t.Fatal(err)
	}
	in := startZones(t, b, "a")[0]
	got := call(t, in, "POST", "/v1/completions", `{"model":"narrative","prompt":"A visit report","max_tokens":3}`, "X-Medlarhold-Deadline-Ms", "60000")
	if got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	st, err := endpoint.New(endpoint.Options{}).Orders(context.Background(), engine.Address)
	if err != nil || st.Models["narrative"] != "1" || st.Fence < 0 {
		t.Fatalf("the engine holds %+v, %v", st, err)
	}
}

// putWeights has the stand-in weight store hold weights of a size.
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
