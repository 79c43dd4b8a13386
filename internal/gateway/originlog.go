package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
)

const (
	// originAppendInterval is the minimum time between two appends of one instance. It is short
	// compared with the time to the first event, during which a record is written.
	originAppendInterval = 50 * time.Millisecond
	// originCallTimeout bounds one call of the store: one that began while it was away may never be
	// answered.
	originCallTimeout = time.Second
	// basesKey is the key of the record that holds the bases.
	basesKey = "bases"
)

// originLog reads and writes the origins of streams in the store. It is safe for concurrent use.
type originLog struct {
	g       *Instance
	appends batcher[origin.Record]
	reads   batcher[struct{}]

	mu    sync.Mutex
	table *origin.Table
	// at is the position up to which the log has been read, readAt when the last read began that
	// succeeded, on the clock of boot; 0 for never.
	at     storeera.Position
	readAt time.Duration
	// boot is bootTime: a read before a suspension of the machine is not a recent one after it.
	boot func() time.Duration
	// keys holds when each key of the log was first seen.
	keys map[string]time.Time
	// held holds the records that this instance was asked to append or to hold, stored those of them that
	// it has appended in the log's present era.
	held, stored *origin.Table
	// appended numbers the records of the log that this instance has appended.
	appended uint64
}

func newOriginLog(g *Instance) *originLog {
	l := &originLog{g: g, table: origin.NewTable(), held: origin.NewTable(), stored: origin.NewTable(), at: storeera.Start(0), boot: bootTime, keys: make(map[string]time.Time)}
	l.appends = batcher[origin.Record]{ctx: g.ctx, interval: originAppendInterval, run: l.appendBatch}
	l.reads = batcher[struct{}]{ctx: g.ctx, run: func(ctx context.Context, _ []struct{}) error { return l.readToEnd(ctx) }}
	return l
}

// record adds records, and returns once they are in the store. They can be found from the
// beginning of the call on. Records that were added before are not appended again.
func (l *originLog) record(ctx context.Context, records []origin.Record) error {
	l.hold(records)
	l.mu.Lock()
	var missing []origin.Record
	for _, r := range records {
		if known, ok := l.stored.Find(r.Stream); !ok || known != r {
			missing = append(missing, r)
		}
	}
	l.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	return l.appends.submit(missing...).wait(ctx)
}

// hold adds records that another instance appends. They can be found, and are appended again if the
// store is replaced.
func (l *originLog) hold(records []origin.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.table.Add(now, records)
	l.held.Add(now, records)
}

// appendBatch appends records to the log.
func (l *originLog) appendBatch(ctx context.Context, records []origin.Record) error {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	once := origin.NewTable() // instances that wait have sent some more than once
	once.Add(time.Now(), records)
	for _, some := range groupRecords(once.Records(), maxAppendBytes) {
		if err := l.appendGroup(ctx, some); err != nil {
			return err // the instances send them again
		}
	}
	return nil
}

// appendGroup appends records to the log in one call.
func (l *originLog) appendGroup(ctx context.Context, records []origin.Record) error {
	var encoded []OriginRecord
	l.mu.Lock()
	era := l.table.Era()
	for _, some := range groupRecords(records, maxBatchBytes) {
		l.appended++
		encoded = append(encoded, OriginRecord{Key: fmt.Sprintf("%s/%d", l.g.self.ID, l.appended), Batch: &origin.Batch{Records: some}})
	}
	l.mu.Unlock()
	l.g.metrics.LogCall("append", "origins")
	if err := l.g.adapter.Store.AppendOrigins(ctx, nil, encoded); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Era() == era { // otherwise they may be lost already, and are appended again
		l.stored.Add(time.Now(), records)
	}
	return nil
}

// startEra records an era of the log. It returns what this instance holds, of which the store may have lost a
// part.
func (l *originLog) startEra(era int64) []origin.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetEra(era)
	l.stored = origin.NewTable()
	return l.held.Records()
}

// read reads the log to its end, and returns once a read that began after the call has ended.
func (l *originLog) read(ctx context.Context) error { return l.reads.submit(struct{}{}).wait(ctx) }

