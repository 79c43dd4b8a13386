package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// reader keeps track of how far the stream was read.
type reader struct {
	next     platform.Offset // the next record to fold
	end      platform.Offset // the stream's end as last seen
	goal     platform.Offset // where the first read after a start saw the end
	goalSet  bool
	caughtUp bool
	down     bool // the last read failed

	inFlight bool
	asked    time.Time // when the last read was asked for
	notUntil time.Time // when the next read is due

	logTime     time.Time // newest log time seen
	logTimeRead time.Time // when it was seen
}

// overtaken says whether records were lost to retention before being read.
func (r *reader) overtaken(first platform.Offset) bool { return first > r.next }

func (r *reader) restart(first platform.Offset) {
	r.next = first
	r.goalSet = false
	r.caughtUp = false
}

// done ends a read that was answered.
func (r *reader) done(now time.Time, end platform.Offset) {
	r.inFlight = false
	r.down = false
	r.end = max(r.end, end)
	if !r.goalSet {
		r.goal, r.goalSet = end, true
	}
	if r.next >= r.goal {
		r.caughtUp = true
	}
	r.notUntil = now
}

func (r *reader) failed(now time.Time, backoff time.Duration, down bool) {
	r.inFlight = false
	r.down = down
	r.notUntil = now.Add(backoff)
}

// hurry makes a read due at once.
func (r *reader) hurry(now time.Time) {
	if r.notUntil.After(now) && !r.down {
		r.notUntil = now
	}
}

func (r *reader) overdue(now time.Time, timeout time.Duration) bool {
	return r.inFlight && !now.Before(r.asked.Add(timeout))
}

// request returns the next read if one is due: at once while the table is
// behind or something waits for the log, else every ReadInterval.
func (r *reader) request(now time.Time, set Settings, num ShardNumber, waiting bool) *ReadRequest {
	if r.inFlight || now.Before(r.notUntil) {
		return nil
	}
	behind := !r.caughtUp || r.next < r.end
	if !behind && !waiting && now.Before(r.asked.Add(set.ReadInterval)) {
		return nil
	}
	req := &ReadRequest{Stream: num.Stream(), From: r.next, Limit: readLimit}
	if waiting && !behind {
		req.Wait = set.ReadWait
	}
	r.inFlight = true
	r.asked = now
	return req
}
