package prefix

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestIndexMatchesLeadingBlocks(t *testing.T) {
	x := NewIndex(NewLRU(10))
	x.Insert([]entity.BlockHash{1, 2, 3})
	for want, chain := range [][]entity.BlockHash{{9, 1}, {1, 9, 3}, {1, 2, 9}, {1, 2, 3, 4}} {
		if got := x.Match(chain); got != want {
			t.Errorf("Match(%v) = %d, want %d", chain, got, want)
		}
	}
}

func TestIndexEvictsTailsFirst(t *testing.T) {
	x := NewIndex(NewLRU(4))
	x.Insert([]entity.BlockHash{1, 2, 3})
	x.Insert([]entity.BlockHash{1, 2, 4, 5})
	if got := x.Match([]entity.BlockHash{1, 2, 3}); got != 2 {
		t.Errorf("shared head: got %d matching blocks, want 2", got)
	}
	if x.Len() != 4 {
		t.Errorf("got %d blocks held, want 4", x.Len())
	}
}

func TestIndexFollowsEvents(t *testing.T) {
	x := NewIndex(NewLRU(10))
	x.Insert([]entity.BlockHash{1, 2})
	x.Apply(entity.CacheEvent{Seq: 5, Stored: []entity.BlockHash{3}, Evicted: []entity.BlockHash{2}})
	if got := x.Match([]entity.BlockHash{1, 2}); got != 1 {
		t.Errorf("got %d matching blocks after the second was evicted, want 1", got)
	}
	before := x.Confidence()
	x.Apply(entity.CacheEvent{Seq: 9})
	if x.Confidence() >= before {
		t.Errorf("confidence is %v after a gap, want less than the %v before", x.Confidence(), before)
	}
	low := x.Confidence()
	x.Apply(entity.CacheEvent{Seq: 10})
	if x.Confidence() <= low {
		t.Error("confidence did not rise after an event without a gap")
	}
	x.Apply(entity.CacheEvent{Seq: 4, Stored: []entity.BlockHash{7}})
	if x.Match([]entity.BlockHash{7}) != 0 {
		t.Error("an old event stored a block")
	}
	x.Apply(entity.CacheEvent{Seq: 11, Cleared: true})
	if x.Len() != 0 {
		t.Error("cleared cache still holds blocks")
	}
}
