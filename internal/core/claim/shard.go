package claim

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Shard is one home's view of one shard of the claims.
type Shard struct {
	set    Settings
	num    ShardNumber
	now    time.Time // of the last step
	table  *table
	reader stream.Reader
	sender sender

	waiting   map[entity.RequestID]*proposal
	order     []*proposal // of waiting, by arrival; done ones are skipped
	wins      wins
	abandoned *requestSet // refused here while their claim may still land
	out       Ready
	stats     Stats

	logTime     time.Time // newest log time seen
	logTimeRead time.Time // when it was seen
}

// Stats counts what a shard did.
type Stats struct {
	Keys       int    // live keys
	Waiting    int    // proposals without a decision
	Appends    uint64 // batches handed out
	Claims     uint64 // claims among them, repeats included
	Outcomes   uint64 // outcomes among them, repeats included
	Won        uint64
	Refused    uint64
	BadRecords uint64 // records passed over
	Resets     uint64 // times that retention overtook the reader
}

// proposal is a Proposal without a decision.
type proposal struct {
	Proposal
	key      Hash
	deadline time.Time
	done     bool
}

// New returns a shard that has read nothing yet.
func New(set Settings, num ShardNumber) (*Shard, error) {
	set, err := set.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if num < 0 || num >= ShardCount {
		return nil, trace.BadParameter("claim: shard %d of %d", num, ShardCount)
	}
	return &Shard{
		set:       set,
		num:       num,
		table:     newTable(0, set.AnswerFor, set.MaxAnswers),
		sender:    sender{set: set, num: num},
		reader:    stream.NewReader(set.reader(num)),
		waiting:   make(map[entity.RequestID]*proposal),
		wins:      wins{max: set.MaxPending},
		abandoned: newRequestSet(set.MaxPending),
	}, nil
}

// CaughtUp says whether the shard has read its stream from the oldest record,
// so that it may decide.
func (s *Shard) CaughtUp() bool { return s.reader.CaughtUp() }

// Idle says whether nothing waits for a decision or for the log.
func (s *Shard) Idle() bool { return len(s.waiting) == 0 && s.sender.idle() }

// Stats returns the shard's counters.
func (s *Shard) Stats() Stats {
	st := s.stats
	st.Keys = len(s.table.keys)
	st.Waiting = len(s.waiting)
	return st
}

