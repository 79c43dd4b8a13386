package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// proposal is a Proposal without a decision.
type proposal struct {
	Proposal
	key      Hash
	deadline time.Time
	done     bool
}

// Propose asks for a decision on p. The decision comes out of Ready, now or
// later. A proposal that is repeated is answered again.
func (s *Shard) Propose(now time.Time, p Proposal) {
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
	s.abandoned.remove(p.Request)
	s.waiting[p.Request] = pr
	s.order = append(s.order, pr)
	s.sender.enqueue(entry{Op: opClaim, Key: pr.key, Request: p.Request})
}

// refuseEarly refuses what can't be decided or must not be.
func (s *Shard) refuseEarly(now time.Time, p *proposal) bool {
	reason, retryAfter := s.check(now, p)
	if reason == verdict.ReasonNone {
		return false
	}
	v := verdict.NotRun
	if reason == verdict.ReasonKeyExpired {
		v = verdict.MayHaveRun // what the key once stood for is forgotten
	}
	s.refuse(p, v, reason, retryAfter)
	return true
}

func (s *Shard) check(now time.Time, p *proposal) (verdict.Reason, time.Duration) {
	made, timed := KeyTime(p.Key)
	switch {
	case !validID(string(p.Request)) || len(p.Key) > MaxKeyBytes || ShardOf(p.Org, p.Key) != s.num:
		return verdict.ReasonBadRequest, 0
	case p.Key == "":
		return verdict.ReasonKeyRequired, 0
	case s.set.RequireTimedKeys && !timed, timed && made.After(now.Add(s.set.MaxClockSkew)):
		return verdict.ReasonBadRequest, 0
	case timed && !now.Before(s.notAfter(made)):
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

// notAfter is the log time from which on claims of a timed key don't count.
func (s *Shard) notAfter(made time.Time) time.Time {
	return made.Add(s.set.Window - s.set.MaxClockSkew)
}

// prepare completes a claim right before it leaves. Its key must be free as far
// as the stream was read; a holder whose time seems over, by an estimate of the
// log's clock, is left to the log to judge.
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
	if made, timed := KeyTime(p.Key); timed {
		e.NotBefore = made.Add(-s.set.MaxClockSkew).UnixMilli()
		e.NotAfter = s.notAfter(made).UnixMilli()
	}
	return e
}
