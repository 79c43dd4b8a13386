package measure

import "github.com/medlarhold/medlarhold/internal/core/entity"

// ledger keeps account of processed prompt tokens.
type ledger struct {
	seen map[entity.BlockHash]bool
	// total is all that was processed, reprocessed what some engine had cached before.
	total, reprocessed int
}

func newLedger() *ledger {
	return &ledger{seen: make(map[entity.BlockHash]bool)}
}

// prefill records that blocks are processed for r.
func (l *ledger) prefill(blocks []entity.BlockHash, r *requestState) {
	for _, b := range blocks {
		l.total += blockTokens
		if l.seen[b] {
			l.reprocessed += blockTokens
			continue
		}
		r.newPrefill += blockTokens
	}
}

// cached records that an engine holds the blocks now.
func (l *ledger) cached(blocks []entity.BlockHash) {
	for _, b := range blocks {
		l.seen[b] = true
	}
}
