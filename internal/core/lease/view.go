package lease

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// view is the state of one lease according to the records read so far.
type view struct {
	seen   bool              // whether any record was read
	holder entity.InstanceID // empty while vacant
	fence  platform.Offset
	// acquired means that the acquisition itself was read, not only renewals.
	acquired bool
	last     platform.Offset // offset of the last record of any kind
	readAt   time.Time       // when that record was read
	term     time.Duration   // the longest term in any record
}

// applyRecord processes the record at offset o and reports whether it is valid.
func (v *view) applyRecord(now time.Time, o platform.Offset, r *record) bool {
	valid := v.valid(r)
	if valid {
		v.update(o, r)
	}
	v.seen, v.last, v.readAt = true, o, now
	v.term = max(v.term, r.term())
	return valid
}

// valid reports whether a record is valid. If nothing was read before, there is nothing
// to check it against, and it counts as valid.
func (v *view) valid(r *record) bool {
	switch r.Op {
	case opAcquire:
		return !v.seen || v.last < r.Basis
	case opRenew, opRelease:
		return !v.seen || (v.holder == r.From && v.fence == r.Fence)
	}
	return false
}

func (v *view) update(o platform.Offset, r *record) {
	switch r.Op {
	case opAcquire:
		v.holder, v.fence, v.acquired = r.From, o, true
	case opRenew:
		v.holder, v.fence = r.From, r.Fence
	case opRelease:
		v.holder, v.fence = "", r.Fence
	}
}

// vacant reports whether nobody holds the lease according to the records.
func (v *view) vacant() bool { return v.holder == "" }
