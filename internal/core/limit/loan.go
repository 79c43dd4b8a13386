package limit

import (
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// loan is what a home has lent of one organisation's contract.
type loan struct {
	org   entity.OrgID
	limit Limit
	// part is what the zone may lend.
	part Limit
	// bucket holds the tokens that unlent rate brings.
	bucket
	holders []*holder // sorted by id
}

// holder is one borrower. Its rate and concurrent are the most that it may
// still be using.
type holder struct {
	id             entity.InstanceID
	rate           float64
	concurrent     int
	wantRate       float64
	wantConcurrent int
	// seq is the newest share sent to it.
	seq     uint64
	expires time.Time
	lowered time.Time
	// offered is the amount last sent to it.
	offered OrgShare
}

func ceil(x float64) float64 { return math.Ceil(x - 1e-9) }

// resize sets what the zone may lend.
func (l *loan) resize(part Limit) { l.part = part }

// holder returns the row of a borrower, new if need be.
func (l *loan) holder(id entity.InstanceID) *holder {
	i, ok := slices.BinarySearchFunc(l.holders, id, compareHolder)
	if !ok {
		l.holders = slices.Insert(l.holders, i, &holder{id: id})
	}
	return l.holders[i]
}

// drop ends the loan of a borrower, unless a share is still on its way to it.
func (l *loan) drop(id entity.InstanceID, seen uint64) {
	i, ok := slices.BinarySearchFunc(l.holders, id, compareHolder)
	if ok && seen >= l.holders[i].seq {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

func (l *loan) freeRate() float64 {
	free := l.part.Rate
	for _, b := range l.holders {
		free -= b.rate
	}
	return free
}

func (l *loan) freeConcurrent() int {
	free := l.part.Concurrent
	for _, b := range l.holders {
		free -= b.concurrent
	}
	return free
}

// tight reports whether little is left to lend, so that borrowers who live on
// the base must have a share as well.
func (l *loan) tight() bool {
	return 4*l.freeConcurrent() <= l.part.Concurrent || 4*l.freeRate() <= l.part.Rate
}

// refresh brings the tokens up to date; it is due before lent rates change.
func (l *loan) refresh(now time.Time) {
	free := max(l.freeRate(), 0)
	size := 0.0
	if l.part.Rate > 0 {
		size = float64(l.part.Burst) * min(free/l.part.Rate, 1)
	}
	l.refill(now, free, size)
}

// takeTokens returns up to n whole tokens.
func (l *loan) takeTokens(n int) int {
	n = max(min(n, int(l.tokens)), 0)
	l.tokens -= float64(n)
	return n
}

// targets returns the part of a borrower when the demands of all are met as
// equally as the zone's part allows.
func (l *loan) targets(b *holder) (rate float64, concurrent int) {
	rates := make([]float64, len(l.holders))
	counts := make([]float64, len(l.holders))
	for i, o := range l.holders {
		rates[i], counts[i] = o.wantRate, float64(o.wantConcurrent)
	}
	rate = min(b.wantRate, level(rates, l.part.Rate))
	concurrent = int(min(float64(b.wantConcurrent), level(counts, float64(l.part.Concurrent))))
	if concurrent == 0 && b.wantConcurrent > 0 {
		// Less than one each: first come, first served.
		concurrent = 1
	}
	return rate, concurrent
}

// level returns the greatest amount that each can have at most, so that the
// demands met sum up to no more than the total (max-min fairness).
func level(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		each := total / float64(len(demands)-i)
		if d > each {
			return max(each, 0)
		}
		total -= d
	}
	return math.Inf(1)
}
