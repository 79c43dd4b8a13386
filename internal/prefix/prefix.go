// Package prefix divides prompts into blocks and hashes them, in the same way on
// every instance and engine, so that equal hashes mean equal prefixes.
//
// The tokenisers of the models are not available here. A token is therefore
// assumed to be BytesPerToken bytes of the prompt.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// BytesPerToken is the assumed length of a token in bytes.
	BytesPerToken = 4
	// DefaultBlockTokens is the length of a block in tokens.
	DefaultBlockTokens = 16
)

// Tokens returns the estimated number of tokens of the prompt.
func Tokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// Hash returns the chained hashes of the prompt's full blocks of blockTokens
// tokens. The hash of a block also covers all blocks before it. If blockTokens is
// zero or less, DefaultBlockTokens is used.
func Hash(prompt string, blockTokens int) []entity.BlockHash {
	if blockTokens <= 0 {
		blockTokens = DefaultBlockTokens
	}
	size := blockTokens * BytesPerToken
	hashes := make([]entity.BlockHash, 0, len(prompt)/size)
	var parent uint64
	for ; len(prompt) >= size; prompt = prompt[size:] {
		parent = hashBlock(parent, prompt[:size])
		hashes = append(hashes, entity.BlockHash(parent))
	}
	return hashes
}

// Sample returns every stride-th hash of a chain, which identify the same prompt
// in blocks that are stride times as long. The sampled chain is shorter but
// still consists of hashes that engines use.
func Sample(chain []entity.BlockHash, stride int) []entity.BlockHash {
	out := make([]entity.BlockHash, 0, len(chain)/stride)
	for i := stride - 1; i < len(chain); i += stride {
		out = append(out, chain[i])
	}
	return out
}

// Head returns the first tokens tokens of a prompt, or all of it if it is shorter.
func Head(prompt string, tokens int) string {
	return prompt[:min(len(prompt), tokens*BytesPerToken)]
}

func hashBlock(parent uint64, block string) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], parent)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
