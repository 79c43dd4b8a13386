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

func TestIndexForgetsTailsFirst(t *testing.T) {
	x := NewIndex(NewLRU(4))
	x.Insert([]entity.BlockHash{1, 2, 3})
	x.Insert([]entity.BlockHash{1, 2, 4, 5})
	if got := x.Match([]entity.BlockHash{1, 2, 3}); got != 2 {
		t.Errorf("shared head matches %d blocks, want 2", got)
	}
	if x.Len() != 4 {
		t.Errorf("%d blocks held", x.Len())
	}
}

func TestIndexFollowsEvents(t *testing.T) {
	x := NewIndex(NewLRU(10))
	x.Insert([]entity.BlockHash{1, 2})
	x.Apply(entity.CacheEvent{Seq: 5, Stored: []entity.BlockHash{3}, Evicted: []entity.BlockHash{2}})
	if got := x.Match([]entity.BlockHash{1, 2}); got != 1 {
		t.Errorf("evicted block still matches: %d", got)
	}
	before := x.Confidence()
	x.Apply(entity.CacheEvent{Seq: 9})
	if x.Confidence() >= before {
		t.Errorf("trust %v after a gap, %v before", x.Confidence(), before)
	}
	low := x.Confidence()
	x.Apply(entity.CacheEvent{Seq: 10})
	if x.Confidence() <= low {
		t.Error("trust does not come back")
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
