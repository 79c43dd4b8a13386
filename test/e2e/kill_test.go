package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// fast and slow are engines by the time that a token takes them.
var (
	fast = map[string]any{"decode_tokens_per_sec": 1000}
	slow = map[string]any{"decode_tokens_per_sec": 40}
)

// TestEntryKilled kills an entry instance under load. Its callers see a broken
// connection, and no request is dispatched and no key run a second time.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 2})
	victim := c.instances[0]
	others := c.others(victim)
	var cut, kept, booked []*flight
	for i := range 4 {
		cut = append(cut, c.stream(victim, "patient", 1500))
		kept = append(kept, c.stream(others[i%2], "urgent", 40))
	}
	for _, f := range append(cut, kept...) {
		f.started(c)
	}
	for i := range 6 {
		booked = append(booked, c.book(victim, fmt.Sprintf("transfer-%d", i)))
	}
	c.must(victim.Signal(syscall.SIGKILL))
	for _, f := range cut {
		o := f.wait(c)
		if o.cut == nil {
			t.Fatalf("the caller of a dead entry got %+v", o)
		}
		got := call(t, others[0], http.MethodGet, "/v1/requests/"+string(o.id), "")
		if got.status != http.StatusOK || got.header.Get("X-Medlarhold-Verdict") != string(verdict.MayHaveRun) {
			t.Fatalf("asked elsewhere: %+v", got)
		}
	}
	for _, f := range kept {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Fatalf("%+v", o)
		}
	}
	for i, f := range booked {
		f.wait(c)
		c.rebook(others[i%2], fmt.Sprintf("transfer-%d", i))
	}
	c.check()
}

// rebook sends a transfer again whose first answer was lost. It ends with the
// outcome of the first one, with a run of its own, or with the truth that no
// one can know.
func (c *cluster) rebook(in *testbed.Instance, key string) {
	c.t.Helper()
	c.must(testbed.Eventually(func() bool {
		o := c.book(in, key).wait(c)
		if o.verdict == verdict.NotRun && o.retry {
			return false
		}
		if o.verdict != verdict.Ran && o.verdict != verdict.MayHaveRun {
			c.t.Fatalf("%s: %+v", key, o)
		}
		return true
	}))
}

// TestOwnerKilled kills the owner of the engines under load, which is also the
// home of some request keys: streams that run go on, what was queued is asked
// elsewhere, and transfers run once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	var all []*flight
	for i := range 8 {
		all = append(all, c.stream(others[i%2], "patient", 120))
	}
	for _, f := range all {
		f.started(c)
	}
	for i := range 6 {
		all = append(all, c.stream(others[i%2], "patient", 20))
		all = append(all, c.book(others[i%2], fmt.Sprintf("transfer-%d", i)))
	}
	c.must(owner.Signal(syscall.SIGKILL))
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d: %+v", i, o)
		}
	}
	if got := c.check(); got != len(all) {
		t.Errorf("%d dispatches of %d requests", got, len(all))
	}
}

// TestOwnerFrozen stops the owner for longer than it takes to be given up, and
// lets it go on.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	running := c.stream(others[0], "patient", 400)
	running.started(c)
	c.must(owner.Signal(syscall.SIGSTOP))
	var all []*flight
	for i := range 4 {
		all = append(all, c.stream(others[i%2], "urgent", 20))
	}
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d during the freeze: %+v", i, o)
		}
	}
	for _, in := range others {
		c.must(in.WaitMetric("medlarhold_zone_members", func(v float64) bool { return v == 2 }))
	}
	c.must(owner.Signal(syscall.SIGCONT))
	c.waitMembers(c.instances...)
	for _, in := range c.instances {
		all = append(all, c.stream(in, "urgent", 5))
	}
	for i, f := range append(all, running) {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d after the freeze: %+v", i, o)
		}
	}
	if got := c.check(); got != len(all)+1 {
		t.Errorf("%d dispatches of %d requests", got, len(all)+1)
	}
}

// TestOwnerKilledWithoutLog: two failures at once.
func TestOwnerKilledWithoutLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	all := []*flight{c.stream(others[0], "patient", 120)}
	all[0].started(c)
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "silent", "list_outage": "silent"}))
	c.must(owner.Signal(syscall.SIGKILL))
	for i := range 4 {
		all = append(all, c.stream(others[i%2], "urgent", 20))
	}
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d: %+v", i, o)
		}
	}
	if o := c.book(others[0], "during").wait(c); o.verdict != verdict.NotRun || !o.retry {
		t.Errorf("without the log: %+v", o)
	}
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "", "list_outage": ""}))
	c.rebook(others[1], "during")
	if got := c.check(); got != len(all)+1 {
		t.Errorf("%d dispatches of %d requests", got, len(all)+1)
	}
}

// TestSecondSignal: a second signal ends the stop at once.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 1, 1})
	in := c.instances[0]
	f := c.stream(in, "patient", 1500)
	f.started(c)
	c.must(in.Signal(syscall.SIGTERM))
	c.must(testbed.Eventually(func() bool { return call(t, in, http.MethodGet, "/readyz", "").status != http.StatusOK }))
	c.must(in.Signal(syscall.SIGTERM))
	<-in.Done()
	if o := f.wait(c); o.cut == nil || in.ExitCode() != 130 {
		t.Fatalf("exit %d, %+v", in.ExitCode(), o)
	}
}
