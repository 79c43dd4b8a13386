package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// checkOneDispatch checks that a request is dispatched to an endpoint as new work
// at most once.
func checkOneDispatch(x *index, _ Limits) (out []Violation) {
	for _, r := range x.requests {
		ds := x.requestEvents(r, KindDispatch)
		for i := 1; i < len(ds); i++ {
			out = append(out, violation(GuaranteeOneDispatch, ds[i],
				"request has dispatch number %d; the first was to %s", i+1, ds[0].Endpoint))
		}
	}
	return out
}

// idempotencyKey identifies non-idempotent work: keys are unique per organisation.
type idempotencyKey struct {
	org entity.OrgID
	key string
}

// checkOneRunPerKey checks that two runs with the same key start at least
// Limits.Window apart.
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
				"key %q of %s ran again, %v after request %s ran", e.Key, e.Org, e.At.Sub(prev.At), prev.Request))
		}
		last[k] = e
	}
	return out
}

// checkNotRun checks that a request that was answered with the verdict "not run"
// starts no run, neither before nor after the answer.
func checkNotRun(x *index, _ Limits) (out []Violation) {
	for _, r := range x.requests {
		starts := x.requestEvents(r, KindRunStart)
		for _, a := range x.requestEvents(r, KindAnswer) {
			if a.Verdict == verdict.NotRun && len(starts) > 0 {
				out = append(out, violation(GuaranteeNotRun, a,
					"verdict is not run, but %s ran the request at %v", starts[0].Endpoint, starts[0].At.Format(time.RFC3339Nano)))
			}
		}
	}
	return out
}
