package config

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// ErrChangesLost means that retention has passed changes that no snapshot holds. Only
// a new snapshot or a peer's state helps.
var ErrChangesLost = errors.New("config: changes are older than the log's retention, and no snapshot holds them")

// Step makes the read that the follower asks for and hands it the answer. With
// wait > 0 it waits that long for changes once the follower has caught up.
// After an error the caller pauses, and may look for a newer state at a peer.
func (f *Follower) Step(ctx context.Context, log platform.Log, now func() time.Time, wait time.Duration) ([]Outcome, error) {
	ask := f.NextRead()
	if !ask.MayWait {
		wait = 0
	}
	asked := now()
	res, err := log.Read(ctx, ask.Stream, ask.From, ask.Limit, wait)
	switch {
	case errors.Is(err, platform.ErrTruncated):
		lost := f.lost
		f.HandleTruncated(res)
		if lost && ask.Stream == Stream {
			return nil, trace.Wrap(ErrChangesLost)
		}
		return nil, nil
	case err != nil:
		return nil, trace.Wrap(err)
	default:
		return f.HandleRead(asked, res), nil
	}
}

// Sync steps until the follower's state holds all that the log held at some
// moment after the call.
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

// AppendSnapshot appends the state's snapshot, part by part. A part whose
// append has no known outcome ends the attempt: a snapshot without its last
// part is passed over by all readers.
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
