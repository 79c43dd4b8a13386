package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

func TestCacheCursorKeepsEveryStridethBlock(t *testing.T) {
	var c cacheCursor
	got := c.convert(endpoint.CacheEvents{Next: 4, Events: []endpoint.CacheEvent{
		{Seq: 1, Stored: []endpoint.BlockHash{10, 11, 12, 13, 14}},
		{Seq: 3, First: 5, Stored: []endpoint.BlockHash{15, 16, 17}, Evicted: []endpoint.BlockHash{10, 13}},
	}}, 4)
	want := []entity.CacheEvent{
		{Seq: 1, Stored: []entity.BlockHash{13}, Evicted: []entity.BlockHash{}},
		{Seq: 3, Stored: []entity.BlockHash{17}, Evicted: []entity.BlockHash{10, 13}},
	}
	if diff := cmp.Diff(want, got); diff != "" || c.next != 4 {
		t.Fatalf("next %d, want 4; events (-want +got):\n%s", c.next, diff)
	}
}

// TestCacheCursorDetectsRestart guards against two faults after an engine's restart:
// events that repeat sequence numbers from before the restart, and cache contents
// from before the restart that are not cleared.
func TestCacheCursorDetectsRestart(t *testing.T) {
	var c cacheCursor
	c.convert(endpoint.CacheEvents{Next: 100}, 1)
	if got := c.convert(endpoint.CacheEvents{}, 1); got != nil || c.next != 100 {
		t.Fatalf("without a response: got events %+v, next %d; want none, next 100", got, c.next)
	}
	got := c.convert(endpoint.CacheEvents{Next: 2, Events: []endpoint.CacheEvent{{Seq: 1, Stored: []endpoint.BlockHash{7}}}}, 1)
	want := []entity.CacheEvent{
		{Seq: 100, Cleared: true},
		{Seq: 101, Stored: []entity.BlockHash{7}, Evicted: []entity.BlockHash{}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("events after the restart (-want +got):\n%s", diff)
	}
	if got := c.convert(endpoint.CacheEvents{Next: 2}, 1); len(got) != 0 || c.next != 2 {
		t.Fatalf("without new events: got %+v, next %d; want none, next 2", got, c.next)
	}
}
