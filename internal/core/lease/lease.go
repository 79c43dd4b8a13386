package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// AppendID is the sequence number of an append of one Lease.
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

// Lease is the state of a named lease at one instance, which may be a candidate, the
// holder or only a reader. It is not safe for concurrent use.
type Lease struct {
	set    Settings
	now    time.Time // time of the last step
	view   view
	reader stream.Reader

	candidate bool
	rank      int

	heldUntil        time.Time
	earlierOrdersEnd time.Time // time by which the orders of earlier holders have ended

	seq           AppendID
	sent          []sentRecord // own records that have not been read back
	inFlight      *sentRecord
	nextAppendAt  time.Time // end of the pause after a failed append
	lastRenewalAt time.Time // when the last renewal was sent
}

// sentRecord is an own record that was sent and has not been read back.
type sentRecord struct {
	id     AppendID
	op     opCode
	sentAt time.Time // time before it was sent
}

// maxSent is the maximum number of own records that are tracked until they are read
// back. Older ones don't extend the lease when they are read back.
const maxSent = 16

// New returns a lease that has not read any records yet and is not a candidate. It
// fails if the settings are inconsistent.
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

// Campaign makes the instance a candidate. Rank 0 tries to acquire a free lease at
// once; each higher rank waits Stagger longer.
func (l *Lease) Campaign(now time.Time, rank int) {
	l.now = now
	l.candidate, l.rank = true, max(0, rank)
}

// Resign ends the candidacy and gives up a lease that is held: MaySendOrder returns false
// from now on, and a release is appended so that the next candidate need not wait
// for the lease to expire.
func (l *Lease) Resign(now time.Time) {
	l.now = now
	l.candidate = false
	l.heldUntil = time.Time{}
}

// Resigned reports whether the resignation is complete: the instance is not a
// candidate, the records read show that it does not hold the lease, no append is in
// flight, and no recently sent record still has to be read back.
func (l *Lease) Resigned() bool {
	return !l.candidate && !l.isHolder() && l.inFlight == nil && !l.awaitsReadBack()
}

// StillHeld returns the fencing number, and whether this instance holds the lease
// at the time now.
func (l *Lease) StillHeld(now time.Time) (platform.Offset, bool) {
	return l.view.fence, l.candidate && l.isHolder() && now.Before(l.heldUntil)
}

// MaySendOrder returns the fencing number, and whether an order may be sent now. A new
// holder must not send orders to an endpoint that doesn't check fencing numbers until
// the orders of earlier holders have ended.
func (l *Lease) MaySendOrder(now time.Time, checksFencing bool) (platform.Offset, bool) {
	fence, held := l.StillHeld(now)
	return fence, held && (checksFencing || !now.Before(l.earlierOrdersEnd))
}

// Holder returns the holder of the lease according to the records read so far, or "",
// and its fencing number. It may be out of date.
func (l *Lease) Holder() (entity.InstanceID, platform.Offset) { return l.view.holder, l.view.fence }

// isHolder reports whether this instance is the holder according to the records. A
// holder that retention has overtaken no longer counts as the holder, since it can't
// know which records it has missed.
func (l *Lease) isHolder() bool { return l.view.acquired && l.view.holder == l.set.Instance }

// HandleAppendResult processes the result of an append. Whether the record is valid is
// known only once it is read back.
func (l *Lease) HandleAppendResult(now time.Time, id AppendID, st stream.AppendStatus) {
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

// ApplyRecords processes the records of a read. First and next are the offsets of the
// oldest record and of the end of the stream, as in the result of platform.Log.Read.
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

// removeSent removes an own record from those that have not been read back, and
// returns it.
func (l *Lease) removeSent(id AppendID) (sentRecord, bool) {
	for i, s := range l.sent {
		if s.id == id {
			l.sent = append(l.sent[:i], l.sent[i+1:]...)
			return s, true
		}
	}
	return sentRecord{}, false
}

// ReadFailed processes a read that failed.
func (l *Lease) ReadFailed(now time.Time, err error) {
	l.now = now
	l.reader.ReadFailed(now, err)
}

// Tick advances time to now: it times out the read and the append in flight.
func (l *Lease) Tick(now time.Time) {
	l.now = now
	if l.reader.Overdue(now) {
		l.reader.ReadFailed(now, platform.ErrUnavailable)
	}
	if l.inFlight != nil && !now.Before(l.inFlight.sentAt.Add(l.set.AppendTimeout)) {
		l.HandleAppendResult(now, l.inFlight.id, stream.AppendUnknown)
	}
}

// Ready returns what the driver has to do. Each item is returned once.
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

// due returns the record to append now, and whether there is one.
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

// mayAcquire reports whether the lease is free and this instance's rank allows it to
// acquire it now. The lease is free if the log has no record of it, if it was
// released, or if no record of it has been read for the full term, lengthened by
// Settings.lengthen.
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

// isPending reports whether a record of the kind was sent recently and has not been
// read back.
func (l *Lease) isPending(op opCode) bool {
	for _, s := range l.sent {
		if s.op == op && l.isRecent(s) {
			return true
		}
	}
	return false
}

// awaitsReadBack reports whether the last record was sent recently and has not been
// read back.
func (l *Lease) awaitsReadBack() bool { return len(l.sent) > 0 && l.isRecent(l.sent[len(l.sent)-1]) }

// isRecent reports whether a record was sent less than AppendTimeout ago.
func (l *Lease) isRecent(s sentRecord) bool { return l.now.Before(s.sentAt.Add(l.set.AppendTimeout)) }

// send records that r is sent now, and returns it as an append.
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
