package quarantine

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// SoundAfter is how long an answer must have been arriving for its prompt to be sound:
	// much longer than an engine survives the beginning of an answer that kills it.
	SoundAfter = 250 * time.Millisecond
	// crashSpread is the time within which the losses of one engine belong to one crash.
	crashSpread = time.Second
	// maxCrashes, maxRuns and maxParts bound the records: the number of crashes, the runs of
	// each and the parts of each run.
	maxCrashes = 64
	maxRuns    = 16
	maxParts   = 8
)

// Loss is a run that ended because its engine closed the connection before the answer was
// complete.
type Loss struct {
	Request     entity.RequestID
	Endpoint    entity.EndpointID
	Incarnation int64
	// Parts are the parts of the request's prompt in order, empty if they are not known.
	Parts []entity.PartID
	// Key is the key of the request as a whole, see RequestKey; empty if it is not known.
	Key entity.PartID
	// Answering is how long the answer had been arriving.
	Answering time.Duration
}

// engine identifies an engine from its start to its end.
type engine struct {
	endpoint    entity.EndpointID
	incarnation int64
}

// run is a lost run of a crash.
type run struct {
	// own is the part that no other request shares.
	own entity.PartID
	// shared are the other parts of the prompt if the run is a suspect, in order.
	shared []entity.PartID
	// request is the key of the request as a whole if the run is a suspect, empty if it is not.
	request entity.PartID
}

// isSuspect reports whether the run may have caused the crash.
func (r *run) isSuspect() bool { return len(r.shared) > 0 || r.request != "" }

// keys returns the keys that may be blamed for the crash.
func (r *run) keys() []entity.PartID {
	if r.request == "" {
		return r.shared
	}
	return append(slices.Clone(r.shared), r.request)
}

// crash is what is known of a crash.
type crash struct {
	engine engine
	// at is when the first loss was noticed.
	at   time.Time
	runs []run
	// version is the version of the table at the last change of this record.
	version uint64
}

// runOf returns the record of a loss.
func runOf(l Loss) run {
	r := run{own: entity.PartID(l.Request)}
	if l.Answering < SoundAfter {
		r.request = l.Key
	}
	if len(l.Parts) == 0 {
		return r
	}
	last := len(l.Parts) - 1
	r.own = l.Parts[last]
	if l.Answering < SoundAfter {
		r.shared = slices.Clone(l.Parts[:min(last, maxParts)])
	}
	return r
}

// add adds a run. It reports whether the record has changed.
func (c *crash) add(r run) bool {
	if i := slices.IndexFunc(c.runs, func(k run) bool { return k.own == r.own }); i >= 0 {
		if c.runs[i].isSuspect() || !r.isSuspect() {
			return false
		}
		c.runs[i] = r
		return true
	}
	if len(c.runs) < maxRuns {
		c.runs = append(c.runs, r)
		return true
	}
	if !r.isSuspect() {
		return false
	}
	i := slices.IndexFunc(c.runs, func(k run) bool { return !k.isSuspect() })
	if i < 0 {
		return false
	}
	c.runs[i] = r // a suspect is worth more than a run that is none
	return true
}

// hasRequest reports whether a request is a suspect.
func (c *crash) hasRequest(key entity.PartID) bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.request == key })
}

// has reports whether a key may be blamed for the crash.
func (c *crash) has(part entity.PartID) bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.request == part || slices.Contains(r.shared, part) })
}
