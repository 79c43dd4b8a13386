package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// After a replacement of the store by an older copy, each instance appends again what it holds. Until that
// has been done, a stream without a record may have begun at any version: the instance that chooses the
// bases confirms them once nothing is missing, or once what may be missing is no longer needed.

const (
	// maxDeparted is the number of instances that may have left lately without a record being lost: each
	// is held by two.
	maxDeparted = 1
	// restoredQueries is the number of instances that are asked at a time whether they have appended their
	// records again.
	restoredQueries = 16
	// restoreInterval is the time between two such rounds.
	restoreInterval = 200 * time.Millisecond
)

// restoreOrigins asks an instance to append what it holds again, in an era of the log.
type restoreOrigins struct {
	Era int64 `json:"e"`
}

// originsRestored answers a restoreOrigins.
type originsRestored struct {
	// Restored is set if the store has all records that the instance holds.
	Restored bool          `json:"r,omitempty"`
	Bases    []origin.Base `json:"b,omitempty"`
}

// observeEra records an era of the store. If the store was replaced, what this instance holds is appended
// again.
func (o *origins) observeEra(era int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era <= o.table.Era() {
		return
	}
	o.table.SetEra(era)
	lost := origin.NewTable()
	now := time.Now()
	lost.Add(now, o.log.startEra(era))
	for _, r := range o.table.Records() {
		if o.table.DiffersFromBase(r.Pool, r.Version) {
			lost.Add(now, []origin.Record{r})
		}
	}
	o.restoring = nil
	for _, r := range lost.Records() {
		o.restoring = append(o.restoring, newUnsent(r, now))
	}
	if len(o.restoring) == 0 {
		return
	}
	o.sends.submit(o.restoring...)
	telemetry.Log(o.g.log, telemetry.EventOriginsRestoring, "era", era, "records", len(o.restoring))
}

// restored reports whether the store has all records of this instance in an era.
func (o *origins) restored(era int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Era() == era && !slices.ContainsFunc(o.restoring, func(u *unsent) bool { return !u.stored.Load() })
}

// setMembers sets the addresses of the instances that can be reached.
func (o *origins) setMembers(now time.Time, addresses map[entity.InstanceID]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.members {
		if _, ok := addresses[id]; !ok {
			o.departed = append(o.departed, now)
		}
	}
	o.members = maps.Clone(addresses)
	delete(o.members, o.g.self.ID)
}

// holdersLeft reports whether so many instances have left lately, or may have, that records may have been lost
// with them.
func (o *origins) holdersLeft(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.departed = slices.DeleteFunc(o.departed, func(at time.Time) bool { return now.Sub(at) > origin.Retention })
	knowsAll := o.g.settings.FirstStart || now.Sub(o.startedAt) > origin.Retention
	return !knowsAll || len(o.departed) > maxDeparted
}

// logWhole reports whether the log lacks no record that was written before its present era.
func (o *origins) logWhole(ctx context.Context, era int64) bool {
	if o.holdersLeft(time.Now()) || !o.restored(era) {
		return false
	}
	o.mu.Lock()
	members := maps.Clone(o.members)
	o.mu.Unlock()
	var missing atomic.Int64
	var all sync.WaitGroup
	turns := make(chan struct{}, restoredQueries)
	for id, address := range members {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			if !o.askRestored(ctx, id, address, era) {
				missing.Add(1)
			}
		})
	}
	all.Wait()
	// An instance may have left while it was asked.
	return missing.Load() == 0 && !o.holdersLeft(time.Now())
}

// askRestored asks an instance whether it has appended its records again.
func (o *origins) askRestored(ctx context.Context, id entity.InstanceID, address string, era int64) bool {
	var answer originsRestored
	if o.g.transport.Call(ctx, id, address, queryOriginsRestored, restoreOrigins{Era: era}, &answer) != nil {
		return false
	}
	o.addBases(answer.Bases, era)
	o.log.addBases(answer.Bases)
	return answer.Restored
}

// answerRestored answers another instance's question whether this one has appended its records again.
func (o *origins) answerRestored(_ context.Context, query restoreOrigins) (originsRestored, error) {
	o.observeEra(query.Era)
	o.mu.Lock()
	bases := o.table.Bases()
	o.mu.Unlock()
	return originsRestored{Restored: o.restored(query.Era), Bases: bases}, nil
}

// Sizes, in bytes, of what is sent or appended together. A record of the store and a message between instances
// have a limit that is many times as large: the sizes are estimates.
const (
	maxBatchBytes   = 32 << 10
	maxAppendBytes  = 256 << 10
	maxMessageBytes = 512 << 10
	recordOverhead  = 48
)

// groupRecords divides records into groups of up to about a size in bytes.
func groupRecords(records []origin.Record, maxBytes int) [][]origin.Record {
	var groups [][]origin.Record
	size := maxBytes
	for _, r := range records {
		n := recordOverhead + len(r.Pool) + len(r.Request) + len(r.Version)
		if size += n; size > maxBytes {
			groups = append(groups, nil)
			size = n
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r)
	}
	return groups
}
