package measure

import "github.com/medlarhold/medlarhold/internal/core/entity"

// ledger counts the prompt tokens that engines process.
type ledger struct {
	seen map[entity.BlockHash]bool
	// total counts all processed prompt tokens, reprocessed those of blocks that some
	// engine had cached before.
	total, reprocessed int
}

func newLedger() *ledger {
	return &ledger{seen: make(map[entity.BlockHash]bool)}
}

// prefill records that an engine processes blocks for r.
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

// cached records that an engine has cached the blocks.
func (l *ledger) cached(blocks []entity.BlockHash) {
	for _, b := range blocks {
		l.seen[b] = true
	}
}
