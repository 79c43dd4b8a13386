package prefix

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// LRU is an Evictor that discards the least recently used block.
type LRU struct {
	lru *simplelru.LRU[entity.BlockHash, struct{}]
}

// NewLRU returns an Evictor that holds up to size blocks, at least one.
func NewLRU(size int) *LRU {
	lru, err := simplelru.NewLRU[entity.BlockHash, struct{}](max(size, 1), nil)
	if err != nil {
		panic(err) // the only error is a size below one
	}
	return &LRU{lru: lru}
}

// Contains implements Evictor.
func (r *LRU) Contains(b entity.BlockHash) bool { return r.lru.Contains(b) }

// Touch implements Evictor.
func (r *LRU) Touch(b entity.BlockHash, _ int) { r.lru.Add(b, struct{}{}) }

// Remove implements Evictor.
func (r *LRU) Remove(b entity.BlockHash) { r.lru.Remove(b) }

// Clear implements Evictor.
func (r *LRU) Clear() { r.lru.Purge() }

// Len implements Evictor.
func (r *LRU) Len() int { return r.lru.Len() }
