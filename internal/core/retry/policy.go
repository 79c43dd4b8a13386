package retry

import (
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Settings holds the limits of a Policy.
type Settings struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Base is the upper bound of the first backoff; the bound doubles with each
	// attempt.
	Base time.Duration
	// Cap is the upper bound of every backoff.
	Cap time.Duration
	// DefaultShare is the number of retries allowed per request, 0 to 1, in
	// pools without a SetBudget.
	DefaultShare float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{MaxAttempts: 3, Base: 10 * time.Millisecond, Cap: time.Second, DefaultShare: 0.1}
}

// Policy decides on retries, with one Budget per pool.
type Policy struct {
	settings Settings
	rng      *rand.Rand
	budgets  map[entity.PoolID]*Budget
}

// Decision is the result for one failed attempt.
type Decision struct {
	// Retry is set if the request may be retried after Wait.
	Retry bool
	Wait  time.Duration
	// Reason is why there is no retry, if Retry is false.
	Reason verdict.Reason
}

// New returns a Policy. Its backoff is drawn from rng.
func New(s Settings, rng *rand.Rand) *Policy {
	return &Policy{settings: s, rng: rng, budgets: make(map[entity.PoolID]*Budget)}
}

// SetBudget sets the number of retries that a pool may make per request, 0 to 1.
// It replaces the pool's budget by a new one.
func (p *Policy) SetBudget(pool entity.PoolID, share float64) {
	p.budgets[pool] = NewBudget(share)
}

// Request records the first attempt of a request of the pool.
func (p *Policy) Request(pool entity.PoolID) {
	p.budget(pool).Request()
}

// Failed decides whether to retry work whose given attempt, counted from 1,
// failed with err. The wait always ends before the work's deadline, and is at
// least err.RetryAfter.
func (p *Policy) Failed(now time.Time, work *entity.Work, attempt int, err *verdict.Error) Decision {
	if err.Verdict != verdict.NotRun || err.Reason == verdict.ReasonBadRequest || attempt >= p.settings.MaxAttempts {
		return Decision{Reason: err.Reason}
	}
	wait := max(p.backoff(attempt), err.RetryAfter)
	if !work.Deadline.IsZero() && !now.Add(wait).Before(work.Deadline) {
		return Decision{Reason: verdict.ReasonDeadline}
	}
	if !p.budget(work.Pool).Take() {
		return Decision{Reason: verdict.ReasonRetryBudget}
	}
	return Decision{Retry: true, Wait: wait}
}

// backoff returns a wait drawn uniformly from zero to a bound that doubles with
// each attempt, up to Cap.
func (p *Policy) backoff(attempt int) time.Duration {
	bound := p.settings.Cap
	if shift := attempt - 1; shift < 16 {
		bound = min(bound, p.settings.Base<<shift)
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int63n(int64(bound) + 1))
}

func (p *Policy) budget(pool entity.PoolID) *Budget {
	b, ok := p.budgets[pool]
	if !ok {
		b = NewBudget(p.settings.DefaultShare)
		p.budgets[pool] = b
	}
	return b
}
