package backlog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// MinSlow is how long an exchange has been slow before its caller can be let go to make room, so
	// that a short pause costs nobody the answer. While more is held than the limit it doesn't count.
	MinSlow = 500 * time.Millisecond
	// MinUnfinished is how long an exchange has been unfinished before its client can be let go: long enough to send an
	// ordinary request.
	MinUnfinished = 100 * time.Millisecond
	// spareDivisor sets how much is freed beyond what is needed, as a fraction of the limit: the
	// choice takes all slow exchanges into account and is not made for each few bytes. While that
	// much is held for callers that are being let go, no others are.
	spareDivisor = 16
	// SlowOverhead is what a slow caller takes in memory beside its answer and what any caller's connection and request
	// take, in bytes: goroutines, a buffer, and what the kernel holds of its answer.
	SlowOverhead = 34 << 10
	// ChoiceInterval is the least time between two choices of callers to let go: a choice takes all
	// slow exchanges into account, while all of them may ask for room.
	ChoiceInterval = 50 * time.Millisecond
)

// SmallBytes is the most that an exchange holds of an ordinary request.
const SmallBytes = 64 << 10

// Exchange is one request, or the connection on which requests come, with the bytes that are held for it.
type Exchange struct {
	org  entity.OrgID
	held int64
	// unfinishedSince is since when the client owes the rest of a request, zero if it does not.
	unfinishedSince time.Time
	// slowSince is when the caller became slow, zero if it is not.
	slowSince time.Time
	letGo     bool
	// number orders the exchanges by their opening.
	number uint64
}

// Held returns the bytes that are held for the exchange.
func (e *Exchange) Held() int64 { return e.held }

// SlowFor returns how long the caller has been slow, 0 if it is not.
func (e *Exchange) SlowFor(now time.Time) time.Duration {
	if e.slowSince.IsZero() {
		return 0
	}
	return now.Sub(e.slowSince)
}

// Table is the account of all exchanges of an instance.
type Table struct {
	limit int64
	// reserved is how much more than the limit may be held for exchanges up to SmallBytes each.
	reserved int64
	// total is the sum of what is held; leaving is the part of it that is held for callers that
	// are being let go.
	total, leaving int64
	slow           map[*Exchange]struct{}
	unfinished     map[*Exchange]struct{}
	opened         uint64
	// nextChoice is when callers may next be chosen to be let go.
	nextChoice time.Time
}

// New returns a Table that holds up to limit bytes.
func New(limit int64) *Table {
	return &Table{limit: limit, slow: make(map[*Exchange]struct{}), unfinished: make(map[*Exchange]struct{})}
}

// Open returns a new exchange of an organisation, for which nothing is held.
func (t *Table) Open(org entity.OrgID) *Exchange {
	t.opened++
	return &Exchange{org: org, number: t.opened}
}

// Reserve lets exchanges of up to SmallBytes each take n bytes more than the limit.
func (t *Table) Reserve(n int64) { t.reserved = n }

// SetOrg sets the organisation of an exchange.
func (t *Table) SetOrg(e *Exchange, org entity.OrgID) { e.org = org }

// Charge counts n more bytes for an exchange, whether or not there is room for them.
func (t *Table) Charge(e *Exchange, n int64) {
	e.held += n
	t.total += n
	if e.letGo {
		t.leaving += n
	}
}

// Grow counts n more bytes for an exchange. If there is no room for them, it returns the clients
// that must be let go for it. It returns false, and counts nothing, if that makes no room.
func (t *Table) Grow(now time.Time, e *Exchange, n int64) (letGo []*Exchange, ok bool) {
	if e.letGo {
		return nil, false
	}
	if missing := t.total - t.leaving + n - t.limitFor(e.held+n); missing > 0 {
		if letGo, ok = t.makeRoom(now, e, n, missing); !ok {
			return nil, false
		}
	}
	e.held += n
	t.total += n
	return letGo, true
}

// limitFor returns how much may be held in all for an exchange to hold a number of bytes.
func (t *Table) limitFor(held int64) int64 {
	if held <= SmallBytes {
		return t.limit + t.reserved
	}
	return t.limit
}

