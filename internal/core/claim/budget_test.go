package claim

import (
	"testing"
	"time"
)

func TestBudgetServesShardsInTurn(t *testing.T) {
	b := NewBudget(10, 1)
	served := map[ShardNumber]int{}
	now := start
	for range 400 { // shard 0 always calls first, and most often
		now = now.Add(10 * time.Millisecond)
		for _, n := range []ShardNumber{0, 0, 1, 2, 0, 3} {
			if b.take(now, n) {
				served[n]++
			}
		}
	}
	for n := range ShardNumber(4) { // one more or less, depending on the order of the calls
		if served[n] < 9 || served[n] > 11 {
			t.Errorf("shard %d: got %d appends of 40, want 9 to 11", n, served[n])
		}
	}
}

func TestBudgetSkipsShardsThatStoppedWaiting(t *testing.T) {
	b := NewBudget(1, 1)
	b.take(start, 0)
	if b.take(start, 1) || b.take(start, 2) {
		t.Fatal("got more appends than the burst allows")
	}
	now := start.Add(turnTimeout + time.Millisecond)
	if !b.take(now, 2) {
		t.Error("got no append for shard 2, want it after shard 1 has lost its turn")
	}
}
