package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
)

// sender batches entries into appends, one under way at a time.
type sender struct {
	set      Settings
	num      ShardNumber
	queue    []entry
	flight   *flight
	seq      uint64
	notUntil time.Time // pause after a failed append
	failures int       // appends in a row that failed or stayed without an answer
	outcomes int       // outcomes in the queue

	batches, claims, settles uint64
}

// flight is a batch that was handed out and not read back yet.
type flight struct {
	id      BatchID
	entries []entry
	sent    time.Time
	state   flightState
	since   time.Time // of the state
	doubted bool      // an answer was lost: a copy may stand or come to stand in the log
}

type flightState int

const (
	flightSent flightState = iota
	flightAppended
	flightUnknown
	flightMissing // unknown, and not found by a read that began later
)

func (s *sender) idle() bool { return len(s.queue) == 0 && s.flight == nil }

// down says whether the log seems down to appends: several failed in a row,
// and the next try isn't due.
func (s *sender) down(now time.Time) bool {
	doubtful := s.flight != nil && s.flight.state >= flightUnknown
	return s.failures >= stream.DownAfter && (doubtful || now.Before(s.notUntil))
}

func (s *sender) enqueue(e entry) {
	if e.Op == opSettle {
		s.outcomes++
	}
	s.queue = append(s.queue, e)
}

// cancel takes the claim of a request out of the queue; false means that it
// has left already.
func (s *sender) cancel(r entity.RequestID) bool {
	for i := range s.queue {
		if s.queue[i].Op == opClaim && s.queue[i].Request == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// takeClaims empties the queue of claims and returns them.
func (s *sender) takeClaims() []entry {
	var claims, rest []entry
	for _, e := range s.queue {
		if e.Op == opClaim {
			claims = append(claims, e)
		} else {
			rest = append(rest, e)
		}
	}
	s.queue = rest
	return claims
}

// next returns the next batch to append, if there is one and the limit allows
// it. Prepare completes a claim right before it leaves, or says no.
func (s *sender) next(now time.Time, prepare func(*entry) bool) (Batch, bool) {
	if s.flight != nil && s.flight.state != flightMissing {
		return Batch{}, false
	}
	if now.Before(s.notUntil) {
		return Batch{}, false
	}
	if s.flight == nil && !s.prepareHead(prepare) {
		return Batch{}, false
	}
	if !s.set.Budget.take(now, s.num) {
		return Batch{}, false
	}
	if s.flight == nil {
		s.load()
	}
	s.flight.state, s.flight.sent, s.flight.since = flightSent, now, now
	s.count()
	return Batch{ID: s.flight.id, Stream: s.num.Stream(), Data: encode(s.flight.id, s.flight.entries)}, true
}

// prepareHead prepares as many entries as fit a batch, and says whether there
// are any.
func (s *sender) prepareHead(prepare func(*entry) bool) bool {
	head := 0
	for head < len(s.queue) && head < maxBatchEntries {
		e := &s.queue[head]
		if e.Op == opClaim && !prepare(e) {
			s.queue = append(s.queue[:head], s.queue[head+1:]...)
			continue
		}
		head++
	}
	return head > 0
}

// load makes a batch of the head of the queue.
func (s *sender) load() {
	n := min(len(s.queue), maxBatchEntries)
	s.seq++
	s.flight = &flight{id: batchID(s.set.Instance, s.num, s.seq), entries: s.queue[:n:n]}
	s.queue = s.queue[n:]
	for i := range s.flight.entries {
		if s.flight.entries[i].Op == opSettle {
			s.outcomes--
		}
	}
}

func (s *sender) count() {
	s.batches++
	for i := range s.flight.entries {
		if s.flight.entries[i].Op == opClaim {
			s.claims++
		} else {
			s.settles++
		}
	}
}

func (s *sender) is(id BatchID) bool { return s.flight != nil && s.flight.id == id }

func (s *sender) appended(now time.Time, id BatchID) {
	s.failures = 0
	if s.is(id) {
		s.flight.state, s.flight.since = flightAppended, now
	}
}

// unknown keeps the batch: a later read tells whether it stands in the log.
func (s *sender) unknown(now time.Time, id BatchID) {
	if s.is(id) && s.flight.state == flightSent {
		s.doubt(now)
	}
}

func (s *sender) doubt(now time.Time) {
	s.flight.state, s.flight.since, s.flight.doubted = flightUnknown, now, true
	s.pause(now)
}

// pause follows a failed append.
func (s *sender) pause(now time.Time) {
	s.failures++
	s.notUntil = now.Add(s.set.AppendBackoff)
}

// failed drops the batch, which does not stand in the log. Its outcomes are
// queued again; its claims as well, unless the log counts as down, in which
// case they are returned. An earlier copy of the batch whose answer was lost
// may stand there all the same, so a batch that was ever unknown is kept and
// looked for.
func (s *sender) failed(now time.Time, id BatchID) []entry {
	if !s.is(id) {
		return nil
	}
	if s.flight.doubted {
		s.doubt(now)
		return nil
	}
	s.pause(now)
	entries := s.flight.entries
	s.flight = nil
	var again, refused []entry
	for _, e := range entries {
		switch {
		case e.Op == opSettle:
			s.outcomes++
			again = append(again, e)
		case s.failures < stream.DownAfter:
			again = append(again, e)
		default:
			refused = append(refused, e)
		}
	}
	s.queue = append(again, s.queue...)
	return refused
}

// readBack ends the flight that the record with this id settles and returns
// its entries.
func (s *sender) readBack(now time.Time, id BatchID) []entry {
	if !s.is(id) {
		return nil
	}
	entries := s.flight.entries
	s.flight = nil
	s.failures, s.notUntil = 0, now
	return entries
}

// readTo takes note that a read that was asked for then has reached the end of
// the stream. A batch that it didn't show may be appended again: every entry
// counts once however often it stands in the log.
func (s *sender) readTo(asked time.Time) {
	if s.flight == nil {
		return
	}
	since := s.flight.since
	if s.flight.state == flightAppended {
		since = since.Add(s.set.AppendTimeout)
	}
	if s.flight.state != flightSent && asked.After(since) {
		s.flight.state = flightMissing
	}
}

// prune drops the claims from a missing batch that no one waits for any more.
func (s *sender) prune(wanted func(entity.RequestID) bool) {
	if s.flight == nil || s.flight.state != flightMissing {
		return
	}
	var kept []entry
	for _, e := range s.flight.entries {
		if e.Op == opSettle || wanted(e.Request) {
			kept = append(kept, e)
		}
	}
	s.flight.entries = kept
	if len(kept) == 0 {
		s.flight = nil
	}
}

func (s *sender) tick(now time.Time) {
	if s.flight != nil && s.flight.state == flightSent && !now.Before(s.flight.sent.Add(s.set.AppendTimeout)) {
		s.doubt(now)
	}
}