// makeRoom returns the clients to let go so that missing bytes become free for n more bytes of an exchange, and whether
// that makes the room.
func (t *Table) makeRoom(now time.Time, e *Exchange, n, missing int64) (letGo []*Exchange, ok bool) {
	if t.leaving >= t.limit/spareDivisor {
		return nil, false
	}
	spare := t.limit / spareDivisor
	unfinished, free := t.unfinishedCandidates(now, e, e.held+n)
	if free >= missing {
		return t.letGoLargest(unfinished, min(free, missing+spare)), true
	}
	if !t.mayChoose(now) {
		return nil, false
	}
	slow, byOrg, sum := t.candidates(now, e, MinSlow)
	if free+sum < missing {
		return nil, false
	}
	letGo = t.letGoLargest(unfinished, free)
	return append(letGo, t.choose(slow, byOrg, min(sum, missing-free+spare))...), true
}

// SetUnfinished records that the client of an exchange owes the rest of a request, or a whole one, since a time.
func (t *Table) SetUnfinished(e *Exchange, since time.Time) {
	if e.letGo {
		return
	}
	e.unfinishedSince = since
	t.unfinished[e] = struct{}{}
}

// SetWhole records that the client of an exchange has sent a whole request.
func (t *Table) SetWhole(e *Exchange) {
	e.unfinishedSince = time.Time{}
	delete(t.unfinished, e)
}

// LetGo records that the client of an exchange is being let go for another reason than room.
func (t *Table) LetGo(e *Exchange) {
	if e.letGo {
		return
	}
	e.letGo = true
	t.leaving += e.held
	delete(t.unfinished, e)
}

// unfinishedCandidates returns the unfinished exchanges that can be let go so that an exchange, if any, may hold a number
// of bytes, and the sum of what they hold. One whose own client keeps the instance waiting makes no room at the cost of
// those that hold less than it would.
func (t *Table) unfinishedCandidates(now time.Time, growing *Exchange, wanted int64) (list []*Exchange, sum int64) {
	least := int64(1)
	if growing != nil && (!growing.unfinishedSince.IsZero() || !growing.slowSince.IsZero()) {
		least = wanted
	}
	for e := range t.unfinished {
		if e != growing && e.held >= least && now.Sub(e.unfinishedSince) >= MinUnfinished {
			list = append(list, e)
			sum += e.held
		}
	}
	return list, sum
}

// letGoLargest marks unfinished exchanges to let go so that missing bytes become free, and returns them.
func (t *Table) letGoLargest(candidates []*Exchange, missing int64) []*Exchange {
	slices.SortFunc(candidates, func(a, b *Exchange) int {
		return cmp.Or(cmp.Compare(b.held, a.held), a.unfinishedSince.Compare(b.unfinishedSince), cmp.Compare(a.number, b.number))
	})
	for i, e := range candidates {
		if missing <= 0 {
			return candidates[:i]
		}
		missing -= e.held
		t.LetGo(e)
	}
	return candidates
}

// Shrink counts n bytes less for an exchange.
func (t *Table) Shrink(e *Exchange, n int64) {
	n = min(n, e.held)
	e.held -= n
	t.total -= n
	if e.letGo {
		t.leaving -= n
	}
}

// SetSlow records that the caller of an exchange has kept a write waiting since a time. What a slow
// caller takes beside its answer is counted, whether or not there is room for it.
func (t *Table) SetSlow(e *Exchange, since time.Time) {
	if e.letGo || !e.slowSince.IsZero() {
		return
	}
	e.slowSince = since
	t.slow[e] = struct{}{}
	e.held += SlowOverhead
	t.total += SlowOverhead
}

// SetReading records that the caller of an exchange has read all that was written.
func (t *Table) SetReading(e *Exchange) {
	if e.slowSince.IsZero() {
		return
	}
	e.slowSince = time.Time{}
	delete(t.slow, e)
	t.Shrink(e, SlowOverhead)
}

