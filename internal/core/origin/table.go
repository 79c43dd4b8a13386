package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Retention is how long a record is kept: longer than any caller goes on with a stream.
const Retention = time.Minute

// Stream identifies a stream: the request that brought its first event, and the pool that served it.
type Stream struct {
	Pool    entity.PoolID    `json:"p"`
	Request entity.RequestID `json:"i"`
}

// Record states the origin of a stream.
type Record struct {
	Stream
	// Version is the origin, empty if it can't be read.
	Version string `json:"v"`
	// Dispatch counts the dispatches of the request. The record with the highest one holds.
	Dispatch int `json:"n,omitempty"`
}

// Base states the base of a pool.
type Base struct {
	Pool entity.PoolID `json:"p"`
	// Version is empty if all streams that begin are recorded.
	Version string `json:"v"`
	// Revision orders the statements about the pool.
	Revision uint64 `json:"r"`
}

// Batch is what one record of the log holds.
type Batch struct {
	Records []Record `json:"r,omitempty"`
	Bases   []Base   `json:"b,omitempty"`
}

// Table holds the records and bases that one instance knows.
type Table struct {
	records map[Stream]known
	bases   map[entity.PoolID]Base
}

// known is a record and when it was added.
type known struct {
	Record
	at time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[Stream]known), bases: make(map[entity.PoolID]Base)}
}

// Add adds records. Of two records of a stream, the later dispatch's is kept.
func (t *Table) Add(now time.Time, records []Record) {
	for _, r := range records {
		if old, ok := t.records[r.Stream]; !ok || r.Dispatch >= old.Dispatch {
			t.records[r.Stream] = known{Record: r, at: now}
		}
	}
}

// Find returns the record of a stream.
func (t *Table) Find(s Stream) (Record, bool) {
	r, ok := t.records[s]
	return r.Record, ok
}

// SetBases adds statements about bases.
func (t *Table) SetBases(bases []Base) {
	for _, b := range bases {
		if old, ok := t.bases[b.Pool]; !ok || b.Revision > old.Revision {
			t.bases[b.Pool] = b
		}
	}
}

// Base returns the newest statement about a pool's base.
func (t *Table) Base(pool entity.PoolID) (Base, bool) {
	b, ok := t.bases[pool]
	return b, ok
}

// Bases returns the newest statement about each pool, sorted by pool.
func (t *Table) Bases() []Base {
	out := make([]Base, 0, len(t.bases))
	for _, p := range slices.Sorted(maps.Keys(t.bases)) {
		out = append(out, t.bases[p])
	}
	return out
}

// NeedsRecord reports whether a stream that begins at a version of a pool needs a record.
func (t *Table) NeedsRecord(pool entity.PoolID, version string) bool {
	b, ok := t.bases[pool]
	return !ok || version == "" || b.Version != version
}

// OnlyBase reports whether no stream of a pool that may still be taken up has a record of another
// version than the pool's base.
func (t *Table) OnlyBase(pool entity.PoolID) bool {
	b, ok := t.bases[pool]
	if !ok || b.Version == "" {
		return false
	}
	for s, r := range t.records {
		if s.Pool == pool && r.Version != b.Version {
			return false
		}
	}
	return true
}

// Expire removes the records that are older than Retention.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Stream, r known) bool { return now.Sub(r.at) > Retention })
}

// Records returns all records, in no particular order.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.Record)
	}
	return out
}
