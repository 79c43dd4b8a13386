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
	// lendable is the part of the contract that the zone may lend.
	lendable Limit
	// bucket holds the tokens that the rate not lent yields.
	bucket
	holders []*holder // sorted by id
}

// holder is one borrower. Its rate and concurrent are the maximum that it may
// still be using.
type holder struct {
	id             entity.InstanceID
	rate           float64
	concurrent     int
	wantRate       float64
	wantConcurrent int
	// shareSeq is the Seq of the newest share sent to it.
	shareSeq  uint64
	expires   time.Time
	loweredAt time.Time
	// lastSent is the amount last sent to it.
	lastSent OrgShare
}

func ceil(x float64) float64 { return math.Ceil(x - 1e-9) }

// resize sets what the zone may lend.
func (l *loan) resize(lendable Limit) { l.lendable = lendable }

// holder returns the entry of a borrower and creates it if needed.
func (l *loan) holder(id entity.InstanceID) *holder {
	i, ok := slices.BinarySearchFunc(l.holders, id, compareHolder)
	if !ok {
		l.holders = slices.Insert(l.holders, i, &holder{id: id})
	}
	return l.holders[i]
}

// removeHolder ends the loan to a borrower, unless a share newer than shareSeq
// is in transit to it.
func (l *loan) removeHolder(id entity.InstanceID, shareSeq uint64) {
	i, ok := slices.BinarySearchFunc(l.holders, id, compareHolder)
	if ok && shareSeq >= l.holders[i].shareSeq {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

func (l *loan) freeRate() float64 {
	free := l.lendable.Rate
	for _, b := range l.holders {
		free -= b.rate
	}
	return free
}

func (l *loan) freeConcurrent() int {
	free := l.lendable.Concurrent
	for _, b := range l.holders {
		free -= b.concurrent
	}
	return free
}

// scarce reports whether at most a quarter is left to lend, so that borrowers
// without a share must be given one too, which bounds what they use.
func (l *loan) scarce() bool {
	return 4*l.freeConcurrent() <= l.lendable.Concurrent || 4*l.freeRate() <= l.lendable.Rate
}

// refresh brings the tokens up to date. It must be called before lent rates change.
func (l *loan) refresh(now time.Time) {
	free := max(l.freeRate(), 0)
	size := 0.0
	if l.lendable.Rate > 0 {
		size = float64(l.lendable.Burst) * min(free/l.lendable.Rate, 1)
	}
	l.refill(now, free, size)
}

// takeTokens removes up to n whole tokens and returns their number.
func (l *loan) takeTokens(n int) int {
	n = max(min(n, int(l.tokens)), 0)
	l.tokens -= float64(n)
	return n
}

// fairShare returns a borrower's part when the demands of all borrowers are met
// as equally as the zone's part allows.
func (l *loan) fairShare(b *holder) (rate float64, concurrent int) {
	rates := make([]float64, len(l.holders))
	counts := make([]float64, len(l.holders))
	for i, o := range l.holders {
		rates[i], counts[i] = o.wantRate, float64(o.wantConcurrent)
	}
	rate = min(b.wantRate, maxMinLevel(rates, l.lendable.Rate))
	concurrent = int(min(float64(b.wantConcurrent), maxMinLevel(counts, float64(l.lendable.Concurrent))))
	if concurrent == 0 && b.wantConcurrent > 0 {
		// There is less than one for each: first come, first served.
		concurrent = 1
	}
	return rate, concurrent
}

// maxMinLevel returns the greatest cap on each demand with which the demands
// met add up to no more than total (max-min fairness). It sorts demands.
func maxMinLevel(demands []float64, total float64) float64 {
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
