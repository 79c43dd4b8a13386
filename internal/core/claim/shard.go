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

// Shard decides the proposals of one shard of the keys at one home. It is not safe
// for concurrent use.
type Shard struct {
	set    Settings
	num    ShardNumber
	now    time.Time // time of the last step
	table  *table
	reader stream.Reader
	sender sender

	waiting  map[entity.RequestID]*proposal
	order    []*proposal // proposals in order of arrival; those that are done are skipped
	wins     wins
	timedOut *requestSet // refused because of the time-out, while their claim may still reach the log
	out      Ready
	stats    Stats

	logTime     time.Time // time stamp of the newest record read
	logTimeRead time.Time // local time at which it was read
}

// Stats holds the counters of a shard.
type Stats struct {
	Keys       int    // live keys
	Waiting    int    // proposals without a decision
	Appends    uint64 // batches handed out for appending, repeats included
	Claims     uint64 // claims among them, repeats included
	Outcomes   uint64 // outcomes among them, repeats included
	Won        uint64
	Refused    uint64
	BadRecords uint64 // records skipped because they could not be decoded
	Resets     uint64 // how often retention overtook the reader
}

// New returns a shard that has not read any records yet. It fails if the settings
// or the number are out of range.
func New(set Settings, num ShardNumber) (*Shard, error) {
	set, err := set.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if num < 0 || num >= ShardCount {
		return nil, trace.BadParameter("claim: shard %d of %d", num, ShardCount)
	}
	return &Shard{
		set:      set,
		num:      num,
		table:    newTable(0, set.AnswerRetention, set.MaxAnswers),
		sender:   sender{set: set, num: num},
		reader:   stream.NewReader(set.reader(num)),
		waiting:  make(map[entity.RequestID]*proposal),
		wins:     wins{max: set.MaxPending},
		timedOut: newRequestSet(set.MaxPending),
	}, nil
}

// CaughtUp reports whether the shard has read its stream from the oldest record,
// so that it may decide proposals.
func (s *Shard) CaughtUp() bool { return s.reader.CaughtUp() }

// Idle reports whether no proposal is waiting for a decision and no entry for the
// log.
func (s *Shard) Idle() bool { return len(s.waiting) == 0 && s.sender.idle() }

// Stats returns the shard's counters.
func (s *Shard) Stats() Stats {
	st := s.stats
	st.Keys = len(s.table.keys)
	st.Waiting = len(s.waiting)
	return st
}

// HandleOutcome processes the outcome of a request. An Acknowledgement follows once the
// outcome is in the log; the entry instance repeats the outcome until it gets one.
func (s *Shard) HandleOutcome(now time.Time, o Outcome) {
	s.now = now
	if ShardOf(o.Org, o.Key) != s.num {
		return
	}
	if p := s.waiting[o.Request]; p != nil && o.Verdict == verdict.NotRun {
		s.finish(p)
		if s.sender.cancel(o.Request) { // the claim was never sent
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

// HandleAppendResult processes the result of the append of a batch. The offset is not
// used.
func (s *Shard) HandleAppendResult(now time.Time, id BatchID, st AppendStatus, _ platform.Offset) {
	s.now = now
	switch st {
	case AppendDone:
		s.sender.appended(now, id)
		s.reader.ReadNow(now)
	case AppendUnknown:
		s.sender.unknown(now, id)
		s.reader.ReadNow(now)
	case AppendFailed:
		s.refuseClaims(s.sender.failed(now, id))
	}
}

// ApplyRecords processes the records of a read. First and next are the offsets of
// the oldest record and of the end of the stream, as in the result of
// platform.Log.Read.
func (s *Shard) ApplyRecords(now time.Time, records []platform.Record, first, next platform.Offset) {
	s.now = now
	if s.reader.Overtaken(first) {
		s.reset(first)
	}
	for i := range records {
		if s.reader.Accept(records[i].Offset) {
			s.applyRecord(now, &records[i])
		}
	}
	s.reader.ReadDone(now, next)
	if s.reader.AtEnd() {
		s.sender.handleEndRead(s.reader.LastRequestAt())
	}
	s.expire(now)
}

func (s *Shard) applyRecord(now time.Time, r *platform.Record) {
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

// reset starts a new table after retention has overtaken the reader. The records
// that were missed are older than any window, but nothing may be decided until
// the remaining ones have been read.
func (s *Shard) reset(first platform.Offset) {
	if s.reader.Next() > 0 {
		s.stats.Resets++
	}
	s.table = newTable(first, s.set.AnswerRetention, s.set.MaxAnswers)
	s.reader.Restart(first)
}

// ReadFailed processes a read that failed. If the log counts as down, proposals
// whose claims have not been sent are refused.
func (s *Shard) ReadFailed(now time.Time, err error) {
	s.now = now
	s.reader.ReadFailed(now, err)
	if s.reader.Down() {
		s.refuseQueued()
	}
	s.expire(now)
}

// Tick advances time to now: it times out reads, appends and proposals, and
// repeats wins. A driver calls it every few tens of milliseconds.
func (s *Shard) Tick(now time.Time) {
	s.now = now
	if s.reader.Overdue(now) {
		s.ReadFailed(now, platform.ErrUnavailable)
	}
	s.sender.tick(now)
	for _, w := range s.wins.due(now, s.awaitsOutcome) {
		s.sendWin(w.request, w.to)
	}
	s.expire(now)
}

// Ready returns what the driver has to do. Each item is returned once.
func (s *Shard) Ready() Ready {
	now := s.now
	s.sender.dropUnneededClaims(func(r entity.RequestID) bool { return s.waiting[r] != nil })
	if b, ok := s.sender.next(now, s.prepare); ok {
		s.out.Appends = append(s.out.Appends, b)
	}
	s.out.Read = s.reader.Request(now, !s.Idle())
	out := s.out
	s.out = Ready{}
	s.stats.Appends, s.stats.Claims, s.stats.Outcomes = s.sender.batches, s.sender.claims, s.sender.settles
	return out
}

// batchID returns the id of the n-th batch of shard num at instance in.
func batchID(in entity.InstanceID, num ShardNumber, n uint64) BatchID {
	return BatchID(fmt.Sprintf("%s/%d/%d", in, num, n))
}
