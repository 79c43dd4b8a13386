package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// check returns the violations of one guarantee.
type check func(*index, Limits) []Violation

// checks lists all checks, in the order in which their violations are reported.
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

// Check checks every guarantee with DefaultLimits and returns all violations.
func Check(events []Event) []Violation { return CheckWithLimits(events, DefaultLimits) }

// CheckWithLimits is like Check with the given limits.
func CheckWithLimits(events []Event, lim Limits) []Violation {
	x := newIndex(events)
	var all []Violation
	for _, c := range checks {
		all = append(all, c(x, lim)...)
	}
	return all
}

// index holds the events of a history sorted by time, and grouped by request and
// by instance.
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

// appendIfNew appends k to keys unless groups already has it.
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

// violation returns a Violation with the time and the subjects of an event.
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
