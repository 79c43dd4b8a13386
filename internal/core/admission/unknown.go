package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// messageDelay is how long a grant may take until its request runs at the endpoint, and
	// the end of a request until the owner is told.
	messageDelay = 250 * time.Millisecond
	// maxPendingReports bounds the load reports that are kept for messageDelay.
	maxPendingReports = 16
)

// unknownRuns is an estimate of the requests that an endpoint runs and its owner doesn't
// know, as after the loss of a previous owner together with the entry.
//
// A load report alone shows them only while the endpoint has all that the owner has
// granted: a grant that is still on its way takes the place of an unknown run in the count.
// But no unknown run begins after the endpoint was gained. So the estimate only falls, and
// only as far as a report proves: what it counts beyond the jobs that were there for sure.
type unknownRuns struct {
	// count may rise only by a previous owner's grants that arrive late.
	count int
	// pending are reports younger than messageDelay.
	pending []entity.LoadReport
}

// record adds a load report. excess is what it counts beyond the jobs in the owner's table.
func (u *unknownRuns) record(r entity.LoadReport, excess int) {
	u.count = max(u.count, excess)
	u.pending = append(u.pending, r)
	if len(u.pending) > maxPendingReports {
		u.pending = u.pending[1:]
	}
}

// judge lowers the estimate by the reports that are old enough. present returns the number
// of jobs granted before the given time that have not ended by now.
func (u *unknownRuns) judge(now time.Time, present func(grantedBefore time.Time) int) {
	for len(u.pending) > 0 && now.Sub(u.pending[0].At) >= messageDelay {
		r := u.pending[0]
		u.pending = u.pending[1:]
		u.count = min(u.count, max(0, r.Running+r.Waiting-present(r.At.Add(-messageDelay))))
	}
}
