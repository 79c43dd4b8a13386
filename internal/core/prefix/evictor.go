package prefix

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Evictor holds a bounded set of blocks and forgets one when it is full.
type Evictor interface {
	// Contains says whether the block is held, without touching it.
	Contains(b entity.BlockHash) bool
	// Touch adds or renews the block at the given depth of its prompt.
	Touch(b entity.BlockHash, depth int)
	// Remove forgets the block.
	Remove(b entity.BlockHash)
	// Clear forgets everything.
	Clear()
	// Len returns the number of blocks held.
	Len() int
}
