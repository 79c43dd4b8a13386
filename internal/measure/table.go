package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Case is one run with its parameters and its result.
type Case struct {
	Deployment string
	Load       float64
	Condition  Condition
	Policy     string
	Result     *Result
}

// WriteTable writes the cases of one deployment as a Markdown table.
func WriteTable(w io.Writer, cases []Case) {
	fmt.Fprintln(w, "| load | condition | policy | goodput % by tier 0-4 | wasted prefill Mtok (reprocessed + discarded, % of all) | TTFT s, tier 0 p50/p95/p99 | TTFT s, tier 1 | ITL ms, tier 0 | ITL ms, tier 1 | refused by reason | priority inversions | redispatched | messages per request |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range cases {
		writeRow(w, &cases[i])
	}
}

func writeRow(w io.Writer, c *Case) {
	r := c.Result
	offered := 0
	good := make([]string, 0, tiers)
	for i := range r.Tiers {
		good = append(good, fmt.Sprintf("%.1f", 100*r.Tiers[i].Goodput()))
		offered += r.Tiers[i].Offered
	}
	fmt.Fprintf(w, "| %gx | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %d | %.1f |\n",
		c.Load, c.Condition, c.Policy, strings.Join(good, " "), wasted(r),
		quantiles(&r.Tiers[0], true), quantiles(&r.Tiers[1], true),
		quantiles(&r.Tiers[0], false), quantiles(&r.Tiers[1], false),
		reasons(r), r.PriorityInversions, r.Redispatched, float64(r.Messages)/float64(max(1, offered)))
}

func wasted(r *Result) string {
	share := 0.0
	if r.Prefill > 0 {
		share = 100 * float64(r.WastedPrefill()) / float64(r.Prefill)
	}
	return fmt.Sprintf("%.2f (%.2f + %.2f, %.0f%%)", mega(r.WastedPrefill()), mega(r.Reprocessed), mega(r.Discarded), share)
}

func mega(n int) float64 { return float64(n) / 1e6 }

// quantiles formats p50, p95 and p99: of the time to first token in seconds if first is
// set, otherwise of the time between tokens in milliseconds.
func quantiles(t *Tier, first bool) string {
	h, unit, format := t.TokenGap, 1e3, "%.0f"
	if first {
		h, unit, format = t.FirstToken, 1e6, "%.2f"
	}
	var out []string
	for _, q := range []float64{50, 95, 99} {
		out = append(out, fmt.Sprintf(format, float64(h.ValueAtQuantile(q))/unit))
	}
	return strings.Join(out, "/")
}

// reasons formats each reason of refusals with the number of requests by tier.
func reasons(r *Result) string {
	byReason := make(map[string][]string)
	for i := range r.Tiers {
		for reason, n := range r.Tiers[i].Refused {
			byReason[string(reason)] = append(byReason[string(reason)], fmt.Sprintf("t%d:%d", i, n))
		}
	}
	var names []string
	for reason := range byReason {
		names = append(names, reason)
	}
	slices.Sort(names)
	for i, reason := range names {
		names[i] = reason + " " + strings.Join(byReason[reason], " ")
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, "; ")
}

// Violated reports whether the core violated a guarantee that must hold in every run.
func (c *Case) Violated() bool {
	return c.Policy == CorePolicy && (c.Result.PriorityInversions > 0 || c.Result.Redispatched > 0)
}
