package config

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// ErrChangesLost means that the log has dropped changes that no snapshot holds.
// The follower can proceed only with a new snapshot or a peer's state.
var ErrChangesLost = errors.New("config: changes are older than the log's retention, and no snapshot contains them")

// Step makes the follower's next read and processes the result. Once the
// follower has caught up, the read waits up to wait for changes. After an error
// the caller should pause, and may ask a peer for a newer state.
func (f *Follower) Step(ctx context.Context, log platform.Log, now func() time.Time, wait time.Duration) ([]Outcome, error) {
	next := f.NextRead()
	if !next.MayWait {
		wait = 0
	}
	sentAt := now()
	res, err := log.Read(ctx, next.Stream, next.From, next.Limit, wait)
	switch {
	case errors.Is(err, platform.ErrTruncated):
		lost := f.changesLost
		f.HandleTruncated(res)
		if lost && next.Stream == Stream {
			return nil, trace.Wrap(ErrChangesLost)
		}
		return nil, nil
	case err != nil:
		return nil, trace.Wrap(err)
	default:
		return f.HandleRead(sentAt, res), nil
	}
}

// Sync calls Step until the follower's state includes every record that the
// log held at some time after the call began.
func (f *Follower) Sync(ctx context.Context, log platform.Log, now func() time.Time) ([]Outcome, error) {
	var all []Outcome
	for before := f.confirmations; f.confirmations == before; {
		out, err := f.Step(ctx, log, now, 0)
		if err != nil {
			return all, trace.Wrap(err)
		}
		all = append(all, out...)
	}
	return all, nil
}

// AppendSnapshot appends the state's snapshot, part by part. It stops at the
// first append that fails or has an unknown outcome; readers skip a snapshot
// without its last part.
func AppendSnapshot(ctx context.Context, log platform.Log, s State, id string) error {
	var begin platform.Offset
	for p, err := range s.Snapshot(id) {
		if err != nil {
			return trace.Wrap(err)
		}
		p.Begin = begin
		data, err := EncodeSnapshotPart(p)
		if err != nil {
			return trace.Wrap(err)
		}
		off, err := log.Append(ctx, SnapshotStream, data)
		if err != nil {
			return trace.Wrap(err)
		}
		if p.Part == 0 {
			begin = off
		}
	}
	return nil
}
