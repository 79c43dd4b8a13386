package prefix

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Evictor holds a bounded set of blocks and discards one to add another when it
// is full.
type Evictor interface {
	// Contains reports whether the block is held, and does not count as a use of it.
	Contains(b entity.BlockHash) bool
	// Touch adds the block, or records a use of it; depth is its index in its prompt.
	Touch(b entity.BlockHash, depth int)
	// Remove discards the block.
	Remove(b entity.BlockHash)
	// Clear discards all blocks.
	Clear()
	// Len returns the number of blocks held.
	Len() int
}
