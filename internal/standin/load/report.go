package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// Report is the result of a run.
type Report struct {
	Seconds float64      `json:"seconds"`
	Tiers   []TierReport `json:"tiers"` // sorted by name
}

// TierReport is the result of one tier.
type TierReport struct {
	Tier    string `json:"tier"`
	Offered int    `json:"offered"`
	Good    int    `json:"good"`
	// GoodPerSec is the goodput over the whole run.
	GoodPerSec float64 `json:"good_per_sec"`
	Foreign    int     `json:"foreign"`
	// Verdicts counts the answers by verdict, with "none" for those without one; Reasons counts
	// them by reason, Errors by error on the caller's side.
	Verdicts map[string]int `json:"verdicts"`
	Reasons  map[string]int `json:"reasons"`
	Errors   map[string]int `json:"errors,omitempty"`
	// FirstToken, TokenGap and TotalTime cover the good answers only. FirstToken and TotalTime
	// count from the time when the request was due.
	FirstToken Quantiles `json:"first_token_ms"`
	TokenGap   Quantiles `json:"token_gap_ms"`
	TotalTime  Quantiles `json:"whole_ms"`
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	// histogramMax, in microseconds, is the largest time that a histogram records; histogramDigits
	// is its precision in significant digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// latencies is a histogram of times.
type latencies struct {
	h *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // always in range
}

func (l latencies) quantiles() Quantiles {
	at := func(q float64) float64 {
		return float64(l.h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// collector accumulates the report. It is not safe for concurrent use.
type collector struct {
	tiers map[string]*tier
}

type tier struct {
	report                 TierReport
	firstToken, gap, total latencies
}

func newCollector() *collector {
	return &collector{tiers: map[string]*tier{}}
}

func (c *collector) tier(name string) *tier {
	t := c.tiers[name]
	if t == nil {
		t = &tier{firstToken: newLatencies(), gap: newLatencies(), total: newLatencies()}
		t.report = TierReport{Tier: name, Verdicts: map[string]int{}, Reasons: map[string]int{}, Errors: map[string]int{}}
		c.tiers[name] = t
	}
	return t
}

func (c *collector) add(a *Answer, gaps []time.Duration) {
	t := c.tier(a.Tier)
	t.report.Offered++
	t.report.Verdicts[orDefault(string(a.Verdict), "none")]++
	if a.Reason != "" {
		t.report.Reasons[string(a.Reason)]++
	}
	if a.Error != "" {
		t.report.Errors[a.Error]++
	}
	if a.Foreign && a.Status != 0 {
		t.report.Foreign++
	}
	if !a.Good() {
		return
	}
	t.report.Good++
	t.total.add(a.End.Sub(a.Due))
	if !a.First.IsZero() {
		t.firstToken.add(a.First.Sub(a.Due))
	}
	for _, gap := range gaps {
		t.gap.add(gap)
	}
}

func (c *collector) result(d time.Duration) Report {
	r := Report{Seconds: d.Seconds()}
	for _, name := range slices.Sorted(maps.Keys(c.tiers)) {
		t := c.tiers[name]
		t.report.GoodPerSec = float64(t.report.Good) / d.Seconds()
		t.report.FirstToken = t.firstToken.quantiles()
		t.report.TokenGap = t.gap.quantiles()
		t.report.TotalTime = t.total.quantiles()
		r.Tiers = append(r.Tiers, t.report)
	}
	return r
}

// WriteTable writes the report as a table for terminals.
func (r Report) WriteTable(w io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "TIER\tOFFERED\tGOOD\tGOOD/S\tFIRST TOKEN MS P50/P95/P99\tTOKEN GAP MS P50/P95/P99\tVERDICTS\tREASONS")
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\n", t.Tier, t.Offered, t.Good, t.GoodPerSec,
			t.FirstToken, t.TokenGap, counts(t.Verdicts), counts(t.Reasons))
	}
	return trace.Wrap(table.Flush())
}

// String formats the three quantiles in milliseconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99)
}

// counts formats a map of counts, sorted by key.
func counts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
