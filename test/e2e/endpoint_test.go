package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// TestEngineConnections breaks the connections that carry streams in each possible
// way. The caller must get a complete response, and the engine must receive one
// dispatch.
func TestEngineConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	faults := []struct {
		name  string
		fault engine.Faults
	}{
		{"abort", engine.Faults{Cut: engine.Cut{Kind: engine.CutAbort, AfterTokens: 5, Times: 2}}},
		{"end without end event", engine.Faults{Cut: engine.Cut{Kind: engine.CutEOF, AfterTokens: 5, Times: 2}}},
		{"unresponsive", engine.Faults{Cut: engine.Cut{Kind: engine.CutStall, AfterTokens: 5, Times: 1}}},
		{"unresponsive before the first token", engine.Faults{Cut: engine.Cut{Kind: engine.CutStall, Times: 1}}},
		{"accepted but not answered", engine.Faults{Unanswered: 1}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			c.must(c.engines[0].SetFaults(f.fault))
			if o := c.stream(c.instances[0], "urgent", 40).wait(c); o.verdict != verdict.Ran {
				t.Errorf("got %+v, want it to run", o)
			}
		})
	}
	c.must(c.engines[0].SetFaults(engine.Faults{}))
	if got := c.check(); got != len(faults) {
		t.Errorf("got %d dispatches, want %d, one per request", got, len(faults))
	}
}

// TestEngineFails checks the verdict that callers get when engines refuse, fail or
// lose a request, and that a request that one engine refused runs on the other.
func TestEngineFails(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 1, 2})
	in := c.instances[0]
	set := func(faults ...engine.Faults) {
		for i, f := range faults {
			c.must(c.engines[i].SetFaults(f))
		}
	}
	refusing := engine.Faults{RefuseWith: http.StatusServiceUnavailable}
	set(refusing, engine.Faults{})
	for range 4 {
		if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
			t.Errorf("one engine refuses: got %+v, want it to run", o)
		}
	}
	set(refusing, refusing)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.NotRun {
		t.Errorf("both engines refuse: got %+v, want not_run", o)
	}
	failing := engine.Faults{RefuseWith: http.StatusInternalServerError}
	set(failing, failing)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.MayHaveRun || o.reason != verdict.ReasonEndpointFailed {
		t.Errorf("both engines fail: got %+v, want may_have_run with reason endpoint_failed", o)
	}
	lost := engine.Faults{Lost: 1}
	set(lost, lost)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.MayHaveRun {
		t.Errorf("the dispatch is lost: got %+v, want may_have_run", o)
	}
	set(engine.Faults{}, engine.Faults{})
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
		t.Errorf("without faults: got %+v, want it to run", o)
	}
	c.check()
}

// TestServiceFails loses a call to a plain service or its response. A call that may
// not be repeated must not be sent a second time, and a later one with the same key
// must get the same verdict.
func TestServiceFails(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	cases := []struct {
		name  string
		fault service.Faults
		first verdict.Verdict
	}{
		{"response lost", service.Faults{Unanswered: 1}, verdict.MayHaveRun},
		{"call lost", service.Faults{Lost: 1}, verdict.MayHaveRun},
	}
	for i, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			key := fmt.Sprintf("transfer-%d", i)
			c.must(c.services[0].SetFaults(k.fault))
			if o := c.transfer(c.instances[0], key).wait(c); o.verdict != k.first {
				t.Errorf("first transfer: got %+v, want verdict %s", o, k.first)
			}
			if o := c.transfer(c.instances[1], key).wait(c); o.verdict != k.first {
				t.Errorf("second transfer: got %+v, want verdict %s, as for the first", o, k.first)
			}
		})
	}
	if got := c.check(); got != 1 {
		t.Errorf("%d calls reached the service, want 1", got)
	}
}
