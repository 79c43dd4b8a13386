package prefix

import "github.com/medlarhold/medlarhold/internal/core/entity"

const (
	// gapTrust is what is left of the trust after a gap in the events.
	gapTrust = 0.5
	// minTrust bounds the trust from below.
	minTrust = 0.9
	// trustGain is how much of the missing trust one event without a gap restores.
	trustGain = 0.1
)

// Index estimates the prefix cache of one engine.
type Index struct {
	held    Evictor
	nextSeq uint64
	trust   float64
}

// NewIndex returns an empty Index over ev.
func NewIndex(ev Evictor) *Index {
	return &Index{held: ev, trust: 1}
}

// Match returns how many leading blocks of the chain the engine is thought to hold.
func (x *Index) Match(chain []entity.BlockHash) int {
	for i, b := range chain {
		if !x.held.Contains(b) {
			return i
		}
	}
	return len(chain)
}

// Insert records that the engine processes a prompt with this chain. Blocks
// are touched from the last to the first, so that a shared head is the last
// thing forgotten.
func (x *Index) Insert(chain []entity.BlockHash) {
	for i := len(chain) - 1; i >= 0; i-- {
		x.held.Touch(chain[i], i)
	}
}

// Confidence returns how far the estimate is to be believed, from 0 to 1.
func (x *Index) Confidence() float64 { return x.trust }

// Len returns the number of blocks in the estimate.
func (x *Index) Len() int { return x.held.Len() }

// Apply corrects the estimate by an event of the engine. Events that are
// older than the newest one seen say nothing new and are passed over, but for
// evictions, which stay true unless the block was stored again since.
func (x *Index) Apply(ev entity.CacheEvent) {
	if ev.Seq < x.nextSeq {
		x.remove(ev.Evicted)
		return
	}
	x.learnGap(ev.Seq)
	x.nextSeq = ev.Seq + 1
	if ev.Cleared {
		x.held.Clear()
		x.trust = 1
	}
	x.remove(ev.Evicted)
	for i, b := range ev.Stored {
		x.held.Touch(b, i)
	}
}

func (x *Index) learnGap(seq uint64) {
	if x.nextSeq != 0 && seq > x.nextSeq {
		x.trust = max(minTrust, x.trust*gapTrust)
		return
	}
	x.trust += (1 - x.trust) * trustGain
}

func (x *Index) remove(blocks []entity.BlockHash) {
	for _, b := range blocks {
		x.held.Remove(b)
	}
}
