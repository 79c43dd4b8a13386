package config

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// SnapshotEvery is the number of records after the newest snapshot at which a
// new one is due. It bounds the records that an instance reads at its start.
const SnapshotEvery = 2000

// SnapshotScheduler decides when a new snapshot is due. It runs only on the
// holder of the snapshot lease. It searches for the newest snapshot from
// the end of SnapshotStream and then reads new records. It is not safe for
// concurrent use.
type SnapshotScheduler struct {
	// Stagger, from 0 to 1, delays snapshots so that several instances with a
	// scheduler don't all write the same one: at 1, the number of records is
	// doubled and the age is half as long again.
	Stagger float64

	search      tailSearch
	searchDone  bool
	at          platform.Offset // offset to read next
	hasSnapshot bool            // there is a complete snapshot
	newestNext  platform.Offset // Next of the newest complete snapshot
	newestTime  time.Time       // time of its last record
	synced      bool
}

// NextRead returns the next read of SnapshotStream.
func (sch *SnapshotScheduler) NextRead() ReadRequest {
	if !sch.searchDone {
		return sch.search.nextRead()
	}
	return ReadRequest{Stream: SnapshotStream, From: sch.at, Limit: snapshotLimit}
}

// HandleRead processes the result of the read that NextRead returned.
func (sch *SnapshotScheduler) HandleRead(res platform.ReadResult) {
	if !sch.searchDone {
		sch.handleSearch(res)
		return
	}
	for _, rec := range res.Records {
		sch.at = rec.Offset + 1
		if p, err := DecodeSnapshotPart(rec.Data); err == nil {
			sch.recordPart(p, rec)
		}
	}
	sch.synced = sch.at >= res.Next
}

// HandleTruncated processes a read that failed with platform.ErrTruncated.
func (sch *SnapshotScheduler) HandleTruncated(res platform.ReadResult) {
	if !sch.searchDone {
		sch.handleSearch(res)
		return
	}
	sch.at = res.First
}

// handleSearch processes a read of the search for the newest snapshot.
func (sch *SnapshotScheduler) handleSearch(res platform.ReadResult) {
	snap, done := sch.search.handleRead(res)
	if !done {
		return
	}
	sch.searchDone, sch.at = true, sch.search.end
	if snap.ok {
		sch.recordPart(snap.last, snap.record)
	}
}

// recordPart records the snapshot as the newest complete one if p is its last part.
func (sch *SnapshotScheduler) recordPart(p SnapshotPart, rec platform.Record) {
	if p.Last && (!sch.hasSnapshot || p.Next >= sch.newestNext) {
		sch.hasSnapshot, sch.newestNext, sch.newestTime = true, p.Next, rec.Time
	}
}

// Synced reports whether the last read reached the end of SnapshotStream.
func (sch *SnapshotScheduler) Synced() bool { return sch.synced }

// NeedsSnapshot reports whether a snapshot of the state should be appended now:
// when the age of the newest one is half of retention, the time for which the
// log keeps records, so that it is replaced well before the log drops it, or
// when SnapshotEvery records follow it. Stagger delays both.
func (sch *SnapshotScheduler) NeedsSnapshot(now time.Time, retention time.Duration, s State) bool {
	switch {
	case !sch.synced || s.Next() == 0:
		return false
	case !sch.hasSnapshot:
		return true
	case s.Next() < sch.newestNext:
		return false // this instance's state is older than the snapshot
	default:
		byAge := time.Duration(float64(retention/2) * (1 + sch.Stagger/2))
		byCount := SnapshotEvery * (1 + sch.Stagger)
		return now.Sub(sch.newestTime) >= byAge || float64(s.Next()-sch.newestNext) >= byCount
	}
}
