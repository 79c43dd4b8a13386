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
	// Next is the version that becomes the base after a time without one, empty if none is announced yet.
	Next string `json:"x,omitempty"`
	// Revision orders the statements about the pool of one era.
	Revision uint64 `json:"r"`
	// Era is the era of the log, see storeera, in which the statement was made or confirmed. In a later
	// one records may be missing, so that a stream without one may have begun at any version.
	Era int64 `json:"e,omitempty"`
}

// newerThan reports whether a statement replaces another one about the same pool.
func (b *Base) newerThan(other *Base) bool {
	if b.Era != other.Era {
		return b.Era > other.Era
	}
	return b.Revision > other.Revision
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
	// era is the newest era of the log that is known.
	era int64
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
		if old, ok := t.bases[b.Pool]; !ok || b.newerThan(&old) {
			t.bases[b.Pool] = b
		}
		t.SetEra(b.Era)
	}
}

// SetEra records an era of the log. Only the newest one matters.
func (t *Table) SetEra(era int64) { t.era = max(t.era, era) }

// Era returns the newest era of the log that is known.
func (t *Table) Era() int64 { return t.era }

// Confirmed returns the version that began all streams of a pool without a record, false if there is
// none or the statement about it is not confirmed in the newest era.
func (t *Table) Confirmed(pool entity.PoolID) (version string, ok bool) {
	b, ok := t.bases[pool]
	return b.Version, ok && b.Version != "" && b.Era >= t.era
}

// Unconfirmed reports whether a statement about a base is not confirmed in the newest era.
func (t *Table) Unconfirmed() bool {
	for _, b := range t.bases {
		if b.Era < t.era {
			return true
		}
	}
	return false
}

// Base returns the newest statement about a pool's base, confirmed or not.
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
	base, ok := t.Confirmed(pool)
	return !ok || version != base
}

// NeedsLog reports whether a stream that begins at a version of a pool may be sent to its caller only once
// the log has its record; otherwise it suffices that instances hold it, which all may be killed. fresh is
// set if the statements were read from the log lately, so that no instance goes by one two statements later.
func (t *Table) NeedsLog(pool entity.PoolID, version string, fresh bool) bool {
	b, ok := t.bases[pool]
	switch {
	case !ok:
		return true // another instance may know of a base
	case b.Version != "":
		return version != b.Version
	case b.Next != "":
		return version != b.Next || !fresh
	}
	return !fresh
}

// DiffersFromBase reports whether a version may be another one than a pool's base, confirmed or not.
func (t *Table) DiffersFromBase(pool entity.PoolID, version string) bool {
	b := t.bases[pool]
	return b.Version == "" || version != b.Version
}

// OnlyBase reports whether no stream of a pool that may still be taken up can have begun at another
// version than the pool's base.
func (t *Table) OnlyBase(pool entity.PoolID) bool {
	base, ok := t.Confirmed(pool)
	if !ok {
		return false
	}
	for s, r := range t.records {
		if s.Pool == pool && r.Version != base {
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
