package model

import (
	"container/list"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// blockKey identifies a block of KV cache. Model and adapter are part of it because the same
// tokens have different KV under different models and adapters.
type blockKey struct {
	model   entity.ModelID
	adapter entity.AdapterID
	hash    entity.BlockHash
}

// block is one shared block. While no stream pins it, it is in the cache's list of idle blocks,
// which is ordered by eviction, the next block to evict first.
type block struct {
	key  blockKey
	refs int
	idle *list.Element
}

// cache is the KV memory: blocks private to streams, and shared prompt blocks. All sizes are in
// blocks.
type cache struct {
	total   int
	private int
	shared  map[blockKey]*block
	idle    *list.List
}

func newCache(total int) *cache {
	return &cache{total: total, shared: map[blockKey]*block{}, idle: list.New()}
}

// used returns the number of blocks that streams hold, private and pinned ones.
func (c *cache) used() int {
	return c.private + len(c.shared) - c.idle.Len()
}

// match returns the number of leading keys whose blocks are cached.
func (c *cache) match(keys []blockKey) int {
	for i, k := range keys {
		if c.shared[k] == nil {
			return i
		}
	}
	return len(keys)
}

// pin pins blocks, all of which must be cached.
func (c *cache) pin(keys []blockKey) {
	for _, k := range keys {
		b := c.shared[k]
		if b.refs == 0 {
			c.idle.Remove(b.idle)
			b.idle = nil
		}
		b.refs++
	}
}

// unpin unpins blocks. The last block of a chain is the first to be evicted, because it is of no
// use without the blocks before it.
func (c *cache) unpin(keys []blockKey) {
	for i := len(keys) - 1; i >= 0; i-- {
		b := c.shared[keys[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// reserve allocates n private blocks and evicts idle blocks where needed. It returns the hashes of
// the evicted blocks. If there is not enough memory, ok is false and nothing has changed.
func (c *cache) reserve(n int) (evicted []entity.BlockHash, ok bool) {
	if c.used()+n > c.total {
		return nil, false
	}
	for c.private+len(c.shared)+n > c.total {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.shared, b.key)
		evicted = append(evicted, b.key.hash)
	}
	c.private += n
	return evicted, true
}

// free releases n private blocks.
func (c *cache) free(n int) {
	c.private -= n
}

// share turns one private block, whose KV has been computed, into a shared one and pins it.
func (c *cache) share(k blockKey) {
	c.private--
	if c.shared[k] != nil {
		c.pin([]blockKey{k})
		return
	}
	c.shared[k] = &block{key: k, refs: 1}
}

// insert adds and pins a block if there is memory for it. It returns the hashes of the blocks
// evicted for it.
func (c *cache) insert(k blockKey) (evicted []entity.BlockHash, ok bool) {
	evicted, ok = c.reserve(1)
	if ok {
		c.share(k)
	}
	return evicted, ok
}
