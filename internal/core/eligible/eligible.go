package eligible

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Serves says that ep could serve new work w: it has the model and the
// adapter, is not leaving, and is large enough.
func Serves(ep *entity.Endpoint, w *entity.Work) bool {
	return !ep.Leaving && ep.Pool == w.Pool && Loaded(ep, w.Model, w.Adapter) && FitsMemory(ep, w)
}

// Loaded says that ep has the model and the adapter; empty names ask for none.
func Loaded(ep *entity.Endpoint, model entity.ModelID, adapter entity.AdapterID) bool {
	if model != "" && !slices.Contains(ep.Models, model) {
		return false
	}
	return adapter == "" || slices.Contains(ep.Adapters, adapter)
}

// FitsMemory says that w fits the memory of ep when nothing else runs there.
func FitsMemory(ep *entity.Endpoint, w *entity.Work) bool {
	return ep.KVTokens == 0 || w.PromptTokens+w.MaxTokens <= ep.KVTokens
}

// Digest names a set of endpoints by a number. The digest of a union of
// disjoint sets is the exclusive or of their digests; zero is the empty set.
type Digest uint64

// With returns the digest of the set with id added.
func (d Digest) With(id entity.EndpointID) Digest {
	return d ^ Digest(xxhash.Sum64String(string(id)))
}
