package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// flakyLog refuses every fifth append without appending the record. It loses the
// response to every third append unless it refuses that one.
type flakyLog struct {
	*platformsvc.Service
	mu sync.Mutex
	n  int
}

func (l *flakyLog) Append(ctx context.Context, s platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	if l.n%5 == 0 {
		return 0, platform.ErrNotAppended
	}
	off, err := l.Service.Append(ctx, s, data)
	if l.n%3 == 0 {
		return 0, platform.ErrUnknownOutcome
	}
	return off, err
}

// publishChanges publishes 100 changes of one pool, each based on the newest
// revision that the operator has seen, and returns the ids by result.
func publishChanges(t *testing.T, log platform.Log, name string) map[Result][]string {
	p := &Publisher{Log: log, Follower: NewFollower(), Now: time.Now, Backoff: &backoff.ZeroBackOff{}}
	reported := make(map[Result][]string)
	for i := range 100 {
		c := Change{
			ID: fmt.Sprintf("%s-%d", name, i), Kind: KindPool, Name: "p", Operator: name,
			BasedOn: p.Follower.State().ObjectState(KindPool, "p").Revision, Spec: []byte(poolSpec),
		}
		out, err := p.Publish(context.Background(), c)
		if err != nil {
			t.Errorf("%s: %v", c.ID, err)
			return reported
		}
		if out.Result == ResultLost && out.Current.Revision <= c.BasedOn {
			t.Errorf("%s lost, but the object has no newer revision: %+v", c.ID, out)
		}
		reported[out.Result] = append(reported[out.Result], c.ID)
	}
	return reported
}

// TestConcurrentPublishersGetTheTrueOutcomes has two operators change the same pool
// through a log that loses responses and refuses appends. Every outcome that
// Publish returns must agree with the log's history.
func TestConcurrentPublishersGetTheTrueOutcomes(t *testing.T) {
	log := &flakyLog{Service: platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{}})}
	reported := make([]map[Result][]string, 2)
	var wg sync.WaitGroup
	for i, name := range []string{"ada", "bo"} {
		wg.Go(func() { reported[i] = publishChanges(t, log, name) })
	}
	wg.Wait()
	outcomes, _, err := History(context.Background(), log, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	applied := make(map[string]int)
	for _, out := range outcomes {
		if out.Result == ResultApplied {
			applied[out.ChangeID]++
		}
	}
	count := 0
	for _, ids := range reported {
		for _, id := range ids[ResultApplied] {
			count++
			if applied[id] != 1 {
				t.Errorf("%s was reported as applied, but was applied %d times", id, applied[id])
			}
		}
		for _, id := range ids[ResultLost] {
			if applied[id] != 0 {
				t.Errorf("%s was reported as lost, but was applied", id)
			}
		}
		if n := len(ids[ResultApplied]) + len(ids[ResultLost]); n != 100 {
			t.Errorf("got %d outcomes, want 100: %v", n, ids)
		}
	}
	if count != len(applied) || count < 100 {
		t.Errorf("%d changes were reported as applied, %d were applied, want the same number of at least 100", count, len(applied))
	}
}

func TestPublishErrorsDistinguishUnknownOutcomes(t *testing.T) {
	svc := platformsvc.New(platformsvc.Options{})
	p := &Publisher{Log: svc, Follower: NewFollower(), Now: time.Now, Backoff: &backoff.ZeroBackOff{}}
	c := Change{ID: "c", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)}
	svc.SetFaults(platformsvc.Faults{LogOutage: platformsvc.OutageRefuse})
	if _, err := p.Publish(context.Background(), c); !errors.Is(err, ErrNotPublished) {
		t.Errorf("outage: got %v, want %v", err, ErrNotPublished)
	}
	svc.SetFaults(platformsvc.Faults{})
	p.Log = unreadable{svc}
	if _, err := p.Publish(context.Background(), c); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("appended, but unreadable: got %v, want %v", err, ErrUnknownOutcome)
	}
	p.Log = svc
	if out, err := p.Publish(context.Background(), c); err != nil || out.Result != ResultApplied {
		t.Errorf("published again: got %+v, %v, want result %q", out, err, ResultApplied)
	}
}

// unreadable is a log that accepts appends but fails every read.
type unreadable struct{ *platformsvc.Service }

func (unreadable) Read(context.Context, platform.Stream, platform.Offset, int, time.Duration) (platform.ReadResult, error) {
	return platform.ReadResult{}, platform.ErrUnavailable
}
