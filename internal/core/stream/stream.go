// Package stream holds what the packages that use a stream of the log have in
// common: the result of an append, and a Reader that tracks how far a stream
// has been read and when the next read is due. It does no I/O and has no clock:
// the caller performs the reads and passes in the time.
package stream

import (
	"errors"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// AppendStatus is the result of an append as far as the sender knows it.
type AppendStatus int

// The results of an append.
const (
	AppendUnknown AppendStatus = iota // the record may be in the stream now, or may still arrive
	AppendDone                        // the record is in the stream
	AppendFailed                      // the record is not in the stream and never will be
)

// StatusOf returns the AppendStatus for the error that platform.Log.Append returned.
// An error other than platform.ErrNotAppended leaves the result unknown.
func StatusOf(err error) AppendStatus {
	switch {
	case err == nil:
		return AppendDone
	case errors.Is(err, platform.ErrNotAppended):
		return AppendFailed
	}
	return AppendUnknown
}

// DownAfter is the number of consecutive failures after which the log counts as
// down. A single failure may just be a lost answer.
const DownAfter = 2

// ReadRequest asks for records of a stream; its fields are the arguments of
// platform.Log.Read.
type ReadRequest struct {
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	Wait   time.Duration
	// Idle means that nothing is waiting for the records.
	Idle bool
}

// ReaderSettings configures a Reader.
type ReaderSettings struct {
	Stream platform.Stream
	// Limit is the maximum number of records of one read.
	Limit int
	// Interval is the pause between reads while nothing is waiting.
	Interval time.Duration
	// Wait is how long a read waits for new records while something is waiting
	// for them.
	Wait time.Duration
	// Backoff is the pause after a failed read.
	Backoff time.Duration
	// Timeout is the time after which a read without an answer counts as failed.
	Timeout time.Duration
}

// Reader tracks how far a stream has been read. Only one read is in flight at a
// time, except that a read that timed out may still be running when the next one
// starts. A Reader is not safe for concurrent use.
type Reader struct {
	set             ReaderSettings
	start           platform.Offset // the offset of the first record read; all from here to next were read
	next            platform.Offset // the offset of the next record to process
	end             platform.Offset // the end of the stream as last seen
	initialEnd      platform.Offset // the end as seen by the first read after New or Restart
	initialEndKnown bool
	caughtUp        bool
	failures        int // consecutive failed reads

	inFlight      bool
	lastRequestAt time.Time
	nextReadAt    time.Time
}

// NewReader returns a reader that starts at the oldest record.
func NewReader(set ReaderSettings) Reader { return Reader{set: set} }

// CaughtUp reports whether the stream has been read from its oldest record to
// where its end was when the reader started.
func (r *Reader) CaughtUp() bool { return r.caughtUp }

// AtEnd reports whether the reader has caught up and has read every record known
// to be in the stream.
func (r *Reader) AtEnd() bool { return r.caughtUp && r.next >= r.end }

// Down reports whether the log counts as down for reads: at least DownAfter
// consecutive reads failed.
func (r *Reader) Down() bool { return r.failures >= DownAfter }

// Next returns the offset of the next record to process.
func (r *Reader) Next() platform.Offset { return r.next }

// Start returns the offset from which on every record up to Next was read.
func (r *Reader) Start() platform.Offset { return r.start }

// LastRequestAt returns when the last read was requested.
func (r *Reader) LastRequestAt() time.Time { return r.lastRequestAt }

// Overtaken reports whether the log's retention has removed records that this
// reader has not read. First is the offset of the oldest record left.
func (r *Reader) Overtaken(first platform.Offset) bool { return first > r.next }

// Restart continues at the oldest record left, first, after retention has
// overtaken the reader. The reader then has to catch up again.
func (r *Reader) Restart(first platform.Offset) {
	r.start, r.next = first, first
	r.initialEndKnown = false
	r.caughtUp = false
}

// Accept reports whether the record at offset o is the next one to process, and
// advances past it if so.
func (r *Reader) Accept(o platform.Offset) bool {
	if o != r.next {
		return false
	}
	r.next++
	return true
}

// ReadDone ends a read that was answered, after each of its records was passed to
// Accept. End is the end of the stream according to the answer.
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

// ReadFailed ends a read that failed or timed out. The next one is due after
// Backoff.
func (r *Reader) ReadFailed(now time.Time, err error) {
	r.inFlight = false
	r.failures++
	if errors.Is(err, platform.ErrTruncated) {
		r.failures = 0 // the log did answer
	}
	r.nextReadAt = now.Add(r.set.Backoff)
}

// ReadNow makes a read due at once, unless the pause after a failed read applies.
func (r *Reader) ReadNow(now time.Time) {
	if r.nextReadAt.After(now) && r.failures == 0 {
		r.nextReadAt = now
	}
}

// Overdue reports whether the read in flight has had no answer for Timeout.
func (r *Reader) Overdue(now time.Time) bool {
	return r.inFlight && !now.Before(r.lastRequestAt.Add(r.set.Timeout))
}

// Request returns the next read if one is due, else nil. Reads are due at once
// while the reader is behind the end or something is waiting for records, else
// every Interval.
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
