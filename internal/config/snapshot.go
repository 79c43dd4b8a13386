package config

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"time"
	"unique"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// SnapshotStream is the stream of the log service that carries snapshots. It
// is separate from Stream so that instances that follow changes don't read them.
const SnapshotStream platform.Stream = "config-snapshot"

// Sizes of a snapshot's parts, in bytes.
const (
	// snapshotPartBytes is the approximate size of one part before compression.
	snapshotPartBytes = 256 << 10
	// maxPartBytes is the maximum size of one part after decompression.
	maxPartBytes = 4 * snapshotPartBytes
)

// SnapshotPart is one of the records that together carry a complete state.
type SnapshotPart struct {
	// ID identifies the snapshot that the part belongs to.
	ID string `json:"id"`
	// Next is the offset of the first record that is not in the snapshot.
	Next platform.Offset `json:"next"`
	// TimeMs is the state's time, in milliseconds since 1970.
	TimeMs int64 `json:"time_ms"`
	// Part counts from 0; Last marks the last one.
	Part int  `json:"part"`
	Last bool `json:"last,omitempty"`
	// Begin is the offset of part 0 in SnapshotStream; part 0 has none.
	Begin platform.Offset `json:"begin,omitempty"`
	// End is the position after the part's last row.
	End Cursor `json:"end,omitzero"`
	// Data holds rows as lines of JSON, compressed with gzip.
	Data []byte `json:"data"`
}

// row is one object or tombstone of a snapshot.
type row struct {
	Kind     Kind            `json:"k"`
	Name     string          `json:"n"`
	Revision Revision        `json:"r"`
	ChangeID string          `json:"c"`
	Operator string          `json:"o,omitempty"`
	AtMs     int64           `json:"t"`
	Spec     json.RawMessage `json:"s,omitempty"`
}

// Cursor is the position after an object in a snapshot; the zero Cursor is the
// beginning.
type Cursor struct {
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
}

// Snapshot ranges over the parts of the state's snapshot. It produces one part
// at a time, so that the complete snapshot is never in memory. The same state
// yields the same rows in the same parts. Begin is not set: the caller that
// appends the parts sets it.
func (s State) Snapshot(id string) iter.Seq2[SnapshotPart, error] {
	return func(yield func(SnapshotPart, error) bool) {
		w := newPartWriter(s, id)
		var after Cursor
		for last := false; !last; {
			p, err := w.write(s, after)
			if !yield(p, err) || err != nil {
				return
			}
			after, last = p.End, p.Last
		}
	}
}

// Part returns part number part of the state's snapshot; after is the End of
// the part before it. A peer uses it to send a snapshot with one query per part.
func (s State) Part(id string, part int, after Cursor) (SnapshotPart, error) {
	w := newPartWriter(s, id)
	w.part.Part = part
	return w.write(s, after)
}

// partWriter writes the parts of a snapshot one after the other.
type partWriter struct {
	part     SnapshotPart
	buf      bytes.Buffer
	zip      *gzip.Writer
	rawBytes int // size of the part so far, before compression
	err      error
}

// newPartWriter returns a writer for the parts of the state's snapshot.
func newPartWriter(s State, id string) *partWriter {
	w := &partWriter{part: SnapshotPart{ID: id, Next: s.Next(), TimeMs: s.tables().timeMs}}
	w.zip = gzip.NewWriter(&w.buf)
	return w
}

// write returns the part with the rows after the cursor.
func (w *partWriter) write(s State, after Cursor) (SnapshotPart, error) {
	w.buf.Reset()
	w.zip.Reset(&w.buf)
	w.rawBytes = 0
	last := true
	from := item{rank: after.Kind.rank(), name: after.Name}
	s.tables().objects.AscendGreaterOrEqual(from, func(it item) bool {
		if it.rank == from.rank && it.name == from.name || s.expired(it.e) {
			return true
		}
		if w.rawBytes >= snapshotPartBytes {
			last = false
			return false
		}
		w.add(it)
		return true
	})
	return w.finish(last)
}

