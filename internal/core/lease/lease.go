package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// AppendID numbers the appends of one Lease.
type AppendID uint64

// Append is one record to append to Settings.Stream.
type Append struct {
	ID   AppendID
	Data []byte
}

// Ready is what a driver has to do after stepping a Lease.
type Ready struct {
	Append *Append
	Read   *stream.ReadRequest
}

// Lease is one instance's part in a lease: candidate, holder or reader.
type Lease struct {
	set    Settings
	now    time.Time // of the last step
	view   view
	reader stream.Reader

	candidate bool
	rank   int

	heldUntil time.Time
	earlierOrdersEnd time.Time // orders of earlier holders are over from then on

	seq      AppendID
	sent     []sentRecord // own records that were not read back
	inFlight *sentRecord
	nextAppendAt time.Time // pause between appends
	lastRenewalAt  time.Time // when the last renewal was sent
}

// sentRecord is an own record on its way.
type sentRecord struct {
	id AppendID
	op opCode
	sentAt time.Time // before it was sent
}

// maxSent bounds the own records that are waited for; older ones don't count
// any more when they are read back.
const maxSent = 16

// New returns a lease that has read nothing yet and is not wanted.
func New(set Settings) (*Lease, error) {
	set, err := set.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Lease{set: set, reader: stream.NewReader(stream.ReaderSettings{
		Stream:   set.Stream,
		Limit:    readLimit,
		Interval: set.ReadInterval,
		Wait:     set.ReadWait,
		Backoff:  set.Backoff,
		Timeout:  set.ReadTimeout,
	})}, nil
}

// Campaign makes the instance a candidate. Rank 0 tries first; each further rank
// waits Stagger longer.
func (l *Lease) Campaign(now time.Time, rank int) {
	l.now = now
	l.candidate, l.rank = true, max(0, rank)
}

// Resign ends the candidacy and hands over a lease that is held: nothing may
// be written from now on, and a release is appended so that the next candidate
// need not wait.
func (l *Lease) Resign(now time.Time) {
	l.now = now
	l.candidate = false
	l.heldUntil = time.Time{}
}

// Resigned says whether nothing is left to be released.
func (l *Lease) Resigned() bool {
	return !l.candidate && !l.isHolder() && l.inFlight == nil && !l.awaitsReadBack()
}

// StillHeld returns the fencing number while the lease is held.
func (l *Lease) StillHeld(now time.Time) (platform.Offset, bool) {
	return l.view.fence, l.candidate && l.isHolder() && now.Before(l.heldUntil)
}

// MayWrite returns the fencing number if an order may be sent now. To an
// endpoint that doesn't check fencing numbers a new holder sends nothing until
// the orders of holders before it are over.
func (l *Lease) MayWrite(now time.Time, checksFencing bool) (platform.Offset, bool) {
	fence, held := l.StillHeld(now)
	return fence, held && (checksFencing || !now.Before(l.earlierOrdersEnd))
}

// Holder returns who holds the lease as far as the records tell, and its
// fencing number. It may be out of date.
func (l *Lease) Holder() (entity.InstanceID, platform.Offset) { return l.view.holder, l.view.fence }

// isHolder says whether the records make this instance the holder. A holder that
// retention has overtaken holds no more: it can't know what it has missed.
func (l *Lease) isHolder() bool { return l.view.acquired && l.view.holder == l.set.Instance }

// AppendResult reports how an append ended. Whether its record counts is
// decided by reading it back.
func (l *Lease) AppendResult(now time.Time, id AppendID, st stream.AppendStatus) {
	l.now = now
	if l.inFlight == nil || l.inFlight.id != id {
		return
	}
	l.inFlight = nil
	switch st {
	case stream.AppendDone:
		l.nextAppendAt = now
	case stream.AppendFailed:
		l.removeSent(id)
		l.nextAppendAt = now.Add(l.set.Backoff)
	case stream.AppendUnknown:
		l.nextAppendAt = now.Add(l.set.Backoff)
	}
	l.reader.ReadNow(now)
}

// ApplyRecords takes in the records of a read; first and next are those of its result.
func (l *Lease) ApplyRecords(now time.Time, records []platform.Record, first, next platform.Offset) {
	l.now = now
	if l.reader.Overtaken(first) {
		l.view = view{}
		l.reader.Restart(first)
	}
	for i := range records {
		if l.reader.Accept(records[i].Offset) {
			l.applyRecord(now, &records[i])
		}
	}
	l.reader.ReadDone(now, next)
}

