package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// stop starts the planned stop of an instance and waits until its process has ended.
// It then waits for the given callers before it records the end of the stop: they may
// still read what the process had sent.
func (c *cluster) stop(in *testbed.Instance, callers ...*pendingRequest) {
	c.t.Helper()
	c.history.Add(history.Event{At: time.Now(), Kind: history.KindStopBegin, Instance: in.ID})
	c.must(in.Signal(syscall.SIGTERM))
	select {
	case <-in.Done():
	case <-time.After(2 * waitTimeout):
		c.t.Fatalf("timed out waiting for the end of %s", in.ID)
	}
	for _, f := range callers {
		f.wait(c)
	}
	c.history.Add(history.Event{At: time.Now(), Kind: history.KindStopEnd, Instance: in.ID})
	if code := in.ExitCode(); code != 0 {
		c.t.Errorf("%s ended with exit code %d, want 0", in.ID, code)
	}
}

// TestPlannedStop stops an instance that serves long streams and owns an engine with
// a full queue. No stream may be cut, and the requests that other instances had queued
// at it must be served.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 3, 1})
	leaving := c.owner(c.engines[0], c.instances...)
	others := c.others(leaving)
	var all []*pendingRequest
	for range 4 {
		all = append(all, c.stream(leaving, "patient", 800))
	}
	for _, f := range all {
		f.waitFirstToken(c)
	}
	for i := range 4 {
		all = append(all, c.stream(others[i%2], "patient", 300))
	}
	for i := range 6 {
		all = append(all, c.stream(append(others, leaving)[i%3], "patient", 20))
	}
	all = append(all, c.transfer(leaving, "during-the-stop"))
	c.must(leaving.WaitMetric("medlarhold_requests_in_flight", func(v float64) bool { return v >= 4 }))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.stop(leaving, all...)
	}()
	c.must(testbed.Eventually(func() bool { return call(t, leaving, http.MethodGet, "/readyz", "").status != http.StatusOK }))
	for i, f := range all {
		if o := f.wait(c); o.verdict != verdict.Ran {
			t.Errorf("request %d: got %+v, want it to run", i, o)
		}
	}
	<-stopped
	o := all[4].wait(c)
	for _, in := range others {
		got := call(t, in, http.MethodGet, "/v1/requests/"+string(o.id), "")
		if got.header.Get("X-Medlarhold-Verdict") != string(verdict.Ran) {
			t.Errorf("request status at %s: got %+v, want verdict ran", in.ID, got)
		}
	}
	if got := c.check(); got != len(all) {
		t.Errorf("got %d dispatches, want %d, one per request", got, len(all))
	}
}

// balancer selects instances in turn, as a load balancer in front of them does.
type balancer struct {
	c    *cluster
	next atomic.Int64
	mu   sync.Mutex
	all  []*testbed.Instance
}

// pick returns the next instance, which may be stopping.
func (b *balancer) pick() *testbed.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[int(b.next.Add(1))%len(b.all)]
}

func (b *balancer) replace(old, fresh *testbed.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, in := range b.all {
		if in == old {
			b.all[i] = fresh
		}
	}
}

// traffic is a load of requests that workers send through a balancer.
type traffic struct {
	workers      sync.WaitGroup
	ran, retries atomic.Int64
	stop         chan struct{}
}

// start starts workers that send short streams and transfers until finish is called.
func (b *balancer) start(workers int) *traffic {
	l := &traffic{stop: make(chan struct{})}
	for w := range workers {
		l.workers.Go(func() {
			for n := 0; !l.stopped(); n++ {
				o := l.send(b, fmt.Sprintf("transfer-%d-%d", w, n), n%4 == 3)
				if o.verdict != verdict.Ran {
					b.c.t.Errorf("worker %d, request %d at %s: got %+v (error %v), want it to run", w, n, o.instance.ID, o, o.err)
				}
				l.ran.Add(1)
			}
		})
	}
	return l
}

func (l *traffic) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *traffic) finish() {
	close(l.stop)
	l.workers.Wait()
}

// send sends one request with retries, and to another instance if the one that the
// balancer picked refuses connections.
func (l *traffic) send(b *balancer, key string, isTransfer bool) outcome {
	return sendWithRetries(func() outcome {
		var o outcome
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
			if isTransfer {
				o = b.c.tryTransfer(b.pick(), key)
			} else {
				o = b.c.tryStream(b.pick(), newPendingRequest(), "urgent", 30)
			}
			if !o.unsent {
				break
			}
		}
		if o.shouldRetry() {
			l.retries.Add(1)
		}
		return o
	})
}

// TestRollingReplacement replaces all instances of two zones one after another, under
// load, while the configuration changes. Every request must run, and no new instance
// may become ready with an older revision than one that was in force before.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1}, zone{"b", 2, 1})
	b := &balancer{c: c, all: append([]*testbed.Instance(nil), c.instances...)}
	l := b.start(4)
	seen := 0.0
	for i, old := range c.instances {
		c.publishChanges(1)
		name := fmt.Sprintf("%c%d", old.ID[0], 10+i)
		fresh := c.startNoWait(name, c.InstanceSettings(name, zoneOf(old)))
		c.must(fresh.WaitReady())
		now := c.revision(fresh)
		if now < seen {
			t.Errorf("%s is ready with revision %v, want at least %v, which was in force before", fresh.ID, now, seen)
		}
		for _, in := range b.all {
			seen = max(seen, now, c.revision(in))
		}
		b.replace(old, fresh)
		c.instances[i] = fresh
		c.stop(old)
	}
	l.finish()
	c.waitMembers(c.instances...)
	c.waitSameRevision()
	t.Logf("%d requests ran, with %d retries until the instance held a share of the contract", l.ran.Load(), l.retries.Load())
	c.check()
}

// revision returns the revision that an instance has in force, and records it in the
// history.
func (c *cluster) revision(in *testbed.Instance) float64 {
	c.t.Helper()
	v, err := in.Metric("medlarhold_config_revision")
	c.must(err)
	c.history.Add(history.Event{At: time.Now(), Kind: history.KindInForce, Instance: in.ID, Revision: int64(v)})
	return v
}

// waitSameRevision waits until all instances have the newest configuration in force.
func (c *cluster) waitSameRevision() {
	c.t.Helper()
	o := newOperator("reader")
	c.must(o.sync(c))
	newest := float64(o.follower.State().Revision())
	for _, in := range c.instances {
		c.must(in.WaitMetric("medlarhold_config_revision", func(v float64) bool { return v == newest }))
		c.revision(in)
	}
}
