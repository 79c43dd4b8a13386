package limit

import "time"

// bucket is a token bucket whose rate and size change over time.
type bucket struct {
	tokens float64
	at     time.Time // last refill
}

// refill adds the tokens that the rate yielded since the last call, up to size.
// Tokens that already exceed size are kept.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if d := now.Sub(b.at); d > 0 {
		b.at = now
		if b.tokens < size {
			b.tokens = min(b.tokens+rate*d.Seconds(), size)
		}
	}
}

// clamp discards the tokens beyond size.
func (b *bucket) clamp(size float64) { b.tokens = min(b.tokens, size) }

// wait returns the time until the bucket holds at least one token, between
// minRetryAfter and maxRetryAfter unless there is one already.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - b.tokens) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Bounds of the retry time in a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)
