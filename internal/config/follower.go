package config

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Maximum numbers of records in one read of a Follower or SnapshotScheduler.
const (
	followLimit   = 500
	snapshotLimit = 100
)

// ReadRequest describes the next read of the log.
type ReadRequest struct {
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	// MayWait is set if the read may wait for new records.
	MayWait bool
}

// phase is the phase of a Follower.
type phase int

const (
	// phaseSearch searches for the newest complete snapshot.
	phaseSearch phase = iota
	// phaseAssemble reads that snapshot.
	phaseAssemble
	// phaseFollow reads changes.
	phaseFollow
)

// Follower keeps a State up to date with the log. It does no I/O of its own:
// NextRead returns the next read to make, HandleRead and HandleTruncated process
// its result. It begins with the newest snapshot, continues with the changes
// after it, and searches for a snapshot again when the log has dropped the next
// change because of its retention. Its state never goes back to an earlier
// revision. It is not safe for concurrent use.
type Follower struct {
	state  State
	phase  phase
	search tailSearch
	// id identifies the snapshot that is being read; at is the offset to read next.
	id       string
	at       platform.Offset
	assembly Assembly
	// caughtUp is set once the state has been the newest, and never cleared.
	caughtUp bool
	// confirmations counts the reads that found the state to be the newest.
	confirmations int
	confirmedAt   time.Time
	// changesLost is set while changes are missing that no snapshot holds.
	changesLost bool
}

// NewFollower returns a follower with an empty state.
func NewFollower() *Follower { return &Follower{} }

// State returns the current state.
func (f *Follower) State() State { return f.state }

// CaughtUp reports whether the state has ever been the newest.
func (f *Follower) CaughtUp() bool { return f.caughtUp }

// ConfirmedAt returns the last time at which a read confirmed that the state
// was the newest, or the zero time.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// ChangesLost reports whether the log has dropped changes that no snapshot
// holds. The follower can then proceed only with a new snapshot or a peer's state.
func (f *Follower) ChangesLost() bool { return f.changesLost }

// NextRead returns the next read to make.
func (f *Follower) NextRead() ReadRequest {
	switch f.phase {
	case phaseSearch:
		return f.search.nextRead()
	case phaseAssemble:
		return ReadRequest{Stream: SnapshotStream, From: f.at, Limit: snapshotLimit}
	default:
		return ReadRequest{Stream: Stream, From: f.state.Next(), Limit: followLimit, MayWait: f.caughtUp}
	}
}

// HandleRead processes the result of the read that NextRead returned; now is the
// time at which the read was sent. It returns the outcomes of the records that
// were applied.
func (f *Follower) HandleRead(now time.Time, res platform.ReadResult) []Outcome {
	switch f.phase {
	case phaseSearch:
		f.handleSearch(f.search.handleRead(res))
	case phaseAssemble:
		f.handleAssemble(res)
	default:
		return f.applyRecords(now, res)
	}
	return nil
}

// HandleTruncated processes a read that failed with platform.ErrTruncated: the
// log no longer holds the offset that NextRead returned.
func (f *Follower) HandleTruncated(res platform.ReadResult) {
	switch f.phase {
	case phaseSearch:
		f.handleSearch(f.search.handleRead(res))
	case phaseFollow:
		f.changesLost = true
		f.restartSearch()
	default:
		f.restartSearch()
	}
}

// restartSearch restarts the search for a snapshot.
func (f *Follower) restartSearch() {
	f.search = tailSearch{}
	f.phase = phaseSearch
}

// Restore replaces the state by s, from a snapshot or a peer, if s is newer.
func (f *Follower) Restore(s State) {
	if s.Next() > f.state.Next() {
		f.state = s
		f.changesLost = false
		f.phase = phaseFollow
	}
}

// CatchUpWithPeers marks the follower as caught up if its state has the newest
// revision known to any reachable peer. It is used at a start during an outage
// of the log.
func (f *Follower) CatchUpWithPeers(newest Revision) {
	if f.state.Revision() >= newest && newest > 0 {
		f.caughtUp = true
	}
}

// handleSearch processes a step of the search. When the search is done, the
// follower reads the snapshot next if that is newer than the state, and
// otherwise the changes.
func (f *Follower) handleSearch(snap foundSnapshot, done bool) {
	if !done {
		return
	}
	f.phase = phaseFollow
	if snap.ok && snap.last.Next > f.state.Next() {
		f.id, f.at, f.assembly = snap.last.ID, snap.begin, Assembly{}
		f.phase = phaseAssemble
	}
}

// handleAssemble adds parts to the snapshot. It skips records of other
// snapshots, which may be interleaved.
func (f *Follower) handleAssemble(res platform.ReadResult) {
	if len(res.Records) == 0 {
		f.restartSearch()
		return
	}
	for _, rec := range res.Records {
		f.at = rec.Offset + 1
		p, err := DecodeSnapshotPart(rec.Data)
		if err != nil || p.ID != f.id {
			continue
		}
		s, done, err := f.assembly.Add(p)
		if err != nil {
			f.phase = phaseFollow // unreadable snapshot: continue with the current state
			return
		}
		if done {
			f.phase = phaseFollow
			f.Restore(s)
			return
		}
	}
}

// applyRecords applies changes to the state.
func (f *Follower) applyRecords(now time.Time, res platform.ReadResult) []Outcome {
	outcomes := make([]Outcome, 0, len(res.Records))
	for _, rec := range res.Records {
		var out Outcome
		f.state, out = f.state.Apply(rec)
		if out.Result != ResultStale && out.Result != ResultGap {
			outcomes = append(outcomes, out)
		}
	}
	f.changesLost = false
	if f.state.Next() >= res.Next {
		f.caughtUp = true
		f.confirmations++
		f.confirmedAt = now
	}
	return outcomes
}
