// Package stream holds what the users of a stream of the log have in common:
// the results of appends, and a Reader that keeps track of how far the stream
// was read. It is pure: no I/O, no clock.
package stream

import (
	"errors"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// AppendStatus says what is known of an append.
type AppendStatus int

// What may be known of an append.
const (
	AppendUnknown AppendStatus = iota // it may or may not stand in the stream
	AppendDone
	AppendFailed // it does not stand in the stream and never will
)

// StatusOf returns what the error of platform.Log.Append says. Any error but
// ErrNotAppended leaves the outcome unknown.
func StatusOf(err error) AppendStatus {
	switch {
	case err == nil:
		return AppendDone
	case errors.Is(err, platform.ErrNotAppended):
		return AppendFailed
	}
	return AppendUnknown
}

// DownAfter is how many failures in a row make the log count as down. One
// alone may be a lost answer.
const DownAfter = 2

// ReadRequest asks for records of a stream, as platform.Log.Read.
type ReadRequest struct {
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	Wait   time.Duration
	// Idle says that nothing waits for the records.
	Idle bool
}

// ReaderSettings of a Reader.
type ReaderSettings struct {
	Stream platform.Stream
	// Limit is the most records of one read.
	Limit int
	// Interval is the pause between reads while nothing is waiting.
	Interval time.Duration
	// Wait is how long a read waits for records while something is waiting.
	Wait time.Duration
	// Backoff is the pause after a failed read.
	Backoff time.Duration
	// Timeout is when a read without an answer counts as failed.
	Timeout time.Duration
}

// Reader keeps track of how far a stream was read. One read is under way at a
// time, unless one timed out.
type Reader struct {
	set      ReaderSettings
	start    platform.Offset // everything from here to next was read
	next     platform.Offset // the next record to fold
	end      platform.Offset // the stream's end as last seen
	initialEnd     platform.Offset // where the first read after a start saw the end
	initialEndKnown  bool
	caughtUp bool
	failures int // in a row

	inFlight bool
	lastRequestAt    time.Time
	nextReadAt time.Time
}

// NewReader returns a reader that starts at the oldest record.
func NewReader(set ReaderSettings) Reader { return Reader{set: set} }

// CaughtUp says whether the stream was read from its oldest record to where
// its end was when the reader started.
func (r *Reader) CaughtUp() bool { return r.caughtUp }

// AtEnd says whether everything known to stand in the stream was read.
func (r *Reader) AtEnd() bool { return r.caughtUp && r.next >= r.end }

// Down says whether the log seems down to readers: DownAfter reads failed in a
// row.
func (r *Reader) Down() bool { return r.failures >= DownAfter }

// Next is the offset of the next record to fold.
func (r *Reader) Next() platform.Offset { return r.next }

// Start is the offset from which everything up to Next was read.
func (r *Reader) Start() platform.Offset { return r.start }

// LastRequestAt is when the last read was asked for.
func (r *Reader) LastRequestAt() time.Time { return r.lastRequestAt }

// Overtaken says whether retention has passed records that were not read.
func (r *Reader) Overtaken(first platform.Offset) bool { return first > r.next }

// Restart goes on at the oldest record after having been overtaken.
func (r *Reader) Restart(first platform.Offset) {
	r.start, r.next = first, first
	r.initialEndKnown = false
	r.caughtUp = false
}

// Accept says whether a record is the next one, and passes it if so.
func (r *Reader) Accept(o platform.Offset) bool {
	if o != r.next {
		return false
	}
	r.next++
	return true
}

// ReadDone ends a read that was answered, after its records were taken.
func (r *Reader) ReadDone(now time.Time, end platform.Offset) {
	r.inFlight = false
	r.failures = 0
	r.nextReadAt = now
	r.end = max(r.end, end)
	if !r.initialEndKnown {
		r.initialEnd, r.initialEndKnown = end, true
	}
	if r.next >= r.initialEnd {
		r.caughtUp = true
	}
}

// ReadFailed ends a read that brought nothing.
func (r *Reader) ReadFailed(now time.Time, err error) {
	r.inFlight = false
	r.failures++
	if errors.Is(err, platform.ErrTruncated) {
		r.failures = 0 // the log is there
	}
	r.nextReadAt = now.Add(r.set.Backoff)
}

// ReadNow makes a read due at once, unless the log is down.
func (r *Reader) ReadNow(now time.Time) {
	if r.nextReadAt.After(now) && r.failures == 0 {
		r.nextReadAt = now
	}
}

// Overdue says whether a read stays without an answer for too long.
func (r *Reader) Overdue(now time.Time) bool {
	return r.inFlight && !now.Before(r.lastRequestAt.Add(r.set.Timeout))
}

// Request returns the next read if one is due: at once while the reader is
// behind or something waits for the log, else every Interval.
func (r *Reader) Request(now time.Time, waiting bool) *ReadRequest {
	if r.inFlight || now.Before(r.nextReadAt) {
		return nil
	}
	behind := !r.caughtUp || r.next < r.end
	if !behind && !waiting && now.Before(r.lastRequestAt.Add(r.set.Interval)) {
		return nil
	}
	req := &ReadRequest{Stream: r.set.Stream, From: r.next, Limit: r.set.Limit, Idle: !waiting}
	if waiting && !behind {
		req.Wait = r.set.Wait
	}
	r.inFlight = true
	r.lastRequestAt = now
	return req
}
