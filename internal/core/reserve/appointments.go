package reserve

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A broker that is lost takes its appointments with it. So each entry keeps those that its callers
// were told, and reports them to the pool's next broker together with what it runs.

// maxAppointments bounds the appointments that are kept for one pool; the oldest are dropped.
const maxAppointments = 256

// appointment is one that a caller of this instance was told.
type appointment struct {
	key uint64
	at  time.Time
}

// recordAppointment records the appointment of a refused request.
func (e *Entry) recordAppointment(now time.Time, r *Request, d broker.Deny) {
	if !d.Appointed || r.Key == 0 {
		return
	}
	kept := e.appointments[r.Pool]
	kept = append(kept, appointment{key: r.Key, at: now.Add(d.RetryAfter)})
	e.appointments[r.Pool] = kept[max(0, len(kept)-maxAppointments):]
}

// appointmentsOf returns the appointments of a pool that are still to come, and drops the others.
func (e *Entry) appointmentsOf(now time.Time, pool entity.PoolID) []broker.AppointmentNotice {
	var out []broker.AppointmentNotice
	var kept []appointment
	for _, a := range e.appointments[pool] {
		if in := a.at.Sub(now); in > 0 {
			kept = append(kept, a)
			out = append(out, broker.AppointmentNotice{Key: a.key, InMs: in.Milliseconds()})
		}
	}
	e.appointments[pool] = kept
	return out
}
