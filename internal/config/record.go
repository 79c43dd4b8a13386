package config

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Change is one change of one object, as an operator publishes it.
type Change struct {
	// ID is globally unique. Records with the same ID carry the same change,
	// which is applied once.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// BasedOn is the revision of the object that the change replaces; 0 for
	// an object that has never existed.
	BasedOn  Revision        `json:"based_on"`
	Operator string          `json:"operator,omitempty"`
	Delete   bool            `json:"delete,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// envelope is a decoded record of Stream or SnapshotStream. One field is set.
type envelope struct {
	Change   *Change       `json:"change,omitempty"`
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
}

// EncodeChange returns the record that publishes the change.
func EncodeChange(c Change) ([]byte, error) {
	data, err := json.Marshal(envelope{Change: &c})
	return data, trace.Wrap(err)
}

// decodeRecord decodes a record of Stream or SnapshotStream.
func decodeRecord(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}, trace.BadParameter("record can't be decoded: %v", err)
	}
	return e, nil
}

// ChangeOf decodes a record and returns its change. The result is false if the
// record carries no change or can't be decoded.
func ChangeOf(data []byte) (Change, bool) {
	e, err := decodeRecord(data)
	if err != nil || e.Change == nil {
		return Change{}, false
	}
	return *e.Change, true
}