// add writes one row.
func (w *partWriter) add(it item) {
	r := row{
		Kind:     kindOrder[it.rank],
		Name:     it.name,
		Revision: it.e.revision,
		ChangeID: it.e.changeID,
		Operator: operatorName(it.e.operator),
		AtMs:     it.e.atMs,
	}
	var err error
	if it.e.doc != nil {
		r.Spec, err = json.Marshal(it.e.doc)
	}
	line, err2 := json.Marshal(r)
	n, err3 := w.zip.Write(append(line, '\n'))
	w.rawBytes += n
	w.part.End = Cursor{Kind: r.Kind, Name: r.Name}
	w.err = errors.Join(w.err, err, err2, err3)
}

// finish returns the finished part and moves on to the next part number.
func (w *partWriter) finish(last bool) (SnapshotPart, error) {
	err := errors.Join(w.err, w.zip.Close())
	p := w.part
	p.Last = last
	p.Data = bytes.Clone(w.buf.Bytes())
	w.part.Part++
	return p, trace.Wrap(err)
}

// EncodeSnapshotPart encodes a part as a record of SnapshotStream.
func EncodeSnapshotPart(p SnapshotPart) ([]byte, error) {
	data, err := json.Marshal(envelope{Snapshot: &p})
	return data, trace.Wrap(err)
}

// DecodeSnapshotPart decodes a part from a record of SnapshotStream.
func DecodeSnapshotPart(data []byte) (SnapshotPart, error) {
	env, err := decodeRecord(data)
	if err != nil {
		return SnapshotPart{}, trace.Wrap(err)
	}
	if env.Snapshot == nil || env.Snapshot.Part < 0 || env.Snapshot.Next < 0 {
		return SnapshotPart{}, trace.BadParameter("record contains no snapshot part")
	}
	return *env.Snapshot, nil
}

// Assembly restores a state from the parts of one snapshot. The zero value
// accepts part 0 of any snapshot.
type Assembly struct {
	id    string
	parts int
	t     *tables
}

// Add adds the next part. With the last part it returns the state and true.
// It returns an error if the part is not the next one of the same snapshot or
// can't be decoded.
func (a *Assembly) Add(p SnapshotPart) (State, bool, error) {
	if a.t == nil {
		a.t = newTables()
		a.id = p.ID
		a.t.next = p.Next
		a.t.timeMs = p.TimeMs
	}
	if p.ID != a.id || p.Part != a.parts || p.Next != a.t.next {
		return State{}, false, trace.BadParameter("part %d of snapshot %q does not follow part %d of %q", p.Part, p.ID, a.parts-1, a.id)
	}
	a.parts++
	if err := a.addRows(p.Data); err != nil {
		return State{}, false, trace.Wrap(err)
	}
	if !p.Last {
		return State{}, false, nil
	}
	t := a.t
	*a = Assembly{}
	t.indexEndpoints()
	return State{t}, true, nil
}

// addRows decodes the rows of a part into the tables.
func (a *Assembly) addRows(data []byte) error {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	dec := json.NewDecoder(bufio.NewReader(io.LimitReader(zip, maxPartBytes)))
	for {
		var r row
		if err := dec.Decode(&r); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return trace.Wrap(err)
		}
		if err := a.addRow(r); err != nil {
			return trace.Wrap(err)
		}
	}
}

// addRow puts one row into the tables. Rows come in the order of kindOrder,
// so that the objects that a row refers to have been added before it.
func (a *Assembly) addRow(r row) error {
	if r.Kind.rank() < 0 {
		return trace.BadParameter("snapshot contains an object of unknown kind %q", r.Kind)
	}
	e := &entry{revision: r.Revision, changeID: r.ChangeID, operator: unique.Make(r.Operator), atMs: r.AtMs}
	if r.Spec != nil {
		doc, err := decodeDocument(r.Kind, r.Name, r.Spec)
		if err != nil {
			return trace.Wrap(err)
		}
		State{a.t}.intern(doc)
		e.doc = doc
	}
	if r.Kind == KindEndpoint {
		a.t.objects.ReplaceOrInsert(item{rank: r.Kind.rank(), name: r.Name, e: e}) // Add indexes the endpoints after the last part
		return nil
	}
	a.t.put(r.Kind, r.Name, e)
	return nil
}

// Time returns the latest time of the records in the state.
func (s State) Time() time.Time { return time.UnixMilli(s.tables().timeMs).UTC() }
