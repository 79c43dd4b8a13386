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
	pending   *pendingBatch
	seq      uint64
	nextAppendAt time.Time // pause after a failed append
	failures int       // appends in a row that failed or stayed without an answer
	outcomes int       // outcomes in the queue

	batches, claims, settles uint64
}

// pendingBatch is a batch that was handed out and not read back yet.
type pendingBatch struct {
	id      BatchID
	entries []entry
	sentAt    time.Time
	state   batchState
	stateSince   time.Time // of the state
	everUnknown bool      // an answer was lost: a copy may stand or come to stand in the log
}

type batchState int

const (
	batchSent batchState = iota
	batchAppended
	batchUnknown
	batchMissing // unknown, and not found by a read that began later
)

func (s *sender) idle() bool { return len(s.queue) == 0 && s.pending == nil }

// down says whether the log seems down to appends: several failed in a row,
// and the next try isn't due.
func (s *sender) down(now time.Time) bool {
	doubtful := s.pending != nil && s.pending.state >= batchUnknown
	return s.failures >= stream.DownAfter && (doubtful || now.Before(s.nextAppendAt))
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

// removeClaims empties the queue of claims and returns them.
func (s *sender) removeClaims() []entry {
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
	if s.pending != nil && s.pending.state != batchMissing {
		return Batch{}, false
	}
	if now.Before(s.nextAppendAt) {
		return Batch{}, false
	}
	if s.pending == nil && !s.prepareEntries(prepare) {
		return Batch{}, false
	}
	if !s.set.Budget.take(now, s.num) {
		return Batch{}, false
	}
	if s.pending == nil {
		s.startBatch()
	}
	s.pending.state, s.pending.sentAt, s.pending.stateSince = batchSent, now, now
	s.countBatch()
	return Batch{ID: s.pending.id, Stream: s.num.Stream(), Data: encode(s.pending.id, s.pending.entries)}, true
}

// prepareEntries prepares as many entries as fit a batch, and says whether there
// are any.
func (s *sender) prepareEntries(prepare func(*entry) bool) bool {
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

// startBatch makes a batch of the head of the queue.
func (s *sender) startBatch() {
	n := min(len(s.queue), maxBatchEntries)
	s.seq++
	s.pending = &pendingBatch{id: batchID(s.set.Instance, s.num, s.seq), entries: s.queue[:n:n]}
	s.queue = s.queue[n:]
	for i := range s.pending.entries {
		if s.pending.entries[i].Op == opSettle {
			s.outcomes--
		}
	}
}

func (s *sender) countBatch() {
	s.batches++
	for i := range s.pending.entries {
		if s.pending.entries[i].Op == opClaim {
			s.claims++
		} else {
			s.settles++
		}
	}
}

func (s *sender) isPending(id BatchID) bool { return s.pending != nil && s.pending.id == id }

func (s *sender) appended(now time.Time, id BatchID) {
	s.failures = 0
	if s.isPending(id) {
		s.pending.state, s.pending.stateSince = batchAppended, now
	}
}

// unknown keeps the batch: a later read tells whether it stands in the log.
func (s *sender) unknown(now time.Time, id BatchID) {
	if s.isPending(id) && s.pending.state == batchSent {
		s.markUnknown(now)
	}
}

func (s *sender) markUnknown(now time.Time) {
	s.pending.state, s.pending.stateSince, s.pending.everUnknown = batchUnknown, now, true
	s.backOff(now)
}

// backOff follows a failed append.
func (s *sender) backOff(now time.Time) {
	s.failures++
	s.nextAppendAt = now.Add(s.set.AppendBackoff)
}

// failed drops the batch, which does not stand in the log. Its outcomes are
// queued again; its claims as well, unless the log counts as down, in which
// case they are returned. An earlier copy of the batch whose answer was lost
// may stand there all the same, so a batch that was ever unknown is kept and
// looked for.
func (s *sender) failed(now time.Time, id BatchID) []entry {
	if !s.isPending(id) {
		return nil
	}
	if s.pending.everUnknown {
		s.markUnknown(now)
		return nil
	}
	s.backOff(now)
	entries := s.pending.entries
	s.pending = nil
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
	if !s.isPending(id) {
		return nil
	}
	entries := s.pending.entries
	s.pending = nil
	s.failures, s.nextAppendAt = 0, now
	return entries
}

// handleEndRead takes note that a read that was asked for then has reached the end of
// the stream. A batch that it didn't show may be appended again: every entry
// counts once however often it stands in the log.
func (s *sender) handleEndRead(asked time.Time) {
	if s.pending == nil {
		return
	}
	since := s.pending.stateSince
	if s.pending.state == batchAppended {
		since = since.Add(s.set.AppendTimeout)
	}
	if s.pending.state != batchSent && asked.After(since) {
		s.pending.state = batchMissing
	}
}

// dropUnneededClaims drops the claims from a missing batch that no one waits for any more.
func (s *sender) dropUnneededClaims(wanted func(entity.RequestID) bool) {
	if s.pending == nil || s.pending.state != batchMissing {
		return
	}
	var kept []entry
	for _, e := range s.pending.entries {
		if e.Op == opSettle || wanted(e.Request) {
			kept = append(kept, e)
		}
	}
	s.pending.entries = kept
	if len(kept) == 0 {
		s.pending = nil
	}
}

func (s *sender) tick(now time.Time) {
	if s.pending != nil && s.pending.state == batchSent && !now.Before(s.pending.sentAt.Add(s.set.AppendTimeout)) {
		s.markUnknown(now)
	}
}
