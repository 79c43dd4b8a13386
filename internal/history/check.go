package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// check finds the breaches of one promise.
type check func(*index, Limits) []Violation

// checks lists the checks in the order of their reports.
var checks = []check{
	checkOneDispatch,
	checkOneRunPerKey,
	checkNotRun,
	checkCompleteAnswer,
	checkTierOrder,
	checkLeaving,
	checkRevisionOrder,
	checkRevisionDelay,
	checkGracefulStop,
	checkOneFinalAnswer,
}

// Check checks every promise with DefaultLimits. No violations means that the
// history breaks none.
func Check(events []Event) []Violation { return CheckWithLimits(events, DefaultLimits) }

// CheckWithLimits is Check with other limits.
func CheckWithLimits(events []Event, lim Limits) []Violation {
	x := newIndex(events)
	var all []Violation
	for _, c := range checks {
		all = append(all, c(x, lim)...)
	}
	return all
}

// index holds a history sorted by time and grouped.
type index struct {
	events    []Event
	requests  []entity.RequestID // in order of appearance
	byRequest map[entity.RequestID][]*Event
	instances []entity.InstanceID // in order of appearance
	byInst    map[entity.InstanceID][]*Event
	end       time.Time
}

func newIndex(events []Event) *index {
	x := &index{
		events:    slices.Clone(events),
		byRequest: make(map[entity.RequestID][]*Event),
		byInst:    make(map[entity.InstanceID][]*Event),
	}
	slices.SortStableFunc(x.events, func(a, b Event) int { return a.At.Compare(b.At) })
	for i := range x.events {
		e := &x.events[i]
		if e.Request != "" {
			x.requests = appendIfNew(x.requests, x.byRequest, e.Request)
			x.byRequest[e.Request] = append(x.byRequest[e.Request], e)
		}
		if e.Instance != "" {
			x.instances = appendIfNew(x.instances, x.byInst, e.Instance)
			x.byInst[e.Instance] = append(x.byInst[e.Instance], e)
		}
		x.end = e.At
	}
	return x
}

// appendIfNew appends k to keys unless it is grouped already.
func appendIfNew[K cmp.Ordered](keys []K, groups map[K][]*Event, k K) []K {
	if _, ok := groups[k]; ok {
		return keys
	}
	return append(keys, k)
}

// requestEvents returns the events requestEvents a request with one requestEvents the kinds.
func (x *index) requestEvents(r entity.RequestID, kinds ...Kind) []*Event {
	return filter(x.byRequest[r], kinds...)
}

func filter(events []*Event, kinds ...Kind) []*Event {
	var out []*Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e)
		}
	}
	return out
}

// violation makes a Violation at an event.
func violation(p Guarantee, e *Event, format string, args ...any) Violation {
	return Violation{
		Guarantee: p,
		At:        e.At,
		Request:   e.Request,
		Endpoint:  e.Endpoint,
		Instance:  e.Instance,
		Message:   fmt.Sprintf(format, args...),
	}
}
