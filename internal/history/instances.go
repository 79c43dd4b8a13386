package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// checkRevisionOrder checks that the revision in force at an instance never
// decreases.
func checkRevisionOrder(x *index, _ Limits) (out []Violation) {
	for _, in := range x.instances {
		var newest int64
		for _, e := range filter(x.byInst[in], KindInForce) {
			if e.Revision < newest {
				out = append(out, violation(GuaranteeRevisionOrder, e, "revision %d is in force after revision %d", e.Revision, newest))
			}
			newest = max(newest, e.Revision)
		}
	}
	return out
}

// checkRevisionDelay checks that an accepted revision is in force within
// InForceWithin at each instance that is up for at least that long.
func checkRevisionDelay(x *index, lim Limits) (out []Violation) {
	for i := range x.events {
		if x.events[i].Kind != KindAccept {
			continue
		}
		for _, in := range x.instances {
			if v, bad := checkRevisionAt(x, in, &x.events[i], lim); bad {
				out = append(out, v)
			}
		}
	}
	return out
}

// checkRevisionAt checks one accepted revision at one instance, and reports
// whether there is a violation.
func checkRevisionAt(x *index, in entity.InstanceID, accept *Event, lim Limits) (Violation, bool) {
	inForceAt := firstInForce(x.byInst[in], accept.Revision)
	for _, up := range upTimes(x, in) {
		due := later(accept.At, up.from).Add(lim.InForceWithin)
		if due.After(up.to) || due.After(x.end) {
			continue
		}
		if inForceAt.IsZero() || inForceAt.After(due) {
			v := violation(GuaranteeRevisionDelay, accept, "revision %d not in force within %v", accept.Revision, lim.InForceWithin)
			v.Instance = in
			return v, true
		}
	}
	return Violation{}, false
}

// firstInForce returns when a revision or a newer one was first observed in force,
// or the zero time.
func firstInForce(events []*Event, revision int64) time.Time {
	for _, e := range filter(events, KindInForce) {
		if e.Revision >= revision {
			return e.At
		}
	}
	return time.Time{}
}

// span is a period of time. It is open if the history ends before the period does;
// then to is the end of the history.
type span struct {
	from, to time.Time
	last     Kind // the kind of the event that ended it; empty if open
}

// upTimes returns the periods in which an instance served callers and had a
// connection to the log.
func upTimes(x *index, in entity.InstanceID) (ups []span) {
	return spans(x, in, []Kind{KindUp}, []Kind{KindDown, KindStopBegin})
}

// stopTimes returns the planned stops of an instance.
func stopTimes(x *index, in entity.InstanceID) []span {
	return spans(x, in, []Kind{KindStopBegin}, []Kind{KindStopEnd, KindDown})
}

// spans returns the periods from an event of a kind in begin to the next event of
// a kind in end.
func spans(x *index, in entity.InstanceID, begin, end []Kind) (all []span) {
	var open *Event
	for _, e := range x.byInst[in] {
		switch {
		case len(filter([]*Event{e}, begin...)) > 0 && open == nil:
			open = e
		case len(filter([]*Event{e}, end...)) > 0 && open != nil:
			all = append(all, span{open.At, e.At, e.Kind})
			open = nil
		}
	}
	if open != nil {
		all = append(all, span{from: open.At, to: x.end})
	}
	return all
}

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && !t.After(s.to) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkGracefulStop checks that no connection is cut at an instance during its
// planned stop, and that every request sent to it is answered before it ends.
func checkGracefulStop(x *index, _ Limits) (out []Violation) {
	for _, in := range x.instances {
		for _, stop := range stopTimes(x, in) {
			for _, e := range filter(x.byInst[in], KindCut, KindSend) {
				if msg := stopProblem(x, e, stop); msg != "" {
					out = append(out, violation(GuaranteeGracefulStop, e, "%s", msg))
				}
			}
		}
	}
	return out
}

// stopProblem describes what a planned stop did wrong with the request of a KindCut or
// KindSend event, or returns "".
func stopProblem(x *index, e *Event, stop span) string {
	if e.Kind == KindCut {
		if stop.contains(e.At) && (stop.last != KindDown || e.At.Before(stop.to)) {
			return "request was cut off during a planned stop"
		}
		return ""
	}
	if e.At.After(stop.to) || stop.last != KindStopEnd {
		return ""
	}
	for _, a := range x.requestEvents(e.Request, KindAnswer, KindCut) {
		if !a.At.After(stop.to) {
			return ""
		}
	}
	return "request had no answer when the planned stop ended"
}
