package reserve

import "time"

// Stop records that this instance stops and when it ends. The brokers at which its requests wait are
// told, so that those which can't be answered before that are refused early.
func (e *Entry) Stop(now, endsAt time.Time) {
	e.endsAt = endsAt
	for _, id := range e.sortedWaiting() {
		w := e.waiting[id]
		e.sendSlotRequestTo(now, w, w.broker)
	}
}
