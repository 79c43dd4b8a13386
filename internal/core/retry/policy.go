package retry

import (
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Settings of a Policy.
type Settings struct {
	// MaxAttempts bounds the tries of one request, the first included.
	MaxAttempts int
	// Base is the upper bound of the first wait; it doubles with each attempt.
	Base time.Duration
	// Cap bounds every wait.
	Cap time.Duration
	// DefaultShare is the budget of a pool that was given none.
	DefaultShare float64
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{MaxAttempts: 3, Base: 10 * time.Millisecond, Cap: time.Second, DefaultShare: 0.1}
}

// Policy decides on retries, with one Budget per pool.
type Policy struct {
	settings Settings
	rng      *rand.Rand
	budgets  map[entity.PoolID]*Budget
}

// Decision is the answer to one failed try.
type Decision struct {
	// Retry says that the request may be tried again after Wait.
	Retry bool
	Wait  time.Duration
	// Reason says why not, where Retry is false.
	Reason verdict.Reason
}

// New returns a Policy that draws its jitter from rng.
func New(s Settings, rng *rand.Rand) *Policy {
	return &Policy{settings: s, rng: rng, budgets: make(map[entity.PoolID]*Budget)}
}

// SetBudget gives a pool its share of retries per request.
func (p *Policy) SetBudget(pool entity.PoolID, share float64) {
	p.budgets[pool] = NewBudget(share)
}

// Request records the first try of a request of the pool.
func (p *Policy) Request(pool entity.PoolID) {
	p.budget(pool).Request()
}

// Failed decides after the given attempt, counted from 1, of work failed with
// err. The wait never passes the work's deadline.
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

// backoff returns a wait drawn evenly from zero to a bound that doubles with
// each attempt.
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
