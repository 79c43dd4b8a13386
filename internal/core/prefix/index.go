package prefix

import "github.com/medlarhold/medlarhold/internal/core/entity"

const (
	// gapFactor multiplies the confidence at a gap in the events.
	gapFactor = 0.5
	// minConfidence is the lower bound of the confidence.
	minConfidence = 0.9
	// confidenceGain is the fraction of the missing confidence that one event
	// without a gap restores.
	confidenceGain = 0.1
)

// Index estimates which blocks the prefix cache of one engine holds.
type Index struct {
	blocks     Evictor
	nextSeq    uint64
	confidence float64
}

// NewIndex returns an empty Index that keeps its blocks in ev.
func NewIndex(ev Evictor) *Index {
	return &Index{blocks: ev, confidence: 1}
}

// Match returns the number of leading blocks of the chain that the engine is
// estimated to hold.
func (x *Index) Match(chain []entity.BlockHash) int {
	for i, b := range chain {
		if !x.blocks.Contains(b) {
			return i
		}
	}
	return len(chain)
}

// Insert records that the engine processes a prompt with this chain of blocks.
// Blocks are touched from the last to the first, so that an LRU evicts the blocks
// at the head, which other prompts may share, last.
func (x *Index) Insert(chain []entity.BlockHash) {
	for i := len(chain) - 1; i >= 0; i-- {
		x.blocks.Touch(chain[i], i)
	}
}

// Confidence returns how reliable the estimate is, from 0 to 1. Gaps in the
// events lower it.
func (x *Index) Confidence() float64 { return x.confidence }

// Len returns the number of blocks in the estimate.
func (x *Index) Len() int { return x.blocks.Len() }

// Apply corrects the estimate by an event of the engine. If the event is not newer
// than the newest one seen, only its evictions are applied: they are still true
// unless the block was stored again later.
func (x *Index) Apply(ev entity.CacheEvent) {
	if ev.Seq < x.nextSeq {
		x.remove(ev.Evicted)
		return
	}
	x.updateConfidence(ev.Seq)
	x.nextSeq = ev.Seq + 1
	if ev.Cleared {
		x.blocks.Clear()
		x.confidence = 1
	}
	x.remove(ev.Evicted)
	for i, b := range ev.Stored {
		x.blocks.Touch(b, i)
	}
}

func (x *Index) updateConfidence(seq uint64) {
	if x.nextSeq != 0 && seq > x.nextSeq {
		x.confidence = max(minConfidence, x.confidence*gapFactor)
		return
	}
	x.confidence += (1 - x.confidence) * confidenceGain
}

func (x *Index) remove(blocks []entity.BlockHash) {
	for _, b := range blocks {
		x.blocks.Remove(b)
	}
}