// readToEnd reads what was appended to the log since the last read, or all of it if the store was
// replaced since.
func (l *originLog) readToEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	for {
		started, startedBoot := time.Now(), l.boot()
		l.mu.Lock()
		from := l.at
		l.mu.Unlock()
		l.g.metrics.LogCall("read", "origins")
		read, err := l.g.adapter.Store.Origins(ctx, from)
		if err != nil {
			return err
		}
		l.g.origins.observeEra(read.Next.Era)
		if read.Complete {
			from.Offset = storeera.FromStart
		}
		switch storeera.Judge(l.era(), from, read.Next.Era) {
		case storeera.Use:
			l.apply(started, startedBoot, &read)
			return nil
		case storeera.Discard:
			return trace.ConnectionProblem(nil, "the response comes from an earlier era of the store")
		case storeera.Restart:
			l.restart(read.Next.Era)
		}
	}
}

// apply adds what was read by a read that began at a time, on both clocks.
func (l *originLog) apply(started time.Time, startedBoot time.Duration, read *OriginsRead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if read.Complete {
		clear(l.keys)
	}
	for _, r := range read.Records {
		if r.Batch == nil {
			delete(l.keys, r.Key)
			continue
		}
		if _, ok := l.keys[r.Key]; !ok {
			l.keys[r.Key] = started
		}
		l.table.Add(started, r.Batch.Records)
		l.table.SetBases(r.Batch.Bases)
	}
	l.at, l.readAt = read.Next, startedBoot
}

// restart makes the next read begin at the start: the store came back from an older copy, which may
// lack what was appended since.
func (l *originLog) restart(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = storeera.Start(era)
}

// era returns the newest era of the log that is known.
func (l *originLog) era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Era()
}

// readEra returns the era in which the log was last read.
func (l *originLog) readEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at.Era
}

// find returns the records of streams that are known, and the bases.
func (l *originLog) find(streams []origin.Stream) (found []origin.Record, bases []origin.Base) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range streams {
		if r, ok := l.table.Find(s); ok {
			found = append(found, r)
		}
	}
	return found, l.table.Bases()
}

// onlyBase returns the pools of which no stream has a record of another version than the base.
func (l *originLog) onlyBase() []entity.PoolID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []entity.PoolID
	for _, b := range l.table.Bases() {
		if l.table.OnlyBase(b.Pool) {
			out = append(out, b.Pool)
		}
	}
	return out
}

// addBases adds statements about bases that other instances know.
func (l *originLog) addBases(bases []origin.Base) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetBases(bases)
}

// unconfirmed reports whether a statement about a base is to be confirmed.
func (l *originLog) unconfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Unconfirmed()
}

// base returns the newest statement about a pool's base.
func (l *originLog) base(pool entity.PoolID) (origin.Base, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Base(pool)
}

// readWithin reports whether the log has been read to its end not longer ago than d.
func (l *originLog) readWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt > 0 && l.boot()-l.readAt <= d
}

// readBefore returns how long before a time of boot the last read of the log to its end began, 0 if after,
// false if there was none.
func (l *originLog) readBefore(at time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, at-l.readAt), l.readAt > 0
}

// expire forgets records that are no longer needed.
func (l *originLog) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(now)
	l.held.Expire(now)
	l.stored.Expire(now)
}

// minRemovals and maxRemovals bound the number of keys that are removed from the store in one call.
const (
	minRemovals = 100
	maxRemovals = 500
)

// expiredKeys returns keys of the log whose records are no longer needed.
func (l *originLog) expiredKeys(now time.Time) []OriginRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []OriginRecord
	for key, seen := range l.keys {
		if key != basesKey && now.Sub(seen) > origin.Retention && len(out) < maxRemovals {
			out = append(out, OriginRecord{Key: key})
		}
	}
	return out
}

// setBases writes the bases, unless the log has changed since it was read.
func (l *originLog) setBases(ctx context.Context, changed []origin.Base) error {
	l.mu.Lock()
	at := l.at
	next := origin.NewTable()
	next.SetBases(l.table.Bases())
	next.SetBases(changed)
	l.mu.Unlock()
	l.g.metrics.LogCall("append", "origins")
	err := l.g.adapter.Store.AppendOrigins(ctx, &at, []OriginRecord{{Key: basesKey, Batch: &origin.Batch{Bases: next.Bases()}}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetBases(changed)
	return nil
}
