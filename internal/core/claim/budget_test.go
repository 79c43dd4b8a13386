package claim

import (
	"testing"
	"time"
)

func TestBudgetServesShardsInTurn(t *testing.T) {
	b := NewBudget(10, 1)
	served := map[ShardNumber]int{}
	now := start
	for range 400 { // shard 0 always asks first, and most often
		now = now.Add(10 * time.Millisecond)
		for _, n := range []ShardNumber{0, 0, 1, 2, 0, 3} {
			if b.take(now, n) {
				served[n]++
			}
		}
	}
	for n := range ShardNumber(4) { // one more or less by who came first
		if served[n] < 9 || served[n] > 11 {
			t.Errorf("shard %d appended %d times of 40", n, served[n])
		}
	}
}

func TestBudgetPassesOverWhoStoppedAsking(t *testing.T) {
	b := NewBudget(1, 1)
	b.take(start, 0)
	if b.take(start, 1) || b.take(start, 2) {
		t.Fatal("above the rate")
	}
	now := start.Add(turnTimeout + time.Millisecond)
	if !b.take(now, 2) {
		t.Error("waits for a shard that is gone")
	}
}