// Relieve returns the clients to let go because more is held than the limit.
func (t *Table) Relieve(now time.Time) []*Exchange {
	excess := t.total - t.leaving - t.limit
	if excess <= 0 || !t.mayChoose(now) {
		return nil
	}
	unfinished, free := t.unfinishedCandidates(now, nil, 0)
	spare := t.limit / spareDivisor
	letGo := t.letGoLargest(unfinished, min(free, excess+spare))
	if free >= excess {
		return letGo
	}
	candidates, byOrg, sum := t.candidates(now, nil, 0)
	return append(letGo, t.choose(candidates, byOrg, min(sum, excess-free+spare))...)
}

// OverLimit reports whether more is held than the limit.
func (t *Table) OverLimit() bool { return t.total > t.limit }

// Close ends an exchange: nothing is held for it any more.
func (t *Table) Close(e *Exchange) {
	t.Shrink(e, e.held)
	t.SetReading(e)
	t.SetWhole(e)
}

// Held returns the bytes that are held.
func (t *Table) Held() int64 { return t.total }

// Leaving returns the bytes that are held for clients that are being let go.
func (t *Table) Leaving() int64 { return t.leaving }

// Limit returns how many bytes may be held.
func (t *Table) Limit() int64 { return t.limit }

// Slow returns the number of slow exchanges.
func (t *Table) Slow() int { return len(t.slow) }

// mayChoose reports whether callers may be chosen to be let go now, and if so records a choice.
func (t *Table) mayChoose(now time.Time) bool {
	if t.leaving >= t.limit/spareDivisor || now.Before(t.nextChoice) {
		return false
	}
	t.nextChoice = now.Add(ChoiceInterval)
	return true
}

// choose marks candidates to let go so that missing bytes become free, and returns them.
func (t *Table) choose(candidates []*Exchange, byOrg map[entity.OrgID]int64, missing int64) []*Exchange {
	slices.SortFunc(candidates, func(a, b *Exchange) int {
		return cmp.Or(cmp.Compare(b.held, a.held), a.slowSince.Compare(b.slowSince), cmp.Compare(a.number, b.number))
	})
	queues := make(map[entity.OrgID][]*Exchange)
	for _, e := range candidates {
		queues[e.org] = append(queues[e.org], e)
	}
	orgs := slices.Sorted(maps.Keys(queues))
	var chosen []*Exchange
	for missing > 0 {
		org := largest(orgs, queues, byOrg)
		e := queues[org][0]
		queues[org] = queues[org][1:]
		byOrg[org] -= e.held
		missing -= e.held
		e.letGo = true
		t.leaving += e.held
		chosen = append(chosen, e)
	}
	return chosen
}

// largest returns the organisation that holds the most, among those that have candidates left.
func largest(orgs []entity.OrgID, queues map[entity.OrgID][]*Exchange, byOrg map[entity.OrgID]int64) entity.OrgID {
	best := -1
	for i, org := range orgs {
		if len(queues[org]) > 0 && (best < 0 || byOrg[org] > byOrg[orgs[best]]) {
			best = i
		}
	}
	return orgs[best]
}

// candidates returns the exchanges that can be let go to make room for another one, if any: those that
// have been slow for at least slowFor. It also returns what the slow exchanges of each organisation
// hold, and the sum of what the candidates hold. A slow caller makes no room at the cost of an
// organisation that holds less than its own.
func (t *Table) candidates(now time.Time, growing *Exchange, slowFor time.Duration) (list []*Exchange, byOrg map[entity.OrgID]int64, sum int64) {
	byOrg = make(map[entity.OrgID]int64)
	for e := range t.slow {
		if !e.letGo {
			byOrg[e.org] += e.held
		}
	}
	for e := range t.slow {
		if e == growing || e.letGo || e.held == 0 || e.SlowFor(now) < slowFor {
			continue
		}
		if growing != nil && !growing.slowSince.IsZero() && byOrg[e.org] < byOrg[growing.org] {
			continue
		}
		list = append(list, e)
		sum += e.held
	}
	return list, byOrg, sum
}

// IsLetGo reports whether the client of the exchange is being let go.
func (e *Exchange) IsLetGo() bool { return e.letGo }
