package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The word that a request has ended may be lost with a connection, and its
// slot would stay taken until long after its deadline. So a broker asks about
// slots of which it has not heard for a while; the entry takes back those that
// it no longer uses.

const (
	// auditInterval is the time between two looks for such slots.
	auditInterval = 500 * time.Millisecond
	// auditAfter is how long a slot is taken without a word before its entry is
	// asked: longer than most answers, so that few questions are asked in vain.
	auditAfter = 2 * time.Second
)

// Audit asks an entry whether it still uses the slots that it was granted.
type Audit struct {
	Runs []AuditedRun `json:"r"`
}

// AuditedRun is a granted slot, by the request and its question.
type AuditedRun struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// audit asks entries about slots of which they have not spoken lately.
func (b *Broker) audit(now time.Time) {
	if now.Sub(b.audited) < auditInterval {
		return
	}
	b.audited = now
	asked := make(map[entity.InstanceID][]AuditedRun)
	for _, r := range b.runs {
		if now.Sub(r.heardOf) >= auditAfter {
			r.heardOf = now
			asked[r.from] = append(asked[r.from], AuditedRun{ID: r.id, Seq: r.number})
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(asked)) {
		slices.SortFunc(asked[entry], func(a, c AuditedRun) int { return cmp.Compare(a.ID, c.ID) })
		b.send(entry, Audit{Runs: asked[entry]})
	}
}
