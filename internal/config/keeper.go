package config

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// SnapshotEvery is how many records may stand after the newest snapshot
// before a new one is due, so that a start reads a bounded number of them.
const SnapshotEvery = 2000

// SnapshotScheduler decides when a new snapshot is due. It runs at the holder of the
// housekeeping lease only. It looks for the newest snapshot from the end of
// the stream, and then reads what is appended.
type SnapshotScheduler struct {
	// Stagger, from 0 to 1, puts the due time off by up to as much again, so
	// that the holders of several zones don't all write the same snapshot.
	Stagger float64

	search tailSearch
	found  bool // the search is done
	at     platform.Offset
	seen   bool // there is a snapshot
	next   platform.Offset
	taken  time.Time
	synced bool
}

// NextRead returns what to read next in SnapshotStream.
func (k *SnapshotScheduler) NextRead() ReadRequest {
	if !k.found {
		return k.search.ask()
	}
	return ReadRequest{Stream: SnapshotStream, From: k.at, Limit: snapshotLimit}
}

// HandleRead takes the answer to Ask.
func (k *SnapshotScheduler) HandleRead(res platform.ReadResult) {
	if !k.found {
		k.handleSearch(res)
		return
	}
	for _, rec := range res.Records {
		k.at = rec.Offset + 1
		if p, err := DecodeSnapshotPart(rec.Data); err == nil {
			k.note(p, rec)
		}
	}
	k.synced = k.at >= res.Next
}

// HandleTruncated takes the answer that retention has passed what Ask named.
func (k *SnapshotScheduler) HandleTruncated(res platform.ReadResult) {
	if !k.found {
		k.handleSearch(res)
		return
	}
	k.at = res.First
}

// handleSearch goes on with the search for the newest snapshot.
func (k *SnapshotScheduler) handleSearch(res platform.ReadResult) {
	snap, done := k.search.handle(res)
	if !done {
		return
	}
	k.found, k.at = true, k.search.end
	if snap.ok {
		k.note(snap.last, snap.record)
	}
}

// note remembers the newest whole snapshot.
func (k *SnapshotScheduler) note(p SnapshotPart, rec platform.Record) {
	if p.Last && (!k.seen || p.Next >= k.next) {
		k.seen, k.next, k.taken = true, p.Next, rec.Time
	}
}

// Synced says that the Keeper has read all that the stream held.
func (k *SnapshotScheduler) Synced() bool { return k.synced }

// NeedsSnapshot says whether a snapshot of the state should be appended now.
// It is due well before retention passes the newest one, and after
// SnapshotEvery records. retention is how long the log keeps records.
func (k *SnapshotScheduler) NeedsSnapshot(now time.Time, retention time.Duration, s State) bool {
	switch {
	case !k.synced || s.Next() == 0:
		return false
	case !k.seen:
		return true
	case s.Next() < k.next:
		return false // the holder itself is behind
	default:
		byAge := time.Duration(float64(retention/2) * (1 + k.Stagger/2))
		byCount := SnapshotEvery * (1 + k.Stagger)
		return now.Sub(k.taken) >= byAge || float64(s.Next()-k.next) >= byCount
	}
}
