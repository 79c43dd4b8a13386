package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// fast and slow are settings of engines that differ in the time per token.
var (
	fast = map[string]any{"decode_tokens_per_sec": 1000}
	slow = map[string]any{"decode_tokens_per_sec": 40}
)

// TestEntryKilled kills an entry instance under load. Its callers see a broken
// connection and other instances report that their requests may have run. No request
// may be dispatched twice, and no transfer may run twice under its key.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 2})
	victim := c.instances[0]
	others := c.others(victim)
	var cut, kept, transfers []*pendingRequest
	for i := range 4 {
		cut = append(cut, c.stream(victim, "patient", 1500))
		kept = append(kept, c.stream(others[i%2], "urgent", 40))
	}
	for _, f := range append(cut, kept...) {
		f.waitFirstToken(c)
	}
	for i := range 6 {
		transfers = append(transfers, c.transfer(victim, fmt.Sprintf("transfer-%d", i)))
	}
	c.must(victim.Signal(syscall.SIGKILL))
	for _, f := range cut {
		o := f.wait(c)
		if o.err == nil {
			t.Fatalf("caller of the killed entry: got %+v, want a broken connection", o)
		}
		got := call(t, others[0], http.MethodGet, "/v1/requests/"+string(o.id), "")
		if got.status != http.StatusOK || got.header.Get("X-Medlarhold-Verdict") != string(verdict.MayHaveRun) {
			t.Fatalf("request status at another instance: got %+v, want may_have_run", got)
		}
	}
	for _, f := range kept {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Fatalf("request through another entry: got %+v, want it to run", o)
		}
	}
	for i, f := range transfers {
		f.wait(c)
		c.repeatTransfer(others[i%2], fmt.Sprintf("transfer-%d", i))
	}
	c.check()
}

// repeatTransfer sends a transfer again under its key, until the verdict is no longer
// not_run with a retry delay. The final verdict must be ran, of the first transfer or of
// a repetition, or may_have_run if the outcome of the first one is unknown.
func (c *cluster) repeatTransfer(in *testbed.Instance, key string) {
	c.t.Helper()
	c.must(testbed.Eventually(func() bool {
		o := c.transfer(in, key).wait(c)
		if o.verdict == verdict.NotRun && o.hasRetryAfter {
			return false
		}
		if o.verdict != verdict.Ran && o.verdict != verdict.MayHaveRun {
			c.t.Fatalf("repeated transfer %s: got %+v, want ran or may_have_run", key, o)
		}
		return true
	}))
}

// TestOwnerKilled kills the owner of the engine under load. It is also the home of
// some idempotency keys. Running streams must continue, requests that were queued at
// it must be reserved at its successor, and each transfer must run once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	var all []*pendingRequest
	for i := range 8 {
		all = append(all, c.stream(others[i%2], "patient", 120))
	}
	for _, f := range all {
		f.waitFirstToken(c)
	}
	for i := range 6 {
		all = append(all, c.stream(others[i%2], "patient", 20))
		all = append(all, c.transfer(others[i%2], fmt.Sprintf("transfer-%d", i)))
	}
	c.must(owner.Signal(syscall.SIGKILL))
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d: got %+v, want it to run", i, o)
		}
	}
	if got := c.check(); got != len(all) {
		t.Errorf("got %d dispatches, want %d, one per request", got, len(all))
	}
}

// TestOwnerFrozen freezes the owner of the engine until its peers have removed it from
// their members, and then continues it. All requests must run during and after the
// freeze, each once.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	running := c.stream(others[0], "patient", 400)
	running.waitFirstToken(c)
	c.must(owner.Signal(syscall.SIGSTOP))
	var all []*pendingRequest
	for i := range 4 {
		all = append(all, c.stream(others[i%2], "urgent", 20))
	}
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d during the freeze: got %+v, want it to run", i, o)
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
			t.Errorf("request %d after the freeze: got %+v, want it to run", i, o)
		}
	}
	if got := c.check(); got != len(all)+1 {
		t.Errorf("got %d dispatches, want %d, one per request", got, len(all)+1)
	}
}

// TestOwnerKilledWithoutLog kills the owner of the engine while the platform is
// unresponsive. Completions must run; a transfer needs the log and must be refused as
// not run until the log is available again.
func TestOwnerKilledWithoutLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	owner := c.owner(c.engines[0], c.instances...)
	others := c.others(owner)
	all := []*pendingRequest{c.stream(others[0], "patient", 120)}
	all[0].waitFirstToken(c)
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "silent", "list_outage": "silent"}))
	c.must(owner.Signal(syscall.SIGKILL))
	for i := range 4 {
		all = append(all, c.stream(others[i%2], "urgent", 20))
	}
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d: got %+v, want it to run", i, o)
		}
	}
	if o := c.transfer(others[0], "during").wait(c); o.verdict != verdict.NotRun || !o.hasRetryAfter {
		t.Errorf("transfer without the log: got %+v, want not_run with a retry delay", o)
	}
	c.must(c.SetPlatformFaults(map[string]any{"log_outage": "", "list_outage": ""}))
	c.repeatTransfer(others[1], "during")
	if got := c.check(); got != len(all)+1 {
		t.Errorf("got %d dispatches, want %d, one per request", got, len(all)+1)
	}
}

// TestSecondSignal checks that a second signal ends a planned stop at once and cuts
// running requests.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 1, 1})
	in := c.instances[0]
	f := c.stream(in, "patient", 1500)
	f.waitFirstToken(c)
	c.must(in.Signal(syscall.SIGTERM))
	c.must(testbed.Eventually(func() bool { return call(t, in, http.MethodGet, "/readyz", "").status != http.StatusOK }))
	c.must(in.Signal(syscall.SIGTERM))
	<-in.Done()
	if o := f.wait(c); o.err == nil || in.ExitCode() != 130 {
		t.Fatalf("got exit code %d and %+v, want 130 and a broken connection", in.ExitCode(), o)
	}
}
