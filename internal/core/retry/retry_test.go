package retry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

func TestFailed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	notRun := verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonEndpointRefused}
	mayHaveRun := verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	retryAfter := verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, RetryAfter: time.Second}
	tests := []struct {
		name     string
		err      verdict.Error
		attempt  int
		deadline time.Duration
		want     bool
		reason   verdict.Reason
	}{
		{"not run", notRun, 1, time.Minute, true, verdict.ReasonNone},
		{"may have run", mayHaveRun, 1, time.Minute, false, verdict.ReasonConnectionLost},
		{"last attempt", notRun, 3, time.Minute, false, verdict.ReasonEndpointRefused},
		{"retry after the deadline", retryAfter, 1, time.Second, false, verdict.ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New(DefaultSettings(), rand.New(rand.NewSource(1)))
			w := &entity.Work{Pool: "p", Deadline: now.Add(tt.deadline)}
			d := p.Failed(now, w, tt.attempt, &tt.err)
			if d.Retry != tt.want || d.Reason != tt.reason {
				t.Errorf("got decision %+v, want Retry %v and reason %q", d, tt.want, tt.reason)
			}
		})
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := New(DefaultSettings(), rand.New(rand.NewSource(1)))
	p.SetBudget("p", 0.1)
	err := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonEndpointRefused}
	retries := 0
	for range 1000 {
		p.Request("p")
		if p.Failed(now, &entity.Work{Pool: "p"}, 1, err).Retry {
			retries++
		}
	}
	if retries < 100 || retries > 100+initialTokens {
		t.Errorf("got %d retries for 1000 requests, want 100 to 100 + initialTokens", retries)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	p := New(DefaultSettings(), rand.New(rand.NewSource(1)))
	for attempt := 1; attempt < 100; attempt++ {
		if w := p.backoff(attempt); w < 0 || w > p.settings.Cap {
			t.Fatalf("attempt %d: got a wait of %v, want 0 to Cap", attempt, w)
		}
	}
}
