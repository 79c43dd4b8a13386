package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// BytesPerKey is an upper estimate of the memory of one live key without its
// answer, for sizing MaxKeys.
const BytesPerKey = 270

// holder is what the table knows of a key that is taken. There is one for each
// live key, so it is kept small; times are Unix milliseconds of the log's clock.
type holder struct {
	request entity.RequestID // empty once the key was freed
	body    Hash
	seq     uint64          // numbers the claims that took a key
	lastClaim    platform.Offset // of the last claim in time, whether it counted or not
	lastClaimAt  int64           // log time of that
	expiresAt   int64           // when the key is free again
	runEndsAt  int64           // when the run must be over
	verdict verdict.Verdict
	reason  verdict.Reason
	answer  *answer
	status  int16
	dropped bool // the answer was dropped to save memory
	// unconfirmed says that the claim's basis lies before the start of the table, so
	// that it may not have counted. The key is taken all the same.
	unconfirmed bool
}

// answer is the body of an outcome.
type answer struct {
	body    []byte
	settled time.Time
}

// table is the state of a shard's stream up to an offset.
//
// A claim counts if no other claim of its key stands between its basis and
// itself, claimLimbo or longer ago left out. That depends on nothing before the
// basis, so all readers that have read from there on agree, wherever they
// started. A claim that counts takes the key from whoever held it, since its
// sender had found the key free.
type table struct {
	start      platform.Offset // the first record that was read
	answerFor  time.Duration
	maxAnswers int
	keys       map[Hash]*holder
	claims     fifo // live keys in log order, for expiry
	freed      fifo // freed keys in the order of freeing
	answers    fifo // keys with an answer in order of settling
	now        time.Time
	seq        uint64
}

func newTable(start platform.Offset, answerFor time.Duration, maxAnswers int) *table {
	return &table{start: start, answerFor: answerFor, maxAnswers: maxAnswers, keys: make(map[Hash]*holder)}
}

// advance moves the log's time, which never goes back.
func (t *table) advance(logTime time.Time) {
	if logTime.After(t.now) {
		t.now = logTime
	}
	t.claims.popWhile(t.expire)
	t.freed.popWhile(t.expire)
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
	if h.live(t.now) || h.mayConflict(t.now) {
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
	if h == nil || h.request == "" || !h.live(t.now) {
		return nil
	}
	return h
}

// apply folds one entry of the record at an offset, with the log time now.
func (t *table) apply(o platform.Offset, e *entry) {
	if e.Op == opClaim {
		t.claim(o, e)
		return
	}
	t.settle(e)
}

func (t *table) claim(o platform.Offset, e *entry) {
	if !e.countsAt(t.now) {
		return
	}
	h := t.keys[e.Key]
	clear := h == nil || h.lastClaim < e.Basis || !h.mayConflict(t.now)
	if h != nil {
		h.lastClaim, h.lastClaimAt = o, t.now.UnixMilli()
	}
	switch {
	case e.Basis >= t.start && clear:
		t.setHolder(o, e, false)
	case e.Basis < t.start && (t.get(e.Key) == nil || h.unconfirmed):
		t.setHolder(o, e, true)
	}
}

// setHolder makes a request the holder of its key.
func (t *table) setHolder(o platform.Offset, e *entry, unsure bool) {
	t.seq++
	t.keys[e.Key] = &holder{
		request: e.Request,
		body:    e.Body,
		seq:     t.seq,
		lastClaim:    o,
		lastClaimAt:  t.now.UnixMilli(),
		expiresAt:   t.now.Add(duration(e.Window)).UnixMilli(),
		runEndsAt:  t.now.Add(duration(e.EndsIn)).UnixMilli(),
		unconfirmed:  unsure,
	}
	t.claims.push(ref{e.Key, t.seq})
	t.claims.compact(len(t.keys), t.stale)
}

// settle takes an outcome in. NotRun frees the key; Ran is final; MayHaveRun
// holds until something better is known.
func (t *table) settle(e *entry) {
	h := t.get(e.Key)
	if h == nil || h.verdict == verdict.Ran {
		return
	}
	if h.unconfirmed {
		t.settleUnconfirmed(h, e)
		return
	}
	if h.request != e.Request {
		return
	}
	if e.Verdict == verdict.NotRun {
		t.free(e.Key, h)
		return
	}
	t.finish(h, e)
}

// settleUnconfirmed takes in an outcome of a key whose holder is not known for
// sure. Only the true holder runs, so a run tells who it was; no outcome frees
// the key.
func (t *table) settleUnconfirmed(h *holder, e *entry) {
	if e.Verdict == verdict.NotRun {
		return
	}
	if h.request != e.Request {
		h.request, h.body = e.Request, Hash{}
	}
	t.finish(h, e)
}

func (t *table) finish(h *holder, e *entry) {
	h.verdict, h.reason, h.status = e.Verdict, e.Reason, int16(e.Status)
	if len(e.Answer) > 0 {
		h.answer = &answer{body: e.Answer, settled: t.now}
		t.answers.push(ref{e.Key, h.seq})
		t.answers.compact(len(t.keys), t.stale)
		t.answers.popWhile(t.dropAnswer)
	}
}

// free makes a key free. Its row stays while its last claim disputes others.
func (t *table) free(key Hash, h *holder) {
	t.seq++
	h.request, h.verdict, h.answer, h.seq = "", "", nil, t.seq
	h.expiresAt = 0
	t.freed.push(ref{key, h.seq})
	t.freed.compact(len(t.keys), t.stale)
}

// countsAt says whether a claim stands at a log time at which it counts.
func (e *entry) countsAt(logTime time.Time) bool {
	at := logTime.UnixMilli()
	return at >= e.NotBefore && (e.NotAfter == 0 || at < e.NotAfter)
}

func (h *holder) live(logTime time.Time) bool { return logTime.UnixMilli() < h.expiresAt }

// mayConflict says whether the last claim still stands against claims that were
// sent before it.
func (h *holder) mayConflict(logTime time.Time) bool {
	return logTime.UnixMilli() < h.lastClaimAt+maxClaimDelay.Milliseconds()
}

// runOverdue says whether the run must be over by now.
func (h *holder) runOverdue(logTime time.Time) bool { return logTime.UnixMilli() > h.runEndsAt }

// answerBody returns the answer that is kept, if any.
func (h *holder) answerBody() []byte {
	if h.answer == nil {
		return nil
	}
	return h.answer.body
}
