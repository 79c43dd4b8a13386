package prefix

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Recency evicts the least recently used block.
type Recency struct {
	lru *simplelru.LRU[entity.BlockHash, struct{}]
}

// NewRecency returns an Evictor that holds up to size blocks, at least one.
func NewRecency(size int) *Recency {
	lru, err := simplelru.NewLRU[entity.BlockHash, struct{}](max(size, 1), nil)
	if err != nil {
		panic(err) // the only error is a size below one
	}
	return &Recency{lru: lru}
}

// Contains implements Evictor.
func (r *Recency) Contains(b entity.BlockHash) bool { return r.lru.Contains(b) }

// Touch implements Evictor.
func (r *Recency) Touch(b entity.BlockHash, _ int) { r.lru.Add(b, struct{}{}) }

// Remove implements Evictor.
func (r *Recency) Remove(b entity.BlockHash) { r.lru.Remove(b) }

// Clear implements Evictor.
func (r *Recency) Clear() { r.lru.Purge() }

// Len implements Evictor.
func (r *Recency) Len() int { return r.lru.Len() }
