package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// clone returns a copy-on-write copy that shares all rows with the original.
func (t *tables) clone() *tables {
	out := *t
	out.objects = cloneTree(t.objects)
	out.keys = cloneTree(t.keys)
	return &out
}

// cloneTree returns a copy-on-write copy of the tree. It calls Clone on a copy
// of the tree's head, because Clone writes to its receiver, which other
// goroutines may be reading.
func cloneTree[T any](t *btree.BTreeG[T]) *btree.BTreeG[T] {
	head := *t
	return head.Clone()
}

// put sets the object's entry and updates the indexes.
func (t *tables) put(k Kind, name string, e *entry) {
	old, had := t.objects.ReplaceOrInsert(item{rank: k.rank(), name: name, e: e})
	var before document
	if had {
		before = old.e.doc
	}
	switch k {
	case KindContract:
		t.reindexKeys(before, e.doc)
	case KindEndpoint:
		t.reindexEndpoint(before, e.doc)
	}
}

// reindexKeys updates the key index after one contract has changed.
func (t *tables) reindexKeys(before, after document) {
	if c, ok := before.(*Contract); ok {
		for _, h := range c.KeyHashes {
			if sum, ok := parseKeyHash(h); ok {
				t.keys.Delete(newKeyItem(sum, nil))
			}
		}
	}
	if c, ok := after.(*Contract); ok {
		for _, h := range c.KeyHashes {
			if sum, ok := parseKeyHash(h); ok {
				t.keys.ReplaceOrInsert(newKeyItem(sum, c))
			}
		}
	}
}

// reindexEndpoint updates the endpoint lists after one endpoint has changed.
func (t *tables) reindexEndpoint(before, after document) {
	t.byPool = maps.Clone(t.byPool)
	if t.byPool == nil {
		t.byPool = make(map[entity.PoolID][]*entity.Endpoint)
	}
	if e, ok := before.(*Endpoint); ok {
		t.byPool[e.Pool] = without(t.byPool[e.Pool], e.Name)
		t.all = without(t.all, e.Name)
	}
	if e, ok := after.(*Endpoint); ok {
		row := e.Entity(t.poolKind(e.Pool))
		t.byPool[e.Pool] = with(t.byPool[e.Pool], &row)
		t.all = with(t.all, &row)
	}
}

// indexEndpoints rebuilds the endpoint lists from the table of objects.
func (t *tables) indexEndpoints() {
	t.byPool = make(map[entity.PoolID][]*entity.Endpoint)
	t.all = nil
	for e := range all[*Endpoint](State{t}, KindEndpoint) {
		row := e.Entity(t.poolKind(e.Pool))
		t.byPool[e.Pool] = append(t.byPool[e.Pool], &row)
		t.all = append(t.all, &row)
	}
}

// poolKind returns the kind of the pool's endpoints, or "" if the pool does not exist.
func (t *tables) poolKind(id entity.PoolID) entity.EndpointKind {
	p, ok := State{t}.Pool(id)
	if !ok {
		return ""
	}
	return p.Kind
}

// search returns the index of the endpoint in a sorted list, or the index at
// which it would be inserted, and whether it is in the list.
func search(list []*entity.Endpoint, id entity.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e *entity.Endpoint, id entity.EndpointID) int {
		return cmp.Compare(e.ID, id)
	})
}

// with returns a copy of the sorted list with the endpoint inserted.
func with(list []*entity.Endpoint, e *entity.Endpoint) []*entity.Endpoint {
	i, _ := search(list, e.ID)
	out := make([]*entity.Endpoint, 0, len(list)+1)
	out = append(out, list[:i]...)
	out = append(out, e)
	return append(out, list[i:]...)
}

// without returns a copy of the sorted list without the endpoint.
func without(list []*entity.Endpoint, id entity.EndpointID) []*entity.Endpoint {
	i, ok := search(list, id)
	if !ok {
		return list
	}
	return slices.Concat(list[:i], list[i+1:])
}
