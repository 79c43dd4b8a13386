package eligible

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Serves reports whether ep could serve new work w: it is in w's pool, has the model and
// the adapter, is not leaving, and has enough memory when idle.
func Serves(ep *entity.Endpoint, w *entity.Work) bool {
	return !ep.Leaving && ep.Pool == w.Pool && Loaded(ep, w.Model, w.Adapter) && FitsMemory(ep, w)
}

// Loaded reports whether ep has the model and the adapter. An empty name matches every
// endpoint.
func Loaded(ep *entity.Endpoint, model entity.ModelID, adapter entity.AdapterID) bool {
	if model != "" && !slices.Contains(ep.Models, model) {
		return false
	}
	return adapter == "" || slices.Contains(ep.Adapters, adapter)
}

// FitsMemory reports whether w fits the KV cache of ep if nothing else runs there.
func FitsMemory(ep *entity.Endpoint, w *entity.Work) bool {
	return ep.KVTokens == 0 || w.PromptTokens+w.MaxTokens <= ep.KVTokens
}

// Digest identifies a set of endpoints by a hash. The digest of a union of disjoint sets
// is the exclusive or of their digests; zero is the digest of the empty set.
type Digest uint64

// With returns the digest of the set with id added. The set must not contain id.
func (d Digest) With(id entity.EndpointID) Digest {
	return d ^ Digest(xxhash.Sum64String(string(id)))
}
