package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// checkRevisionOrder: the revision in force at an instance never goes back.
func checkRevisionOrder(x *index, _ Limits) (out []Violation) {
	for _, in := range x.instances {
		var newest int64
		for _, e := range filter(x.byInst[in], KindInForce) {
			if e.Revision < newest {
				out = append(out, violation(GuaranteeRevisionOrder, e, "revision %d after %d", e.Revision, newest))
			}
			newest = max(newest, e.Revision)
		}
	}
	return out
}

// checkRevisionDelay: an accepted revision is in force within InForceWithin at
// each instance that is up for that long.
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

func checkRevisionAt(x *index, in entity.InstanceID, accept *Event, lim Limits) (Violation, bool) {
	shown := firstInForce(x.byInst[in], accept.Revision)
	for _, up := range upTimes(x, in) {
		due := later(accept.At, up.from).Add(lim.InForceWithin)
		if due.After(up.to) || due.After(x.end) {
			continue
		}
		if shown.IsZero() || shown.After(due) {
			v := violation(GuaranteeRevisionDelay, accept, "revision %d not in force within %v", accept.Revision, lim.InForceWithin)
			v.Instance = in
			return v, true
		}
	}
	return Violation{}, false
}

// firstInForce returns when an instance first showed a revision or a newer one.
func firstInForce(events []*Event, revision int64) time.Time {
	for _, e := range filter(events, KindInForce) {
		if e.Revision >= revision {
			return e.At
		}
	}
	return time.Time{}
}

// span is a stretch of time. It is open if the history ended before it did.
type span struct {
	from, to time.Time
	last     Kind // the event that ended it; empty if open
}

// upTimes returns when an instance served callers in reach of the log.
func upTimes(x *index, in entity.InstanceID) (ups []span) {
	return spans(x, in, []Kind{KindUp}, []Kind{KindDown, KindStopBegin})
}

// stopTimes returns the planned stops of an instance.
func stopTimes(x *index, in entity.InstanceID) []span {
	return spans(x, in, []Kind{KindStopBegin}, []Kind{KindStopEnd, KindDown})
}

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

// checkGracefulStop: nothing is cut at an instance during its planned stop,
// and what callers had sent to it is answered by its end.
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

func stopProblem(x *index, e *Event, stop span) string {
	if e.Kind == KindCut {
		if stop.contains(e.At) && (stop.last != KindDown || e.At.Before(stop.to)) {
			return "cut during a planned stop"
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
	return "not answered when the planned stop ended"
}
