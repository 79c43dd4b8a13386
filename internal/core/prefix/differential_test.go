package prefix

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestMain fixes the seed, so that every run checks the same sequences of steps.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// listIndex is a reference implementation of Index with LRU: a list of blocks,
// the most recently used last.
type listIndex struct {
	blocks []entity.BlockHash
	size   int
}

func (l *listIndex) touch(b entity.BlockHash) {
	l.remove(b)
	l.blocks = append(l.blocks, b)
	if len(l.blocks) > l.size {
		l.blocks = l.blocks[1:]
	}
}

func (l *listIndex) remove(b entity.BlockHash) {
	l.blocks = slices.DeleteFunc(l.blocks, func(c entity.BlockHash) bool { return c == b })
}

func (l *listIndex) match(chain []entity.BlockHash) int {
	for i, b := range chain {
		if !slices.Contains(l.blocks, b) {
			return i
		}
	}
	return len(chain)
}

func chain(t *rapid.T, name string) []entity.BlockHash {
	return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) entity.BlockHash {
		return entity.BlockHash(rapid.IntRange(1, 12).Draw(t, "block"))
	}), 0, 6, rapid.ID[entity.BlockHash]).Draw(t, name)
}

// For random inserts and cache events, including late ones and gaps, an Index
// matches the same blocks as the reference implementation, holds no more blocks
// than its bound, and keeps its confidence from minConfidence to 1.
func TestIndexAgreesWithListIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		x, reference := NewIndex(NewLRU(size)), &listIndex{size: size}
		newest := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "insert") {
				c := chain(t, "prompt")
				x.Insert(c)
				for _, b := range slices.Backward(c) {
					reference.touch(b)
				}
			} else {
				ev := entity.CacheEvent{
					Seq:    uint64(rapid.IntRange(1, 30).Draw(t, "seq")),
					Stored: chain(t, "stored"), Evicted: chain(t, "evicted"),
					Cleared: rapid.IntRange(0, 9).Draw(t, "cleared") == 0,
				}
				x.Apply(ev)
				if ev.Seq > newest && ev.Cleared {
					reference.blocks = nil
				}
				for _, b := range ev.Evicted {
					reference.remove(b)
				}
				if ev.Seq > newest {
					newest = ev.Seq
					for _, b := range ev.Stored {
						reference.touch(b)
					}
				}
			}
			c := chain(t, "lookup")
			if got, want := x.Match(c), reference.match(c); got != want {
				t.Fatalf("Match(%v) = %d, want %d as in the list index", c, got, want)
			}
			if x.Len() > size || x.Confidence() < minConfidence || x.Confidence() > 1 {
				t.Fatalf("got %d blocks and confidence %v, want at most %d blocks and a confidence from %v to 1", x.Len(), x.Confidence(), size, minConfidence)
			}
		}
	})
}
