package config

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// SnapshotEvery is how many records may stand after the newest snapshot
// before a new one is due, so that a start reads a bounded number of them.
const SnapshotEvery = 2000

// Keeper decides when a new snapshot is due. It runs at the holder of the
// housekeeping lease only, and reads just the last record of each snapshot.
type Keeper struct {
	at     platform.Offset
	seen   bool
	next   platform.Offset
	taken  time.Time
	synced bool
}

// Ask returns what to read next in SnapshotStream.
func (k *Keeper) Ask() Ask {
	return Ask{Stream: SnapshotStream, From: k.at, Limit: snapshotLimit}
}

// Handle takes the answer to Ask.
func (k *Keeper) Handle(res platform.ReadResult) {
	for _, rec := range res.Records {
		k.at = rec.Offset + 1
		p, err := DecodeSnapshotPart(rec.Data)
		if err == nil && p.Last && (!k.seen || p.Next >= k.next) {
			k.seen, k.next, k.taken = true, p.Next, rec.Time
		}
	}
	k.synced = k.at >= res.Next
}

// HandleTruncated takes the answer that retention has passed what Ask named.
func (k *Keeper) HandleTruncated(res platform.ReadResult) { k.at = res.First }

// NeedsSnapshot says whether a snapshot of the state should be appended now.
// It is due well before retention passes the newest one, and after
// SnapshotEvery records. retention is how long the log keeps records.
func (k *Keeper) NeedsSnapshot(now time.Time, retention time.Duration, s State) bool {
	switch {
	case !k.synced || s.Next() == 0:
		return false
	case !k.seen:
		return true
	case s.Next() < k.next:
		return false // the holder itself is behind
	default:
		return now.Sub(k.taken) >= retention/2 || s.Next()-k.next >= SnapshotEvery
	}
}
