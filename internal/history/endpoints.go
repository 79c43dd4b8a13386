package history

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// running holds the start events of the runs in progress, ordered by start.
type running []*Event

// apply returns the runs in progress after e.
func (r running) apply(e *Event) running {
	switch e.Kind {
	case KindRunStart:
		return append(r, e)
	case KindRunEnd:
		return slices.DeleteFunc(r, func(s *Event) bool { return s.Request == e.Request && s.Endpoint == e.Endpoint })
	}
	return r
}

// checkTierOrder checks that no request of a lower tier runs on an endpoint that
// could serve a request at the time when that request is shed. If a shed event
// lists no eligible endpoints, every endpoint of the pool counts as eligible. Runs
// that start or end at the very time of the shed event are ignored.
func checkTierOrder(x *index, _ Limits) (out []Violation) {
	var now running
	for i := 0; i < len(x.events); {
		end := i
		for end < len(x.events) && x.events[end].At.Equal(x.events[i].At) {
			end++
		}
		before := slices.Clone(now)
		for j := i; j < end; j++ {
			now = now.apply(&x.events[j])
		}
		for j := i; j < end; j++ {
			out = append(out, lowerTiersServed(&x.events[j], before, now)...)
		}
		i = end
	}
	return out
}

// lowerTiersServed returns the violations for one shed request, considering the
// runs that were in progress both before and after its time.
func lowerTiersServed(shed *Event, before, after running) (out []Violation) {
	if shed.Kind != KindShed {
		return nil
	}
	for _, run := range after {
		if run.Tier > shed.Tier && couldServe(run, shed) && slices.Contains(before, run) {
			out = append(out, violation(GuaranteeTierOrder, shed,
				"request of tier %d was shed while %s served request %s of tier %d", shed.Tier, run.Endpoint, run.Request, run.Tier))
		}
	}
	return out
}

func couldServe(run, shed *Event) bool {
	if len(shed.Eligible) == 0 {
		return run.Pool == shed.Pool
	}
	return slices.Contains(shed.Eligible, run.Endpoint)
}

// checkLeaving checks that an endpoint receives no dispatch later than LeaveWithin
// after it began to leave.
func checkLeaving(x *index, lim Limits) (out []Violation) {
	leaving := make(map[entity.EndpointID]time.Time)
	for i := range x.events {
		e := &x.events[i]
		switch e.Kind {
		case KindLeave:
			if _, ok := leaving[e.Endpoint]; !ok {
				leaving[e.Endpoint] = e.At
			}
		case KindReturn:
			delete(leaving, e.Endpoint)
		case KindDispatch:
			since, ok := leaving[e.Endpoint]
			if ok && e.At.Sub(since) > lim.LeaveWithin {
				out = append(out, violation(GuaranteeLeaving, e, "dispatch %v after the endpoint began to leave", e.At.Sub(since)))
			}
		}
	}
	return out
}
