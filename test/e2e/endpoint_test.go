package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// TestEngineConnections drops the connections that carry streams, in each way
// that they can be: the answer is whole and the engine has one dispatch.
func TestEngineConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	faults := []struct {
		name  string
		fault engine.Faults
	}{
		{"abort", engine.Faults{Cut: engine.Cut{Kind: engine.CutAbort, AfterTokens: 5, Times: 2}}},
		{"end without end mark", engine.Faults{Cut: engine.Cut{Kind: engine.CutEOF, AfterTokens: 5, Times: 2}}},
		{"silent", engine.Faults{Cut: engine.Cut{Kind: engine.CutStall, AfterTokens: 5, Times: 1}}},
		{"silent before the first token", engine.Faults{Cut: engine.Cut{Kind: engine.CutStall, Times: 1}}},
		{"taken in and not answered", engine.Faults{Unanswered: 1}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			c.must(c.engines[0].SetFaults(f.fault))
			if o := c.stream(c.instances[0], "urgent", 40).wait(c); o.verdict != verdict.Ran {
				t.Errorf("%+v", o)
			}
		})
	}
	c.must(c.engines[0].SetFaults(engine.Faults{}))
	if got := c.check(); got != len(faults) {
		t.Errorf("%d dispatches of %d requests", got, len(faults))
	}
}

// TestEngineFails: what a caller is told when engines refuse, fail or lose a
// request, and that the other engine takes what the first one refused.
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
			t.Errorf("one engine refuses: %+v", o)
		}
	}
	set(refusing, refusing)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.NotRun {
		t.Errorf("both engines refuse: %+v", o)
	}
	failing := engine.Faults{RefuseWith: http.StatusInternalServerError}
	set(failing, failing)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.MayHaveRun || o.reason != verdict.ReasonEndpointFailed {
		t.Errorf("both engines fail: %+v", o)
	}
	lost := engine.Faults{Lost: 1}
	set(lost, lost)
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.MayHaveRun {
		t.Errorf("the dispatch is lost: %+v", o)
	}
	set(engine.Faults{}, engine.Faults{})
	if o := c.stream(in, "urgent", 5).wait(c); o.verdict != verdict.Ran {
		t.Errorf("afterwards: %+v", o)
	}
	c.check()
}

// TestServiceFails: a call that may not be repeated is not, whatever happens
// to its answer.
func TestServiceFails(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1})
	cases := []struct {
		name  string
		fault service.Faults
		first verdict.Verdict
	}{
		{"answer lost", service.Faults{Unanswered: 1}, verdict.MayHaveRun},
		{"call lost", service.Faults{Lost: 1}, verdict.MayHaveRun},
	}
	for i, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			key := fmt.Sprintf("transfer-%d", i)
			c.must(c.services[0].SetFaults(k.fault))
			if o := c.book(c.instances[0], key).wait(c); o.verdict != k.first {
				t.Errorf("first: %+v", o)
			}
			if o := c.book(c.instances[1], key).wait(c); o.verdict != k.first {
				t.Errorf("again: %+v", o)
			}
		})
	}
	if got := c.check(); got != 1 {
		t.Errorf("%d calls reached the service", got)
	}
}
