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

// Tier holds the measurements of one tier. Of the Offered requests, Good were answered
// by their deadline and Late after it; the others were refused.
type Tier struct {
	Offered, Good, Late int
	Refused             map[verdict.Reason]int
	FirstToken          *hdrhistogram.Histogram // time to first token in microseconds
	TokenGap            *hdrhistogram.Histogram // time between tokens in microseconds
}

// Result holds the measurements of one run.
type Result struct {
	Tiers [tiers]Tier
	// Prefill counts all processed prompt tokens, Reprocessed those that some engine
	// had cached before, and Discarded those that were processed for the first time
	// and for a request without an answer by its deadline.
	Prefill, Reprocessed, Discarded int
	// PriorityInversions counts requests that were refused or reached their deadline
	// without a dispatch, while their pool served a request of a lower tier.
	PriorityInversions int
	// Redispatched counts the requests that were dispatched more than once.
	Redispatched int
	// Messages counts the messages between instances.
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

// WastedPrefill returns the number of prompt tokens that were processed in vain.
func (res *Result) WastedPrefill() int { return res.Reprocessed + res.Discarded }

// Goodput returns the fraction of the tier's offered requests that were answered by their
// deadline, or 1 if none were offered.
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

func (res *Result) addRefused(r *requestState, reason verdict.Reason) {
	res.tier(r).Refused[reason]++
	res.Discarded += r.newPrefill
	if reason != verdict.ReasonConnectionLost && r.dispatches == 0 && !r.infeasible && r.run.lowerTierServed(r) {
		res.PriorityInversions++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram's range are recorded as its maximum.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}
