package retry

// initialTokens allows a few retries in a pool with so little traffic that its
// requests have not filled the budget.
const initialTokens = 3

// maxTokens bounds the retries that can accumulate while few are needed.
const maxTokens = 100

// Budget limits a pool's retries to a share of its requests. It is a token
// bucket: each request adds share tokens, and each retry takes one.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a Budget that allows share retries per request, from 0 to 1.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.tokens = initialTokens
	}
	return b
}

// Request records the first attempt of a request.
func (b *Budget) Request() {
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// Take takes one retry from the budget, and returns false if the budget is
// exhausted.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
