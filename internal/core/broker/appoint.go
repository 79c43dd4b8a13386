package broker

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/appointment"
)

// A request that is refused for want of room is told when there will be room for it, and is
// expected then, see package appointment. This answers callers who come back once: a second refusal
// costs them more than a longer wait.

const (
	// minAppointedRoom is the part of the slot time, beside what higher ranks ask for, that is given
	// to appointments at least.
	minAppointedRoom = 0.05
	// maxAppointedRoom is the part that is given to them at most: demand may stay high.
	maxAppointedRoom = 0.3
	// roomSteps is the number of steps in which room is looked for.
	roomSteps = 4
	// appointedWithin is how long a request that comes back at its appointment may wait and still be
	// ordered with those that can be on time.
	appointedWithin = 500 * time.Millisecond
	// comeBackFraction is the part of the time it has left after which a caller comes back at the
	// latest.
	comeBackFraction = 1.0 / 3
	// maxReportedAppointments bounds the appointments in one message.
	maxReportedAppointments = 256
)

// AppointmentNotice tells another instance of an appointment.
type AppointmentNotice struct {
	Key uint64 `json:"k"`
	// InMs is the time until the appointment in milliseconds.
	InMs int64 `json:"m"`
}

// appointedRoom returns the part of the slot time that can be given to appointments of a rank after
// the given time, of what its requests and those of higher ranks leave.
func (p *pool) appointedRoom(now time.Time, after time.Duration, rank, slots int) float64 {
	var higher, same float64
	for _, other := range slices.Sorted(maps.Keys(p.ranks)) {
		switch d := p.ranks[other].demand.in(now, after) / float64(max(1, slots)); {
		case other < rank:
			higher += d
		case other == rank:
			same = d
		}
	}
	left := 1 - higher
	return max(0, minAppointedRoom*left, left-same)
}

// firstRoom returns the first time, up to latest, after which more than the least room is expected
// for appointments of a rank, and how much. If there is none, it is 0 and the room at present.
func (p *pool) firstRoom(now time.Time, latest time.Duration, rank, slots int) (after time.Duration, room float64) {
	for i := range roomSteps + 1 {
		after = latest * time.Duration(i) / roomSteps
		if room = p.appointedRoom(now, after, rank, slots); room > 2*minAppointedRoom {
			return after, min(room, maxAppointedRoom)
		}
	}
	return 0, p.appointedRoom(now, 0, rank, slots)
}

// returnTime returns the time after which the caller of a refused request should come back, and
// whether room is expected for it then.
func (b *Broker) returnTime(now time.Time, p *pool, j *job) (after time.Duration, appointed bool) {
	c := p.capacity(now, b.settings.SlotShare)
	latest := j.lastReturn(now)
	first, room := p.firstRoom(now, latest, j.request.Rank, c.size())
	if at, ok := p.book.Make(appointment.Need{
		Key: j.request.Key, Rank: j.request.Rank, Earliest: now.Add(max(minRetryAfter, first, p.drainTime(&c))), Latest: now.Add(latest),
		Pace: pace(c.serveTime(p.occupancy(j)), room),
	}); ok {
		return at.Sub(now), true
	}
	return min(max(minRetryAfter, latest), maxRetryAfter), false
}

// pace returns the time between requests that are served at the given intervals if they get a part
// of the room, 0 if they get none.
func pace(interval time.Duration, room float64) time.Duration {
	if room <= 0 {
		return 0
	}
	return time.Duration(float64(interval) / room)
}

// lastReturn returns the time after which the caller comes back at the latest.
func (j *job) lastReturn(now time.Time) time.Duration {
	end := j.end
	if end.IsZero() {
		end = j.deadline
	}
	return time.Duration(comeBackFraction * float64(end.Sub(now)))
}

// mayAppoint reports whether a refusal is for want of room, and concerns a caller who may come back.
func (b *Broker) mayAppoint(j *job, reason DenyReason) bool {
	return (reason == DenyOverload || reason == DenyDeadline) && j.request.Key != 0 && !j.request.IsRetry && b.settings.SlotShare <= 0
}

// keepAppointment orders a request that comes back at its appointment with those that can be on
// time.
func (p *pool) keepAppointment(now time.Time, j *job) {
	if !p.book.Keep(now, j.request.Key) {
		return
	}
	j.appointed = true
	if due := now.Add(appointedWithin); due.After(j.target) {
		j.target = due
	}
}

// notices returns appointments that were made since the last call.
func (p *pool) notices(now time.Time) []AppointmentNotice {
	var out []AppointmentNotice
	for _, a := range p.book.Fresh(maxReportedAppointments) {
		out = append(out, AppointmentNotice{Key: a.Key, InMs: a.At.Sub(now).Milliseconds()})
	}
	return out
}

// learnAppointments adds appointments that others have made.
func (p *pool) learnAppointments(now time.Time, notices []AppointmentNotice) {
	for _, n := range notices[:min(len(notices), maxReportedAppointments)] {
		if in := time.Duration(n.InMs) * time.Millisecond; in <= maxRetryAfter {
			p.book.Learn(appointment.Appointment{Key: n.Key, At: now.Add(in)})
		}
	}
}
