package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// BytesPerKey is an upper estimate of the memory of one live key without its
// answer, for sizing MaxKeys.
const BytesPerKey = 270

// holder is what the table knows of a key that is taken. There is one for each
// live key, so it is kept small; times are Unix milliseconds of the log's clock.
type holder struct {
	request entity.RequestID
	body    Hash
	seq     uint64 // numbers the claims that took a key
	until   int64  // when the key is free again
	endsAt  int64  // when the run must be over
	verdict verdict.Verdict
	reason  verdict.Reason
	answer  *answer
	status  int16
	dropped bool // the answer was dropped to save memory
}

// answer is the body of an outcome.
type answer struct {
	body    []byte
	settled time.Time
}

// table is the state of a shard's stream up to an offset. It is a pure
// function of the records: every reader of the stream has the same.
type table struct {
	answerFor  time.Duration
	maxAnswers int
	keys       map[Hash]*holder
	claims     fifo // live keys in log order, for expiry
	answers    fifo // keys with an answer in order of settling
	now        time.Time
	seq        uint64
}

func newTable(answerFor time.Duration, maxAnswers int) *table {
	return &table{answerFor: answerFor, maxAnswers: maxAnswers, keys: make(map[Hash]*holder)}
}

// advance moves the log's time, which never goes back.
func (t *table) advance(logTime time.Time) {
	if logTime.After(t.now) {
		t.now = logTime
	}
	t.claims.popWhile(t.expire)
	t.answers.popWhile(t.dropAnswer)
}

// resolve returns what a ref points to, or nil if the key was freed since.
func (t *table) resolve(r ref) *holder {
	h := t.keys[r.key]
	if h == nil || h.seq != r.seq {
		return nil
	}
	return h
}

func (t *table) stale(r ref) bool { return t.resolve(r) == nil }

func (t *table) expire(r ref) bool {
	h := t.resolve(r)
	if h == nil {
		return true
	}
	if h.live(t.now) {
		return false
	}
	delete(t.keys, r.key)
	return true
}

func (t *table) dropAnswer(r ref) bool {
	h := t.resolve(r)
	if h == nil {
		return true
	}
	if h.answer == nil {
		return true
	}
	if t.answers.len() <= t.maxAnswers && t.now.Before(h.answer.settled.Add(t.answerFor)) {
		return false
	}
	h.answer = nil
	h.dropped = true
	return true
}

// get returns the live holder of a key, or nil.
func (t *table) get(key Hash) *holder {
	h := t.keys[key]
	if h == nil || !h.live(t.now) {
		return nil
	}
	return h
}

// apply folds one entry of a record with the log time now.
func (t *table) apply(e *entry) {
	if e.Op == opClaim {
		t.claim(e)
		return
	}
	t.settle(e)
}

func (t *table) claim(e *entry) {
	if t.get(e.Key) != nil || !e.counts(t.now) {
		return
	}
	t.seq++
	h := &holder{
		seq:     t.seq,
		request: e.Request,
		body:    e.Body,
		until:   t.now.Add(duration(e.Window)).UnixMilli(),
		endsAt:  t.now.Add(duration(e.EndsIn)).UnixMilli(),
	}
	t.keys[e.Key] = h
	t.claims.push(ref{e.Key, t.seq})
	t.claims.compact(len(t.keys), t.stale)
}

// settle takes an outcome in. NotRun frees the key; Ran is final; MayHaveRun
// holds until something better is known.
func (t *table) settle(e *entry) {
	h := t.get(e.Key)
	if h == nil || h.request != e.Request || h.verdict == verdict.Ran {
		return
	}
	if e.Verdict == verdict.NotRun {
		delete(t.keys, e.Key)
		return
	}
	h.verdict, h.reason, h.status = e.Verdict, e.Reason, int16(e.Status)
	if len(e.Answer) > 0 {
		h.answer = &answer{body: e.Answer, settled: t.now}
		t.answers.push(ref{e.Key, h.seq})
		t.answers.compact(len(t.keys), t.stale)
		t.answers.popWhile(t.dropAnswer)
	}
}

// counts says whether a claim of a timed key stands at a time that counts.
func (e *entry) counts(logTime time.Time) bool {
	at := logTime.UnixMilli()
	return at >= e.NotBefore && (e.NotAfter == 0 || at < e.NotAfter)
}

func (h *holder) live(logTime time.Time) bool { return logTime.UnixMilli() < h.until }

// overdue says whether the run must be over by now.
func (h *holder) overdue(logTime time.Time) bool { return logTime.UnixMilli() > h.endsAt }

// answerBody returns the answer that is kept, if any.
func (h *holder) answerBody() []byte {
	if h.answer == nil {
		return nil
	}
	return h.answer.body
}
