package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
)

// sender batches entries into appends. Only one batch is pending at a time.
type sender struct {
	set          Settings
	num          ShardNumber
	queue        []entry
	pending      *pendingBatch
	seq          uint64
	nextAppendAt time.Time // end of the pause after a failed append
	failures     int       // consecutive appends that failed or got no answer
	outcomes     int       // outcomes in the queue

	// Counts of what was handed out for appending, repeats included.
	batches, claims, settles uint64
}

// pendingBatch is a batch that was handed out for appending and has not been read
// back yet.
type pendingBatch struct {
	id          BatchID
	entries     []entry
	sentAt      time.Time
	state       batchState
	stateSince  time.Time // when state was entered
	everUnknown bool      // an append got no answer: a copy may be in the log, or may still arrive there
}

// batchState is what is known of the last append of a pending batch.
type batchState int

const (
	batchSent batchState = iota
	batchAppended
	batchUnknown
	batchMissing // not found by a read that was requested later; to be appended again
)

func (s *sender) idle() bool { return len(s.queue) == 0 && s.pending == nil }

// down reports whether the log counts as down for appends: at least
// stream.DownAfter consecutive ones failed, and either the next one isn't due yet
// or the last one's result is unknown.
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

// cancel removes the claim of a request from the queue. It reports whether the
// claim was there; if not, it may have been sent already.
func (s *sender) cancel(r entity.RequestID) bool {
	for i := range s.queue {
		if s.queue[i].Op == opClaim && s.queue[i].Request == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// removeClaims removes all claims from the queue and returns them.
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

// next returns the next batch to append, if there is one and the budget allows
// it. Prepare completes a claim right before it is sent; if it returns false, the
// claim is dropped.
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

// prepareEntries prepares as many entries at the head of the queue as fit into a
// batch, and reports whether there are any.
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

// startBatch moves entries from the head of the queue into a new pending batch.
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

// appended records that the batch was appended.
func (s *sender) appended(now time.Time, id BatchID) {
	s.failures = 0
	if s.isPending(id) {
		s.pending.state, s.pending.stateSince = batchAppended, now
	}
}

// unknown records that the append's result is unknown. The batch stays pending
// until a later read shows whether it is in the log.
func (s *sender) unknown(now time.Time, id BatchID) {
	if s.isPending(id) && s.pending.state == batchSent {
		s.markUnknown(now)
	}
}

func (s *sender) markUnknown(now time.Time) {
	s.pending.state, s.pending.stateSince, s.pending.everUnknown = batchUnknown, now, true
	s.backOff(now)
}

// backOff counts a failed append and starts the pause after it.
func (s *sender) backOff(now time.Time) {
	s.failures++
	s.nextAppendAt = now.Add(s.set.AppendBackoff)
}

// failed processes an append that certainly did not reach the log. The batch is
// dropped: its outcomes are queued again, and so are its claims, unless
// stream.DownAfter consecutive appends have failed, in which case the claims are
// returned. If an earlier append of the same batch got no answer, that copy may
// be in the log, so the batch stays pending and is looked for by reading.
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
	var requeued, refused []entry
	for _, e := range entries {
		switch {
		case e.Op == opSettle:
			s.outcomes++
			requeued = append(requeued, e)
		case s.failures < stream.DownAfter:
			requeued = append(requeued, e)
		default:
			refused = append(refused, e)
		}
	}
	s.queue = append(requeued, s.queue...)
	return refused
}

// readBack processes a record with this batch id that was read from the log. If
// it is the pending batch, readBack ends it and returns its entries.
func (s *sender) readBack(now time.Time, id BatchID) []entry {
	if !s.isPending(id) {
		return nil
	}
	entries := s.pending.entries
	s.pending = nil
	s.failures, s.nextAppendAt = 0, now
	return entries
}

// handleEndRead processes a read that reached the end of the stream and was
// requested at requestedAt. If the read was requested after the append's result
// became unknown, or more than AppendTimeout after the append succeeded, and did not
// return the pending batch, the batch is marked missing and is appended again. That
// is safe: an entry counts once, however often it is in the log.
func (s *sender) handleEndRead(requestedAt time.Time) {
	if s.pending == nil {
		return
	}
	since := s.pending.stateSince
	if s.pending.state == batchAppended {
		since = since.Add(s.set.AppendTimeout)
	}
	if s.pending.state != batchSent && requestedAt.After(since) {
		s.pending.state = batchMissing
	}
}

// dropUnneededClaims removes from a missing batch the claims of requests that are
// not waiting any more.
func (s *sender) dropUnneededClaims(waiting func(entity.RequestID) bool) {
	if s.pending == nil || s.pending.state != batchMissing {
		return
	}
	var kept []entry
	for _, e := range s.pending.entries {
		if e.Op == opSettle || waiting(e.Request) {
			kept = append(kept, e)
		}
	}
	s.pending.entries = kept
	if len(kept) == 0 {
		s.pending = nil
	}
}

// tick marks the pending batch as unknown once its append has timed out.
func (s *sender) tick(now time.Time) {
	if s.pending != nil && s.pending.state == batchSent && !now.Before(s.pending.sentAt.Add(s.set.AppendTimeout)) {
		s.markUnknown(now)
	}
}
