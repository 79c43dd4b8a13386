package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// Tier is what was measured of one tier.
type Tier struct {
	Offered, Good, Late int
	Refused             map[verdict.Reason]int
	FirstToken          *hdrhistogram.Histogram // microseconds
	TokenGap            *hdrhistogram.Histogram // microseconds
}

// Result is what was measured in one run.
type Result struct {
	Tiers [tiers]Tier
	// Prefill is all processed prompt tokens; Reprocessed those that some engine had
	// cached before; Discarded those of requests without a useful answer.
	Prefill, Reprocessed, Discarded int
	// PriorityInversions counts requests that were refused or ran out of time unserved
	// while a lower tier was being served where they could have been.
	PriorityInversions int
	// Redispatched counts requests that were dispatched more than once.
	Redispatched int
	// Messages counts those between instances.
	Messages int
}

func newResult() *Result {
	res := &Result{}
	for i := range res.Tiers {
		res.Tiers[i].Refused = make(map[verdict.Reason]int)
		res.Tiers[i].FirstToken = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		res.Tiers[i].TokenGap = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return res
}

// WastedPrefill is the wasted prefill in tokens.
func (res *Result) WastedPrefill() int { return res.Reprocessed + res.Discarded }

// Goodput is the share of a tier's offered requests that had a useful answer.
func (t *Tier) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

func (res *Result) tier(r *requestState) *Tier { return &res.Tiers[r.a.work.Tier] }

func (res *Result) addFirstToken(r *requestState) {
	if r.a.answerTokens > 0 {
		record(res.tier(r).FirstToken, r.firstToken.Sub(r.arrived))
	}
}

func (res *Result) addTokenGap(r *requestState, d time.Duration) {
	record(res.tier(r).TokenGap, d)
}

func (res *Result) addCompleted(r *requestState, inTime bool) {
	if inTime {
		res.tier(r).Good++
		return
	}
	res.tier(r).Late++
	res.Discarded += r.newPrefill
}

func (res *Result) addRefused(r *requestState, why verdict.Reason) {
	res.tier(r).Refused[why]++
	res.Discarded += r.newPrefill
	if why != verdict.ReasonConnectionLost && r.dispatches == 0 && !r.infeasible && r.run.lowerTierServed(r) {
		res.PriorityInversions++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram's range are recorded as its greatest.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}
