package model

import (
	"container/list"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// blockKey names a block of KV cache: prompts give different KV under
// different models and adapters.
type blockKey struct {
	model   entity.ModelID
	adapter entity.AdapterID
	hash    entity.BlockHash
}

// block is one cached block. Blocks that no stream holds stand in the cache's
// list of idle blocks, the next one to drop at the front.
type block struct {
	key  blockKey
	refs int
	idle *list.Element
}

// cache is the KV memory: blocks private to streams, and shared prompt blocks.
type cache struct {
	total   int // blocks
	private int // blocks
	shared  map[blockKey]*block
	idle    *list.List
}

func newCache(total int) *cache {
	return &cache{total: total, shared: map[blockKey]*block{}, idle: list.New()}
}

// used returns the number of blocks that streams hold.
func (c *cache) used() int {
	return c.private + len(c.shared) - c.idle.Len()
}

// match returns how many leading blocks are cached.
func (c *cache) match(keys []blockKey) int {
	for i, k := range keys {
		if c.shared[k] == nil {
			return i
		}
	}
	return len(keys)
}

// pin pins cached blocks.
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

// unpin unpins cached blocks. The last block of a chain is the first to be
// dropped, since it is of no use without those before it.
func (c *cache) unpin(keys []blockKey) {
	for i := len(keys) - 1; i >= 0; i-- {
		b := c.shared[keys[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// reserve makes n blocks private, dropping idle ones where needed. It returns
// the hashes that it dropped; ok is false when there is not enough room, and
// then nothing has changed.
func (c *cache) reserve(n int) (dropped []entity.BlockHash, ok bool) {
	if c.used()+n > c.total {
		return nil, false
	}
	for c.private+len(c.shared)+n > c.total {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.shared, b.key)
		dropped = append(dropped, b.key.hash)
	}
	c.private += n
	return dropped, true
}

// free gives private blocks back.
func (c *cache) free(n int) {
	c.private -= n
}

// share turns one private block that has been computed into a shared one and
// pins it.
func (c *cache) share(k blockKey) {
	c.private--
	if c.shared[k] != nil {
		c.pin([]blockKey{k})
		return
	}
	c.shared[k] = &block{key: k, refs: 1}
}

// insert adds and pins a block if there is room for it. It returns the hashes
// that it dropped.
func (c *cache) insert(k blockKey) (dropped []entity.BlockHash, ok bool) {
	dropped, ok = c.reserve(1)
	if ok {
		c.share(k)
	}
	return dropped, ok
}
