package config

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Limits of a follower's reads, in records.
const (
	followLimit   = 500
	snapshotLimit = 100
)

// ReadRequest says what a Follower wants to read next.
type ReadRequest struct {
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	// MayWait says that the read should wait for records to come.
	MayWait bool
}

// phase is what a Follower is at.
type phase int

const (
	// phaseSearch looks for the newest whole snapshot.
	phaseSearch phase = iota
	// phaseAssemble reads that snapshot.
	phaseAssemble
	// phaseFollow reads changes.
	phaseFollow
)

// Follower brings a State up to date with the log and keeps it there. It is
// pure: Ask says what to read, Handle and HandleTruncated take the answer.
// It begins with the newest snapshot, goes on with the changes after it, and
// returns to the snapshots when retention has passed what it would read next.
// Its state never goes backwards.
type Follower struct {
	state  State
	phase  phase
	search tailSearch
	// id names the snapshot that is being read, at the offset to go on from.
	id       string
	at       platform.Offset
	assembly Assembly
	// caughtUp is set for good once the state was the newest.
	caughtUp bool
	// confirmations counts the reads that found the state to be the newest.
	confirmations int
	confirmedAt   time.Time
	// lost says that changes are missing and no snapshot has them yet.
	lost bool
}

// NewFollower returns a follower with an empty state.
func NewFollower() *Follower { return &Follower{} }

// State returns the state so far.
func (f *Follower) State() State { return f.state }

// CaughtUp says that the state was once the newest that there was.
func (f *Follower) CaughtUp() bool { return f.caughtUp }

// ConfirmedAt returns when the state was last known to be the newest.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// ChangesLost says that retention has passed changes that no snapshot holds. Only a
// new snapshot or a peer's state helps.
func (f *Follower) ChangesLost() bool { return f.lost }

// NextRead returns what to read next.
func (f *Follower) NextRead() ReadRequest {
	switch f.phase {
	case phaseSearch:
		return f.search.ask()
	case phaseAssemble:
		return ReadRequest{Stream: SnapshotStream, From: f.at, Limit: snapshotLimit}
	default:
		return ReadRequest{Stream: Stream, From: f.state.Next(), Limit: followLimit, MayWait: f.caughtUp}
	}
}

// HandleRead takes the answer to what Ask returned and gives the outcome of each
// record that was folded.
func (f *Follower) HandleRead(now time.Time, res platform.ReadResult) []Outcome {
	switch f.phase {
	case phaseSearch:
		f.found(f.search.handle(res))
	case phaseAssemble:
		f.handleAssemble(res)
	default:
		return f.follow(now, res)
	}
	return nil
}

// HandleTruncated takes the answer that retention has passed what Ask named.
func (f *Follower) HandleTruncated(res platform.ReadResult) {
	switch f.phase {
	case phaseSearch:
		f.found(f.search.handle(res))
	case phaseFollow:
		f.lost = true
		f.searchAgain()
	default:
		f.searchAgain()
	}
}

// searchAgain goes back to the snapshots.
func (f *Follower) searchAgain() {
	f.search = tailSearch{}
	f.phase = phaseSearch
}

// Restore takes a state from a peer, if it is newer.
func (f *Follower) Restore(s State) {
	if s.Next() > f.state.Next() {
		f.state = s
		f.lost = false
		f.phase = phaseFollow
	}
}

// CatchUpWithPeers makes the follower count as caught up when it holds the
// newest revision that any peer in reach has. It is for a start while the log
// is out.
func (f *Follower) CatchUpWithPeers(newest Revision) {
	if f.state.Revision() >= newest && newest > 0 {
		f.caughtUp = true
	}
}

// found begins to read the snapshot that the search came upon, if it is of use.
func (f *Follower) found(snap foundSnapshot, done bool) {
	if !done {
		return
	}
	f.phase = phaseFollow
	if snap.ok && snap.last.Next > f.state.Next() {
		f.id, f.at, f.assembly = snap.last.ID, snap.begin, Assembly{}
		f.phase = phaseAssemble
	}
}

// handleAssemble adds parts. Records of other snapshots may stand in between.
func (f *Follower) handleAssemble(res platform.ReadResult) {
	if len(res.Records) == 0 {
		f.searchAgain()
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
			f.phase = phaseFollow // unreadable; go on with what stands
			return
		}
		if done {
			f.phase = phaseFollow
			f.Restore(s)
			return
		}
	}
}

// follow folds changes.
func (f *Follower) follow(now time.Time, res platform.ReadResult) []Outcome {
	outcomes := make([]Outcome, 0, len(res.Records))
	for _, rec := range res.Records {
		var out Outcome
		f.state, out = f.state.Apply(rec)
		if out.Result != ResultStale && out.Result != ResultGap {
			outcomes = append(outcomes, out)
		}
	}
	f.lost = false
	if f.state.Next() >= res.Next {
		f.caughtUp = true
		f.confirmations++
		f.confirmedAt = now
	}
	return outcomes
}
