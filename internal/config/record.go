package config

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Change is one change of one object, as an operator publishes it.
type Change struct {
	// ID is unique for all time; the same ID twice is the same change.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// BasedOn is the revision of the object that the change replaces; 0 for
	// an object that never was.
	BasedOn  Revision        `json:"based_on"`
	Operator string          `json:"operator,omitempty"`
	Delete   bool            `json:"delete,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// envelope is a record of the configuration stream. One field is set.
type envelope struct {
	Change   *Change       `json:"change,omitempty"`
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
}

// EncodeChange returns the record that publishes the change.
func EncodeChange(c Change) ([]byte, error) {
	data, err := json.Marshal(envelope{Change: &c})
	return data, trace.Wrap(err)
}

// decodeRecord decodes a record of the stream.
func decodeRecord(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}, trace.BadParameter("record can't be decoded: %v", err)
	}
	return e, nil
}

// ChangeOf returns the change that a record carries, if it carries one.
func ChangeOf(data []byte) (Change, bool) {
	e, err := decodeRecord(data)
	if err != nil || e.Change == nil {
		return Change{}, false
	}
	return *e.Change, true
}
