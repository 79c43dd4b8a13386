package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// checkOneDispatch: a request arrives at an endpoint as new work at most once.
func checkOneDispatch(x *index, _ Limits) (out []Violation) {
	for _, r := range x.requests {
		ds := x.requestEvents(r, KindDispatch)
		for i := 1; i < len(ds); i++ {
			out = append(out, violation(GuaranteeOneDispatch, ds[i],
				"dispatch %d, the first went to %s", i+1, ds[0].Endpoint))
		}
	}
	return out
}

// idempotencyKey names non-idempotent work.
type idempotencyKey struct {
	org entity.OrgID
	key string
}

// checkOneRunPerKey: two runs under one key lie at least the window apart.
func checkOneRunPerKey(x *index, lim Limits) (out []Violation) {
	last := make(map[idempotencyKey]*Event)
	for i := range x.events {
		e := &x.events[i]
		if e.Kind != KindRunStart || e.Key == "" {
			continue
		}
		k := idempotencyKey{e.Org, e.Key}
		if prev := last[k]; prev != nil && e.At.Sub(prev.At) < lim.Window {
			out = append(out, violation(GuaranteeOneRunPerKey, e,
				"key %q of %s runs again, %v after request %s ran", e.Key, e.Org, e.At.Sub(prev.At), prev.Request))
		}
		last[k] = e
	}
	return out
}

// checkNotRun: a request that a caller was told was not run starts no run,
// before or after the answer.
func checkNotRun(x *index, _ Limits) (out []Violation) {
	for _, r := range x.requests {
		starts := x.requestEvents(r, KindRunStart)
		for _, a := range x.requestEvents(r, KindAnswer) {
			if a.Verdict == verdict.NotRun && len(starts) > 0 {
				out = append(out, violation(GuaranteeNotRun, a,
					"told as not run, but %s ran it at %v", starts[0].Endpoint, starts[0].At.Format(time.RFC3339Nano)))
			}
		}
	}
	return out
}