// Propose asks for a decision on p. The decision comes out of Ready, now or
// later. A proposal that is repeated is answered again.
func (s *Shard) Propose(now time.Time, p Proposal) {
	s.now = now
	if _, ok := s.waiting[p.Request]; ok {
		return
	}
	pr := &proposal{Proposal: p, key: hashKey(p.Org, p.Key), deadline: now.Add(s.set.Patience)}
	if s.refuseEarly(now, pr) {
		return
	}
	if h := s.table.get(pr.key); h != nil && s.stands(now, h) {
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
	if h != nil && s.stands(s.now, h) {
		s.finish(p)
		s.decide(s.now, p, h)
		return false
	}
	*e = s.claimEntry(p)
	if h != nil {
		e.NotBefore = max(e.NotBefore, h.until)
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
		Window:  millis(s.set.taken()),
		EndsIn:  millis(s.set.runEnds()),
	}
	if made, timed := KeyTime(p.Key); timed {
		e.NotBefore = made.Add(-s.set.MaxClockSkew).UnixMilli()
		e.NotAfter = s.notAfter(made).UnixMilli()
	}
	return e
}

// Settle takes in how a request ended. An Acknowledgement follows once it
// stands in the log; without one the entry instance sends it again.
func (s *Shard) Settle(now time.Time, o Outcome) {
	s.now = now
	if ShardOf(o.Org, o.Key) != s.num {
		return
	}
	if p := s.waiting[o.Request]; p != nil && o.Verdict == verdict.NotRun {
		s.finish(p)
		if s.sender.cancel(o.Request) { // the claim never left
			s.acknowledge(o.Request, o.From)
			return
		}
	}
	e := entry{
		Op:      opSettle,
		Key:     hashKey(o.Org, o.Key),
		Request: o.Request,
		Verdict: o.Verdict,
		Reason:  o.Reason,
		Status:  o.Status,
	}
	if len(o.Answer) <= MaxAnswerBytes {
		e.Answer = o.Answer
	}
	if e.check() != nil || s.sender.outcomes >= s.set.MaxPending {
		return
	}
	e.from = o.From
	s.sender.enqueue(e)
}

// AppendResult reports how the append of a batch ended. The offset counts
// only with AppendDone.
func (s *Shard) AppendResult(now time.Time, id BatchID, st AppendStatus, _ platform.Offset) {
	s.now = now
	switch st {
	case AppendDone:
		s.sender.appended(now, id)
		s.reader.Hurry(now)
	case AppendUnknown:
		s.sender.unknown(now, id)
		s.reader.Hurry(now)
	case AppendFailed:
		s.refuseClaims(s.sender.failed(now, id))
	}
}

// refuseClaims refuses the proposals whose claims certainly don't stand in
// the log.
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

// refuseQueued refuses the proposals whose claims haven't left yet, because
// the log is down.
func (s *Shard) refuseQueued() {
	for _, e := range s.sender.takeClaims() {
		if p := s.waiting[e.Request]; p != nil {
			s.finish(p)
			s.refuse(p, verdict.NotRun, verdict.ReasonLogUnavailable, s.set.RetryAfter)
		}
	}
}

// Fold takes in the records of a read. First and next are those of the read's
// result.
func (s *Shard) Fold(now time.Time, records []platform.Record, first, next platform.Offset) {
	s.now = now
	if s.reader.Overtaken(first) {
		s.reset(first)
	}
	for i := range records {
		if s.reader.Take(records[i].Offset) {
			s.foldRecord(now, &records[i])
		}
	}
	s.reader.Done(now, next)
	if s.reader.AtEnd() {
		s.sender.readTo(s.reader.Asked())
	}
	s.expire(now)
}

func (s *Shard) foldRecord(now time.Time, r *platform.Record) {
	s.table.advance(r.Time)
	s.logTime, s.logTimeRead = s.table.now, now
	rec, err := decode(r.Data)
	if err != nil {
		s.stats.BadRecords++
		return
	}
	for i := range rec.Entries {
		s.table.apply(r.Offset, &rec.Entries[i])
		s.afterEntry(now, &rec.Entries[i])
	}
	for _, e := range s.sender.readBack(now, rec.ID) {
		if e.Op == opSettle {
			s.acknowledge(e.Request, e.from)
		}
	}
}

// afterEntry decides the proposals that an entry of the log touches.
func (s *Shard) afterEntry(now time.Time, e *entry) {
	if e.Op != opClaim {
		return
	}
	h := s.table.get(e.Key)
	if p := s.waiting[e.Request]; p != nil {
		s.decideRead(now, p, e, h)
		return
	}
	if to, ok := s.abandoned.take(e.Request); ok && h != nil && h.request == e.Request && !h.unsure {
		s.win(now, e.Request, to, e.Key)
	}
}

// decideRead decides a proposal whose claim was read back.
func (s *Shard) decideRead(now time.Time, p *proposal, e *entry, h *holder) {
	s.sender.cancel(p.Request)
	switch {
	case h != nil:
		s.finish(p)
		s.decide(now, p, h)
	case e.NotAfter != 0 && s.table.now.UnixMilli() >= e.NotAfter:
		s.finish(p)
		s.refuse(p, verdict.MayHaveRun, verdict.ReasonKeyExpired, 0)
	default: // no claim of the key counted: another one stood in between
		s.sender.enqueue(entry{Op: opClaim, Key: p.key, Request: p.Request})
	}
}

// decide answers a proposal by the holder of its key.
func (s *Shard) decide(now time.Time, p *proposal, h *holder) {
	switch {
	case h.request == p.Request && h.verdict == "" && !h.unsure:
		s.win(now, p.Request, p.From, p.key)
	case !h.unsure && h.body != p.BodyHash:
		s.refuseFor(p, h, Decision{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyReused})
	case h.verdict == verdict.Ran:
		s.refuseFor(p, h, Decision{Verdict: verdict.Ran, Reason: h.reason, Status: int(h.status), Answer: h.answerBody(), AnswerDropped: h.dropped})
	case h.verdict == verdict.MayHaveRun:
		s.refuseFor(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: h.reason})
	case h.overdue(s.logNow(now)):
		s.refuseFor(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	default:
		s.refuseFor(p, h, Decision{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonKeyInProgress, RetryAfter: s.set.RetryAfter})
	}
}

// open says whether a request still holds its key without an outcome.
func (s *Shard) open(w *win) bool {
	h := s.table.get(w.key)
	return h != nil && h.request == w.request && h.verdict == "" && !h.unsure
}

// stands says whether a holder seems to stand still, by an estimate of the
// log's clock.
func (s *Shard) stands(now time.Time, h *holder) bool { return h.live(s.logNow(now)) }

// logNow estimates the log's clock from the newest record.
func (s *Shard) logNow(now time.Time) time.Time {
	return s.logTime.Add(max(0, now.Sub(s.logTimeRead)))
}

func (s *Shard) win(now time.Time, r entity.RequestID, to entity.InstanceID, key Hash) {
	s.stats.Won++
	s.wins.add(now, r, to, key, s.set.DispatchWithin)
	s.tellWin(r, to)
}

func (s *Shard) tellWin(r entity.RequestID, to entity.InstanceID) {
	s.out.Decisions = append(s.out.Decisions,
		Decision{Request: r, To: to, Won: true, DispatchWithin: s.set.DispatchWithin})
}

func (s *Shard) refuse(p *proposal, v verdict.Verdict, r verdict.Reason, retryAfter time.Duration) {
	s.refuseFor(p, nil, Decision{Verdict: v, Reason: r, RetryAfter: retryAfter})
}

func (s *Shard) refuseFor(p *proposal, h *holder, d Decision) {
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

// finish takes a proposal off the waiting list.
func (s *Shard) finish(p *proposal) {
	p.done = true
	delete(s.waiting, p.Request)
}

// reset forgets a table that retention has overtaken. What it held is older
// than any window, but nothing may be decided until the rest was read.
func (s *Shard) reset(first platform.Offset) {
	if s.reader.Next() > 0 {
		s.stats.Resets++
	}
	s.table = newTable(first, s.set.AnswerFor, s.set.MaxAnswers)
	s.reader.Restart(first)
}

// ReadFailed reports a read that brought nothing.
func (s *Shard) ReadFailed(now time.Time, err error) {
	s.now = now
	s.reader.Failed(now, err)
	if s.reader.Down() {
		s.refuseQueued()
	}
	s.expire(now)
}

// Tick lets time pass. A driver calls it every few tens of milliseconds.
func (s *Shard) Tick(now time.Time) {
	s.now = now
	if s.reader.Overdue(now) {
		s.ReadFailed(now, platform.ErrUnavailable)
	}
	s.sender.tick(now)
	for _, w := range s.wins.due(now, s.open) {
		s.tellWin(w.request, w.to)
	}
	s.expire(now)
}

// expire refuses proposals that waited too long. Their claims may stand in
// the log or come to stand there; the request won't be dispatched, since the
// entry instance settles a request as NotRun that wins after its refusal.
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
			s.abandoned.add(p.Request, p.From)
		}
		s.refuse(p, verdict.NotRun, verdict.ReasonLogUnavailable, s.set.RetryAfter)
	}
}

// Ready hands out what is to be done. Each item comes out once.
func (s *Shard) Ready() Ready {
	now := s.now
	s.sender.prune(func(r entity.RequestID) bool { return s.waiting[r] != nil })
	if b, ok := s.sender.next(now, s.prepare); ok {
		s.out.Appends = append(s.out.Appends, b)
	}
	s.out.Read = s.reader.Request(now, !s.Idle())
	out := s.out
	s.out = Ready{}
	s.stats.Appends, s.stats.Claims, s.stats.Outcomes = s.sender.batches, s.sender.claims, s.sender.settles
	return out
}

// batchID names the n-th batch of a home's shard.
func batchID(in entity.InstanceID, num ShardNumber, n uint64) BatchID {
	return BatchID(fmt.Sprintf("%s/%d/%d", in, num, n))
}
