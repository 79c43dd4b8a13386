package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The report that a request has ended can be lost with a connection, and the slot would stay
// occupied until long after the request's deadline. The broker therefore asks entries about slots
// that have not been confirmed for a while, and the entry withdraws those that it no longer uses.

const (
	// auditInterval is the time between two searches for unconfirmed slots.
	auditInterval = 500 * time.Millisecond
	// auditAfter is how long a slot stays unconfirmed before its entry is asked about it. It is
	// longer than most answers take, so that few audits are unnecessary.
	auditAfter = 2 * time.Second
)

// Audit asks an entry whether it still uses the slots that it was granted.
type Audit struct {
	Runs []AuditedRun `json:"r"`
}

// AuditedRun identifies a granted slot by its request and slot request.
type AuditedRun struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// audit asks entries about slots that have not been confirmed for auditAfter.
func (b *Broker) audit(now time.Time) {
	if now.Sub(b.lastAudit) < auditInterval {
		return
	}
	b.lastAudit = now
	asked := make(map[entity.InstanceID][]AuditedRun)
	for _, r := range b.runs {
		if now.Sub(r.lastConfirmed) >= auditAfter {
			r.lastConfirmed = now
			asked[r.from] = append(asked[r.from], AuditedRun{ID: r.id, Seq: r.seq})
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(asked)) {
		slices.SortFunc(asked[entry], func(a, c AuditedRun) int { return cmp.Compare(a.ID, c.ID) })
		b.send(entry, Audit{Runs: asked[entry]})
	}
}
