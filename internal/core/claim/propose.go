package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// proposal is a Proposal that waits for its decision.
type proposal struct {
	Proposal
	key      Hash
	deadline time.Time
	done     bool
}

// HandleProposal processes a proposal. Its decision is returned by this or a later call
// of Ready. A proposal that is repeated after its decision is decided again.
func (s *Shard) HandleProposal(now time.Time, p Proposal) {
	s.now = now
	if _, ok := s.waiting[p.Request]; ok {
		return
	}
	pr := &proposal{Proposal: p, key: hashKey(p.Org, p.Key), deadline: now.Add(s.set.DecisionTimeout)}
	if s.refuseEarly(now, pr) {
		return
	}
	if h := s.table.get(pr.key); h != nil && s.seemsLive(now, h) {
		s.decide(now, pr, h)
		return
	}
	s.timedOut.remove(p.Request)
	s.waiting[p.Request] = pr
	s.order = append(s.order, pr)
	s.sender.enqueue(entry{Op: opClaim, Key: pr.key, Request: p.Request})
}

// refuseEarly refuses a proposal that is invalid or can't be decided now, and
// reports whether it did.
func (s *Shard) refuseEarly(now time.Time, p *proposal) bool {
	reason, retryAfter := s.check(now, p)
	if reason == verdict.ReasonNone {
		return false
	}
	v := verdict.NotRun
	if reason == verdict.ReasonKeyExpired {
		v = verdict.MayHaveRun // the claim of an earlier run may have expired
	}
	s.refuse(p, v, reason, retryAfter)
	return true
}

// check returns the reason to refuse a proposal, or ReasonNone, and the time after
// which the caller may retry.
func (s *Shard) check(now time.Time, p *proposal) (verdict.Reason, time.Duration) {
	created, timed := KeyTime(p.Key)
	switch {
	case !validID(string(p.Request)) || len(p.Key) > MaxKeyBytes || ShardOf(p.Org, p.Key) != s.num:
		return verdict.ReasonBadRequest, 0
	case p.Key == "":
		return verdict.ReasonKeyRequired, 0
	case s.set.RequireTimedKeys && !timed, timed && created.After(now.Add(s.set.MaxClockSkew)):
		return verdict.ReasonBadRequest, 0
	case timed && !now.Before(s.notAfter(created)):
		return verdict.ReasonKeyExpired, 0
	case !s.reader.CaughtUp() && s.reader.Down():
		return verdict.ReasonLogUnavailable, s.set.RetryAfter
	case !s.reader.CaughtUp():
		return verdict.ReasonNotReady, s.set.RetryAfter
	case s.reader.Down() || s.sender.down(now):
		return verdict.ReasonLogUnavailable, s.set.RetryAfter
	case len(s.waiting) >= s.set.MaxPending || len(s.table.keys) >= s.set.MaxKeys:
		return verdict.ReasonOverload, s.set.RetryAfter
	}
	return verdict.ReasonNone, 0
}

// notAfter returns the log time from which on claims of a timed key don't count.
func (s *Shard) notAfter(created time.Time) time.Time {
	return created.Add(s.set.Window - s.set.MaxClockSkew)
}

// prepare completes a claim right before it is sent, and reports whether it is to
// be sent: the request must still be waiting and the key be free as far as the
// stream was read. If there is a holder that seems to have expired by the estimate
// of the log's clock, NotBefore leaves the decision to the log's time stamps.
func (s *Shard) prepare(e *entry) bool {
	p := s.waiting[e.Request]
	if p == nil {
		return false
	}
	h := s.table.get(e.Key)
	if h != nil && s.seemsLive(s.now, h) {
		s.finish(p)
		s.decide(s.now, p, h)
		return false
	}
	*e = s.claimEntry(p)
	if h != nil {
		e.NotBefore = max(e.NotBefore, h.expiresAt)
	}
	return true
}

func (s *Shard) claimEntry(p *proposal) entry {
	e := entry{
		Op:      opClaim,
		Key:     p.key,
		Request: p.Request,
		Basis:   s.reader.Next(),
		Body:    p.BodyHash,
		Window:  millis(s.set.keyHoldTime()),
		EndsIn:  millis(s.set.maxRunEnd()),
	}
	if created, timed := KeyTime(p.Key); timed {
		e.NotBefore = created.Add(-s.set.MaxClockSkew).UnixMilli()
		e.NotAfter = s.notAfter(created).UnixMilli()
	}
	return e
}
