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

// flakyLog loses the answer of every third append and refuses every fifth.
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

// operatorChanges publishes 100 changes of one pool, each based on the newest
// revision that the operator has seen, and returns the ids by result.
func operatorChanges(t *testing.T, log platform.Log, name string) map[Result][]string {
	p := &Publisher{Log: log, Follower: NewFollower(), Now: time.Now, Backoff: &backoff.ZeroBackOff{}}
	told := make(map[Result][]string)
	for i := range 100 {
		c := Change{
			ID: fmt.Sprintf("%s-%d", name, i), Kind: KindPool, Name: "p", Operator: name,
			BasedOn: p.Follower.State().ObjectState(KindPool, "p").Revision, Spec: []byte(poolSpec),
		}
		out, err := p.Publish(context.Background(), c)
		if err != nil {
			t.Errorf("%s: %v", c.ID, err)
			return told
		}
		if out.Result == ResultLost && out.Current.Revision <= c.BasedOn {
			t.Errorf("%s lost, but nothing newer stands: %+v", c.ID, out)
		}
		told[out.Result] = append(told[out.Result], c.ID)
	}
	return told
}

func TestRacingOperatorsAreToldTheTruth(t *testing.T) {
	log := &flakyLog{Service: platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{}})}
	told := make([]map[Result][]string, 2)
	var wg sync.WaitGroup
	for i, name := range []string{"ada", "bo"} {
		wg.Go(func() { told[i] = operatorChanges(t, log, name) })
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
	for _, by := range told {
		for _, id := range by[ResultApplied] {
			count++
			if applied[id] != 1 {
				t.Errorf("%s was told applied, and applied %d times", id, applied[id])
			}
		}
		for _, id := range by[ResultLost] {
			if applied[id] != 0 {
				t.Errorf("%s was told lost, but was applied", id)
			}
		}
		if n := len(by[ResultApplied]) + len(by[ResultLost]); n != 100 {
			t.Errorf("%d answers, want 100: %v", n, by)
		}
	}
	if count != len(applied) || count < 100 {
		t.Errorf("told %d applied, %d were", count, len(applied))
	}
}

func TestPublisherSaysWhatItKnows(t *testing.T) {
	svc := platformsvc.New(platformsvc.Options{})
	p := &Publisher{Log: svc, Follower: NewFollower(), Now: time.Now, Backoff: &backoff.ZeroBackOff{}}
	c := Change{ID: "c", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)}
	svc.SetFaults(platformsvc.Faults{LogOutage: platformsvc.OutageRefuse})
	if _, err := p.Publish(context.Background(), c); !errors.Is(err, ErrNotPublished) {
		t.Errorf("outage: %v", err)
	}
	svc.SetFaults(platformsvc.Faults{})
	p.Log = unreadable{svc}
	if _, err := p.Publish(context.Background(), c); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("appended, but unreadable: %v", err)
	}
	p.Log = svc
	if out, err := p.Publish(context.Background(), c); err != nil || out.Result != ResultApplied {
		t.Errorf("again: %+v %v", out, err)
	}
}

// unreadable is a log that takes appends and answers no read.
type unreadable struct{ *platformsvc.Service }

func (unreadable) Read(context.Context, platform.Stream, platform.Offset, int, time.Duration) (platform.ReadResult, error) {
	return platform.ReadResult{}, platform.ErrUnavailable
}