func (l *Lease) applyRecord(now time.Time, rec *platform.Record) {
	r, err := decode(rec.Data)
	if err != nil || r.Lease != l.set.Name {
		return
	}
	valid := l.view.applyRecord(now, rec.Offset, &r)
	if r.From != l.set.Instance {
		return
	}
	sent, known := l.removeSent(AppendID(r.ID))
	if !valid || !known || r.Op == opRelease {
		return
	}
	if r.Op == opAcquire {
		l.heldUntil = time.Time{}
		l.earlierOrdersEnd = sent.sentAt.Add(l.set.lengthen(l.set.MaxOrderDuration))
		l.lastRenewalAt = sent.sentAt
	}
	if until := sent.sentAt.Add(l.set.shorten(l.set.Term)); until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// removeSent takes a record off the list of those on their way.
func (l *Lease) removeSent(id AppendID) (sentRecord, bool) {
	for i, s := range l.sent {
		if s.id == id {
			l.sent = append(l.sent[:i], l.sent[i+1:]...)
			return s, true
		}
	}
	return sentRecord{}, false
}

// ReadFailed reports a read that brought nothing.
func (l *Lease) ReadFailed(now time.Time, err error) {
	l.now = now
	l.reader.ReadFailed(now, err)
}

// Tick lets time pass.
func (l *Lease) Tick(now time.Time) {
	l.now = now
	if l.reader.Overdue(now) {
		l.reader.ReadFailed(now, platform.ErrUnavailable)
	}
	if l.inFlight != nil && !now.Before(l.inFlight.sentAt.Add(l.set.AppendTimeout)) {
		l.AppendResult(now, l.inFlight.id, stream.AppendUnknown)
	}
}

// Ready hands out what is to be done. Each item comes out once.
func (l *Lease) Ready() Ready {
	var out Ready
	if r, due := l.due(); due {
		out.Append = l.send(r)
	}
	if l.candidate || !l.Resigned() {
		out.Read = l.reader.Request(l.now, l.awaitsReadBack())
	}
	return out
}

// due returns the record that should be appended now.
func (l *Lease) due() (record, bool) {
	if l.inFlight != nil || l.now.Before(l.nextAppendAt) || !l.reader.CaughtUp() {
		return record{}, false
	}
	switch {
	case l.isHolder() && !l.candidate:
		return record{Op: opRelease, Fence: l.view.fence}, !l.isPending(opRelease)
	case l.isHolder():
		return record{Op: opRenew, Fence: l.view.fence}, !l.now.Before(l.lastRenewalAt.Add(l.set.RenewEvery))
	case l.candidate:
		return record{Op: opAcquire, Basis: l.reader.Next()}, l.mayAcquire()
	}
	return record{}, false
}

// mayAcquire says whether the lease is free: no record of it stands in the
// log, it was released, or its records have been silent for the whole term.
func (l *Lease) mayAcquire() bool {
	if !l.reader.AtEnd() || l.reader.Down() || l.isPending(opAcquire) {
		return false
	}
	if !l.view.seen {
		return true
	}
	free := l.view.readAt
	if !l.view.vacant() {
		free = free.Add(l.set.lengthen(max(l.view.term, l.set.Term)))
	}
	return !l.now.Before(free.Add(time.Duration(l.rank) * l.set.Stagger))
}

// isPending says whether a record of the kind was sent lately and not read back.
func (l *Lease) isPending(op opCode) bool {
	for _, s := range l.sent {
		if s.op == op && l.isRecent(s) {
			return true
		}
	}
	return false
}

// awaitsReadBack says whether any record was sent lately and not read back.
func (l *Lease) awaitsReadBack() bool { return len(l.sent) > 0 && l.isRecent(l.sent[len(l.sent)-1]) }

func (l *Lease) isRecent(s sentRecord) bool { return l.now.Before(s.sentAt.Add(l.set.AppendTimeout)) }

func (l *Lease) send(r record) *Append {
	l.seq++
	r.ID = uint64(l.seq)
	r.Lease, r.From = l.set.Name, l.set.Instance
	r.Term = l.set.Term.Milliseconds()
	s := sentRecord{id: l.seq, op: r.Op, sentAt: l.now}
	l.sent = append(l.sent, s)
	if len(l.sent) > maxSent {
		l.sent = l.sent[1:]
	}
	l.inFlight = &s
	if r.Op == opRenew {
		l.lastRenewalAt = l.now
	}
	return &Append{ID: s.id, Data: encode(r)}
}
