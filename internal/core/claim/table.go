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

// holder is the state of a key that is held, or whose last claim may still
// conflict with others. There is one for each live key, so it is kept small;
// times are Unix milliseconds of the log's clock.
type holder struct {
	request     entity.RequestID // empty once the key was freed
	body        Hash
	seq         uint64          // sequence number of the change that made or freed this holder
	lastClaim   platform.Offset // offset of the key's last claim within its time bounds, whether it counted or not
	lastClaimAt int64           // log time of that claim
	expiresAt   int64           // log time at which the key is free again
	runEndsAt   int64           // log time by which the run must be over
	verdict     verdict.Verdict
	reason      verdict.Reason
	answer      *answer
	status      int16
	dropped     bool // the answer was dropped to save memory
	// unconfirmed means that the claim's basis lies before the start of the table,
	// so that the claim may not have counted. The key is treated as held.
	unconfirmed bool
}

// answer is the response body of an outcome.
type answer struct {
	body    []byte
	settled time.Time
}

// table is the state of a shard's stream up to an offset.
//
// A claim counts if there is no other claim of its key between its basis and
// itself, ignoring claims that are maxClaimDelay or more older than it. That
// depends on nothing before the basis, so all readers that have read the stream
// from the basis on agree, wherever they started. A claim that counts replaces
// any earlier holder of the key, since its sender had found the key free.
type table struct {
	start           platform.Offset // offset of the first record that was read
	answerRetention time.Duration
	maxAnswers      int
	keys            map[Hash]*holder
	claims          fifo // held keys in log order, for expiry
	freed           fifo // freed keys in the order in which they were freed
	answers         fifo // keys with an answer, in the order of their outcomes
	now             time.Time
	seq             uint64
}

func newTable(start platform.Offset, answerRetention time.Duration, maxAnswers int) *table {
	return &table{start: start, answerRetention: answerRetention, maxAnswers: maxAnswers, keys: make(map[Hash]*holder)}
}

// advance moves the table's time forward to the time of a record, and expires
// keys and answers. A logTime before the table's time leaves it unchanged.
func (t *table) advance(logTime time.Time) {
	if logTime.After(t.now) {
		t.now = logTime
	}
	t.claims.popWhile(t.expire)
	t.freed.popWhile(t.expire)
	t.answers.popWhile(t.dropAnswer)
}

// resolve returns the holder that a ref points to, or nil if the key has expired,
// been freed or been claimed again since.
func (t *table) resolve(r ref) *holder {
	h := t.keys[r.key]
	if h == nil || h.seq != r.seq {
		return nil
	}
	return h
}

// stale reports whether the holder that a ref points to no longer exists.
func (t *table) stale(r ref) bool { return t.resolve(r) == nil }

// expire deletes the holder that r points to once it neither holds its key nor
// may conflict with other claims. It reports whether r is done with.
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

// dropAnswer drops the answer that r points to if it is older than answerRetention or
// if there are more than maxAnswers. It reports whether r is done with.
func (t *table) dropAnswer(r ref) bool {
	h := t.resolve(r)
	if h == nil {
		return true
	}
	if h.answer == nil {
		return true
	}
	if t.answers.len() <= t.maxAnswers && t.now.Before(h.answer.settled.Add(t.answerRetention)) {
		return false
	}
	h.answer = nil
	h.dropped = true
	return true
}

// get returns the holder of a key, or nil if the key is free.
func (t *table) get(key Hash) *holder {
	h := t.keys[key]
	if h == nil || h.request == "" || !h.live(t.now) {
		return nil
	}
	return h
}

// apply processes one entry of the record at offset o, at the log time t.now.
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

// setHolder makes the request of a claim the holder of its key.
func (t *table) setHolder(o platform.Offset, e *entry, unconfirmed bool) {
	t.seq++
	t.keys[e.Key] = &holder{
		request:     e.Request,
		body:        e.Body,
		seq:         t.seq,
		lastClaim:   o,
		lastClaimAt: t.now.UnixMilli(),
		expiresAt:   t.now.Add(duration(e.Window)).UnixMilli(),
		runEndsAt:   t.now.Add(duration(e.EndsIn)).UnixMilli(),
		unconfirmed: unconfirmed,
	}
	t.claims.push(ref{e.Key, t.seq})
	t.claims.compact(len(t.keys), t.stale)
}

// settle processes an outcome. NotRun frees the key; Ran is final; MayHaveRun is
// kept until another outcome of the same request replaces it.
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

// settleUnconfirmed processes an outcome of a key with an unconfirmed holder.
// Only the true holder may run, so an outcome Ran or MayHaveRun identifies it.
// NotRun doesn't free the key, since it may not come from the true holder.
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

// free releases a key. Its entry in the table stays for as long as its last claim
// may conflict with others.
func (t *table) free(key Hash, h *holder) {
	t.seq++
	h.request, h.verdict, h.answer, h.seq = "", "", nil, t.seq
	h.expiresAt = 0
	t.freed.push(ref{key, h.seq})
	t.freed.compact(len(t.keys), t.stale)
}

// countsAt reports whether logTime is within the claim's bounds NotBefore and
// NotAfter.
func (e *entry) countsAt(logTime time.Time) bool {
	at := logTime.UnixMilli()
	return at >= e.NotBefore && (e.NotAfter == 0 || at < e.NotAfter)
}

// live reports whether the key is still held at logTime.
func (h *holder) live(logTime time.Time) bool { return logTime.UnixMilli() < h.expiresAt }

// mayConflict reports whether a claim that arrives at logTime may have been sent
// before the key's last claim was read, so that the last claim invalidates it.
// Claims that are delayed by maxClaimDelay or more are never dispatched.
func (h *holder) mayConflict(logTime time.Time) bool {
	return logTime.UnixMilli() < h.lastClaimAt+maxClaimDelay.Milliseconds()
}

// runOverdue reports whether the run must be over at logTime.
func (h *holder) runOverdue(logTime time.Time) bool { return logTime.UnixMilli() > h.runEndsAt }

// answerBody returns the answer, or nil if there is none or it was dropped.
func (h *holder) answerBody() []byte {
	if h.answer == nil {
		return nil
	}
	return h.answer.body
}
