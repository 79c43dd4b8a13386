package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// refuseClaims refuses the proposals of claims that are certainly not in the log.
// If the log counts as down, it refuses those still in the queue as well.
func (s *Shard) refuseClaims(entries []entry) {
	for i := range entries {
		if p := s.waiting[entries[i].Request]; p != nil && entries[i].Op == opClaim {
			s.finish(p)
			s.refuse(p, verdict.NotRun, verdict.ReasonLogUnavailable, s.set.RetryAfter)
		}
	}
	if s.sender.down(s.now) {
		s.refuseQueued()
	}
}

// refuseQueued refuses the proposals whose claims have not been sent yet, because
// the log is down.
func (s *Shard) refuseQueued() {
	for _, e := range s.sender.removeClaims() {
		if p := s.waiting[e.Request]; p != nil {
			s.finish(p)
			s.refuse(p, verdict.NotRun, verdict.ReasonLogUnavailable, s.set.RetryAfter)
		}
	}
}

// afterEntry decides the proposal whose claim was read from the log. A claim that
// won after its proposal had timed out is reported to its entry instance, which
// then frees the key.
func (s *Shard) afterEntry(now time.Time, e *entry) {
	if e.Op != opClaim {
		return
	}
	h := s.table.get(e.Key)
	if p := s.waiting[e.Request]; p != nil {
		s.decideReadBack(now, p, e, h)
		return
	}
	if to, ok := s.timedOut.take(e.Request); ok && h != nil && h.request == e.Request && !h.unconfirmed {
		s.win(now, e.Request, to, e.Key)
	}
}

// decideReadBack decides a proposal whose claim e was read back. The holder h of
// the key is nil if the key is free.
func (s *Shard) decideReadBack(now time.Time, p *proposal, e *entry, h *holder) {
	s.sender.cancel(p.Request)
	switch {
	case h != nil:
		s.finish(p)
		s.decide(now, p, h)
	case e.NotAfter != 0 && s.table.now.UnixMilli() >= e.NotAfter:
		s.finish(p)
		s.refuse(p, verdict.MayHaveRun, verdict.ReasonKeyExpired, 0)
	default: // the claim didn't count, as another one came after its basis, but the key is free: claim it again
		s.sender.enqueue(entry{Op: opClaim, Key: p.key, Request: p.Request})
	}
}

// decide decides a proposal according to the holder of its key.
func (s *Shard) decide(now time.Time, p *proposal, h *holder) {
	switch {
	case h.request == p.Request && h.verdict == "" && !h.unconfirmed:
		s.win(now, p.Request, p.From, p.key)
	case !h.unconfirmed && h.body != p.BodyHash:
		s.refuseWith(p, h, Decision{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyReused})
	case h.verdict == verdict.Ran:
		s.refuseWith(p, h, Decision{Verdict: verdict.Ran, Reason: h.reason, Status: int(h.status), Answer: h.answerBody(), AnswerDropped: h.dropped})
	case h.verdict == verdict.MayHaveRun:
		s.refuseWith(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: h.reason})
	case h.runOverdue(s.logNow(now)):
		s.refuseWith(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	default:
		s.refuseWith(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonKeyInProgress, RetryAfter: s.set.RetryAfter})
	}
}

// awaitsOutcome reports whether a request that won still holds its key and has no
// outcome yet.
func (s *Shard) awaitsOutcome(w *win) bool {
	h := s.table.get(w.key)
	return h != nil && h.request == w.request && h.verdict == "" && !h.unconfirmed
}

// seemsLive reports whether a holder still holds its key according to the estimate
// of the log's clock.
func (s *Shard) seemsLive(now time.Time, h *holder) bool { return h.live(s.logNow(now)) }

// logNow estimates the log's clock from the newest record and the time since it
// was read.
func (s *Shard) logNow(now time.Time) time.Time {
	return s.logTime.Add(max(0, now.Sub(s.logTimeRead)))
}

// win sends a win and schedules its repeats.
func (s *Shard) win(now time.Time, r entity.RequestID, to entity.InstanceID, key Hash) {
	s.stats.Won++
	s.wins.add(now, r, to, key, s.set.DispatchWithin)
	s.sendWin(r, to)
}

func (s *Shard) sendWin(r entity.RequestID, to entity.InstanceID) {
	s.out.Decisions = append(s.out.Decisions,
		Decision{Request: r, To: to, Won: true, DispatchWithin: s.set.DispatchWithin})
}

func (s *Shard) refuse(p *proposal, v verdict.Verdict, r verdict.Reason, retryAfter time.Duration) {
	s.refuseWith(p, nil, Decision{Verdict: v, Reason: r, RetryAfter: retryAfter})
}

// refuseWith sends the refusal d. The holder h of the key is nil if the reason for
// the refusal is not the key's holder.
func (s *Shard) refuseWith(p *proposal, h *holder, d Decision) {
	s.stats.Refused++
	d.Request, d.To = p.Request, p.From
	if h != nil && h.request != p.Request {
		d.Holder = h.request
	}
	s.out.Decisions = append(s.out.Decisions, d)
}

func (s *Shard) acknowledge(r entity.RequestID, to entity.InstanceID) {
	s.out.Acknowledgements = append(s.out.Acknowledgements, Acknowledgement{Request: r, To: to})
}

// finish marks a proposal as decided and removes it from the waiting ones.
func (s *Shard) finish(p *proposal) {
	p.done = true
	delete(s.waiting, p.Request)
}

// expire refuses proposals that have waited for DecisionTimeout. Their claims may
// be in the log or may still arrive there. The requests are nevertheless not
// dispatched: the entry instance settles a request as NotRun if it wins after it was
// refused.
func (s *Shard) expire(now time.Time) {
	for len(s.order) > 0 {
		p := s.order[0]
		if !p.done && now.Before(p.deadline) {
			return
		}
		s.order = s.order[1:]
		if p.done {
			continue
		}
		s.finish(p)
		if !s.sender.cancel(p.Request) {
			s.timedOut.add(p.Request, p.From)
		}
		s.refuse(p, verdict.NotRun, verdict.ReasonLogUnavailable, s.set.RetryAfter)
	}
}
