package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// An engine that declines a request, or that an entry can't connect to, gets no further
// requests for a while. The entry alone may be the cause, for example if its network to
// the engine is cut: it must not keep the engine from all others. So the engine is avoided
// for that entry first, and for all once a second entry has been refused as well. While
// no connection can be opened, the pauses grow: each attempt costs a caller time.

// refusals records the recent refusals of one engine.
type refusals struct {
	byEntry map[entity.InstanceID]refusal
	// all is the refusal for all entries.
	all refusal
}

// refusal is a pause after refusals in a row.
type refusal struct {
	until time.Time
	// unreachable is the number of failed connections in a row.
	unreachable int
}

// next returns the refusal that follows r.
func (r refusal) next(now time.Time, unreachable bool) refusal {
	if !unreachable {
		return refusal{until: now.Add(refusalPause)}
	}
	pause := refusalPause << min(r.unreachable, maxPauseDoublings)
	return refusal{until: now.Add(pause), unreachable: r.unreachable + 1}
}

// add records that the engine has refused a request of an entry.
func (r *refusals) add(now time.Time, from entity.InstanceID, unreachable bool) {
	for other, old := range r.byEntry {
		if other != from && now.Before(old.until) {
			r.all = r.all.next(now, unreachable)
			break
		}
	}
	if r.byEntry == nil {
		r.byEntry = make(map[entity.InstanceID]refusal)
	}
	r.byEntry[from] = r.byEntry[from].next(now, unreachable)
}

// clear records that the engine has run a request of an entry.
func (r *refusals) clear(from entity.InstanceID) {
	delete(r.byEntry, from)
	r.all.unreachable = 0
}

// forget removes what concerns an entry that is no longer a member.
func (r *refusals) forget(from entity.InstanceID) { delete(r.byEntry, from) }

// blocks reports whether the engine gets no requests of an entry now.
func (r *refusals) blocks(now time.Time, from entity.InstanceID) bool {
	return now.Before(r.byEntry[from].until)
}
