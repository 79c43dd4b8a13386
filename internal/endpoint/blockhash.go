package endpoint

import (
	"fmt"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// BlockHash is a block hash in its JSON form: 16 hexadecimal digits, because
// not every JSON implementation holds 64-bit numbers exactly.
type BlockHash entity.BlockHash

// blockHashDigits is the length of a block hash in JSON.
const blockHashDigits = 16

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(h)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *BlockHash) UnmarshalText(text []byte) error {
	if len(text) != blockHashDigits {
		return trace.BadParameter("block hash %.20q does not have %d digits", text, blockHashDigits)
	}
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return trace.BadParameter("block hash %q is not hexadecimal", text)
	}
	*h = BlockHash(v)
	return nil
}

// ToWire converts block hashes to their JSON form.
func ToWire(hashes []entity.BlockHash) []BlockHash {
	out := make([]BlockHash, len(hashes))
	for i, h := range hashes {
		out[i] = BlockHash(h)
	}
	return out
}

// FromWire converts block hashes from their JSON form.
func FromWire(hashes []BlockHash) []entity.BlockHash {
	out := make([]entity.BlockHash, len(hashes))
	for i, h := range hashes {
		out[i] = entity.BlockHash(h)
	}
	return out
}
