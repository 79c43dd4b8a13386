package lease

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// view is what the records say of one lease.
type view struct {
	seen   bool              // any record
	holder entity.InstanceID // empty while vacant
	fence  platform.Offset
	// acquired says that the acquisition itself was read, not only renewals.
	acquired bool
	last     platform.Offset // of the last record of whatever kind
	readAt   time.Time       // when that was read
	term     time.Duration   // the longest term in any record
}

// applyRecord takes a record in and says whether it is valid.
func (v *view) applyRecord(now time.Time, o platform.Offset, r *record) bool {
	valid := v.valid(r)
	if valid {
		v.update(o, r)
	}
	v.seen, v.last, v.readAt = true, o, now
	v.term = max(v.term, r.term())
	return valid
}

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

// vacant says whether no one holds the lease, as the records tell.
func (v *view) vacant() bool { return v.holder == "" }
