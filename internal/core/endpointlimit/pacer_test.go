package endpointlimit

import (
	"math/rand"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// naivePacer counts the requests of each window of a second.
type naivePacer struct {
	window time.Time
	used   int
}

func (n *naivePacer) take(now time.Time, perSecond float64) bool {
	if w := now.Truncate(time.Second); w != n.window {
		n.window, n.used = w, 0
	}
	n.used++
	return float64(n.used) <= perSecond
}

// Under any load and any changes of the limit, a Pacer lets through what the limit allows and
// little more, and nearly all of it if there are always requests.
func TestPacerKeepsTheLimit(t *testing.T) {
	const tick = 20 * time.Millisecond
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		limit := rnd.Float64() * 20
		demand := []float64{0.02, 0.5, 1}[rnd.Intn(3)] // of the ticks
		p := NewPacer(start, limit, 1)
		var allowed, naive float64
		sent, naiveSent := 0, 0
		var n naivePacer
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(tick) {
			if rnd.Intn(100) == 0 {
				limit = rnd.Float64() * 20
				p.SetLimit(now, limit, 1)
			}
			allowed += max(limit, 1/MaxInterval.Seconds()) * tick.Seconds()
			if rnd.Float64() >= demand {
				continue
			}
			if p.Wait(now) == 0 {
				p.Take(now)
				sent++
			}
			if n.take(now, limit) {
				naiveSent++
			}
		}
		naive = float64(naiveSent)
		if float64(sent) > 1.2*allowed+2 {
			t.Errorf("seed %d: %d requests were let through, the limits allow %.1f", seed, sent, allowed)
		}
		if demand == 1 && float64(sent) < 0.8*min(allowed, naive)-2 {
			t.Errorf("seed %d: %d requests were let through, the limits allow %.1f and a counter by the second lets %.0f through", seed, sent, allowed, naive)
		}
	}
}

func TestPacerSpreadsRequests(t *testing.T) {
	for _, tt := range []struct {
		perSecond, share float64
		want             time.Duration
	}{{2, 1, 500 * time.Millisecond}, {2, 0.25, 2 * time.Second}, {0.5, 1, 2 * time.Second}, {0, 1, MaxInterval}, {0.001, 1, MaxInterval}} {
		p := NewPacer(start, tt.perSecond, tt.share)
		if got := p.Wait(start); got != tt.want {
			t.Errorf("%v a second, share %v: the first request waits %v, want %v", tt.perSecond, tt.share, got, tt.want)
		}
		now := start.Add(time.Hour)
		p.Take(now)
		if got := p.Wait(now); got < tt.want-maxCredit || got > tt.want {
			t.Errorf("%v a second, share %v: after a pause the second request waits %v, want %v", tt.perSecond, tt.share, got, tt.want)
		}
	}
}

// A limit of any size neither stops a Pacer nor lets it loop.
func TestPacerTakesAnyLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300, 0.2, 1e9, 1e12, 1e300} {
		for _, share := range []float64{1, 0.25 / 300} {
			for _, p := range []Pacer{NewPacer(start, perSecond, share), NewStaggeredPacer(start, perSecond, share, 0.999)} {
				now := start.Add(time.Hour)
				p.SetLimit(now, perSecond/2, share)
				wait := p.Wait(now)
				p.Take(now.Add(wait))
				if most := time.Duration(float64(MaxInterval) / share); wait < 0 || wait > most {
					t.Errorf("%v a second, share %v: got a wait of %v, want 0 to %v", perSecond, share, wait, most)
				}
			}
		}
	}
}

// However a zone is cut into parts, their brokers and the instances without one together use
// no more than one and a quarter times the limit.
func TestSharesOfPartsOfAZone(t *testing.T) {
	for known := 1; known <= 300; known++ {
		for part := 0; part <= known; part++ {
			sum := 0.0
			for _, reachable := range []int{part, known - part} {
				if reachable > 0 {
					sum += Zone{Joined: true, Reachable: reachable, Known: known}.Share()
				}
			}
			if sum > 1.25 {
				t.Fatalf("parts of %d and %d instances use %.2f of a limit", part, known-part, sum)
			}
		}
		alone := Zone{Reachable: 1, Known: known}
		if sum := alone.Share() * float64(known); known <= assumedInstances && sum > 1 {
			t.Errorf("%d instances that have not found each other use %.2f of a limit", known, sum)
		}
		if sum := alone.LocalShare() * float64(known); sum > localShare {
			t.Errorf("%d instances without a broker use %.2f of a limit", known, sum)
		}
	}
}
