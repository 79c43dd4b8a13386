package gateway

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
)

// beat lets ticks come at an interval for a while, and says when the detector
// first found it slow and whether it does at the end.
func beat(d *stallDetector, now *time.Time, every, lasting time.Duration) (slowAfter time.Duration, slow bool) {
	start := *now
	slowAfter = -1
	for now.Sub(start) < lasting {
		*now = now.Add(every)
		slow = d.tick(*now)
		if slow && slowAfter < 0 {
			slowAfter = now.Sub(start)
		}
	}
	return slowAfter, slow
}

func TestSlowInstanceGivesItsRolesUp(t *testing.T) {
	var d stallDetector
	now := time.Unix(1_700_000_000, 0)
	if after, _ := beat(&d, &now, broker.TickInterval, 10*time.Second); after >= 0 {
		t.Fatalf("slow after %v though all ticks come", after)
	}
	if after, _ := beat(&d, &now, 3*broker.TickInterval/2, 10*time.Second); after >= 0 {
		t.Fatalf("slow after %v though two thirds of the ticks come", after)
	}
	if after, _ := beat(&d, &now, 100*time.Millisecond, 2*time.Second); after < 0 || after > time.Second {
		t.Errorf("slow after %v, want within a second", after)
	}
	if _, slow := beat(&d, &now, broker.TickInterval, slowPeriod+stallWindow); slow {
		t.Errorf("slow still %v after the ticks come again", slowPeriod+stallWindow)
	}
	beat(&d, &now, 100*time.Millisecond, 2*time.Second)
	if _, slow := beat(&d, &now, broker.TickInterval, slowPeriod+stallWindow); !slow {
		t.Error("a relapse is over as soon as the first time")
	}
}
