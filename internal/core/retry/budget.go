package retry

// minTokens lets a pool with little traffic retry at all.
const minTokens = 3

// maxTokens bounds what a quiet time can save up.
const maxTokens = 100

// Budget bounds a pool's retries to a share of its requests, as a token
// bucket that requests fill and retries empty.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a Budget that allows share retries per request, 0 to 1.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.tokens = minTokens
	}
	return b
}

// Request records a first try.
func (b *Budget) Request() {
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// Take takes one retry from the budget, or returns false when it is spent.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
