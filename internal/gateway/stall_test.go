package gateway

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
)

// runTicks advances now by duration with a tick every interval. It returns the time
// until the detector first reported the instance as slow, -1 for never, and whether
// the detector reports it as slow at the end.
func runTicks(d *stallDetector, now *time.Time, interval, duration time.Duration) (slowAfter time.Duration, slow bool) {
	start := *now
	slowAfter = -1
	for now.Sub(start) < duration {
		*now = now.Add(interval)
		slow = d.tick(*now)
		if slow && slowAfter < 0 {
			slowAfter = now.Sub(start)
		}
	}
	return slowAfter, slow
}

// An instance with too little processor time must lose its roles, regain them when its
// ticks arrive again, and stay without them for longer after a relapse. Small delays
// of ticks must not take its roles away.
func TestStallDetectorFindsSlowInstance(t *testing.T) {
	var d stallDetector
	now := time.Unix(1_700_000_000, 0)
	if after, _ := runTicks(&d, &now, broker.TickInterval, 10*time.Second); after >= 0 {
		t.Fatalf("all ticks arrive: slow after %v, want never", after)
	}
	if after, _ := runTicks(&d, &now, 3*broker.TickInterval/2, 10*time.Second); after >= 0 {
		t.Fatalf("two thirds of the ticks arrive: slow after %v, want never", after)
	}
	if after, _ := runTicks(&d, &now, 100*time.Millisecond, 2*time.Second); after < 0 || after > time.Second {
		t.Errorf("a fifth of the ticks arrives: slow after %v, want within a second", after)
	}
	if _, slow := runTicks(&d, &now, broker.TickInterval, slowPeriod+stallWindow); slow {
		t.Errorf("still slow %v after all ticks arrive again", slowPeriod+stallWindow)
	}
	runTicks(&d, &now, 100*time.Millisecond, 2*time.Second)
	if _, slow := runTicks(&d, &now, broker.TickInterval, slowPeriod+stallWindow); !slow {
		t.Error("a relapse ends after the first slow period, want a longer one")
	}
}
