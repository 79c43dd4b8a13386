package measure

import "github.com/medlarhold/medlarhold/internal/core/entity"

// ledger keeps account of processed prompt tokens.
type ledger struct {
	seen map[entity.BlockHash]bool
	// total is all that was processed, again what some engine had cached before.
	total, again int
}

func newLedger() *ledger {
	return &ledger{seen: make(map[entity.BlockHash]bool)}
}

// prefill records that blocks are processed for r.
func (l *ledger) prefill(blocks []entity.BlockHash, r *arrived) {
	for _, b := range blocks {
		l.total += blockTokens
		if l.seen[b] {
			l.again += blockTokens
			continue
		}
		r.firstTime += blockTokens
	}
}

// cached records that an engine holds the blocks now.
func (l *ledger) cached(blocks []entity.BlockHash) {
	for _, b := range blocks {
		l.seen[b] = true
	}
}
