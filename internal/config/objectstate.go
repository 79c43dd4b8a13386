package config

import (
	"encoding/json"
	"iter"
	"time"
	"unique"
)

// ObjectState is the current state of one object: the change that set it and
// the spec in force. A deleted object has no spec.
type ObjectState struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision Revision        `json:"revision"`
	ChangeID string          `json:"change_id,omitempty"`
	Operator string          `json:"operator,omitempty"`
	At       time.Time       `json:"at,omitzero"`
	Deleted  bool            `json:"deleted,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// ObjectState returns the current state of the object. An object that has
// never existed, or whose tombstone has expired, has revision 0.
func (s State) ObjectState(k Kind, name string) ObjectState {
	e := s.entry(k, name)
	if e == nil {
		return ObjectState{Kind: k, Name: name}
	}
	return e.objectState(k, name)
}

// operatorName returns the name in the handle, or "" for the zero handle.
func operatorName(h unique.Handle[string]) string {
	if h == (unique.Handle[string]{}) {
		return ""
	}
	return h.Value()
}

// Objects ranges over all objects that are in force, ordered by kind and name.
func (s State) Objects() iter.Seq[ObjectState] {
	return func(yield func(ObjectState) bool) {
		s.tables().objects.Ascend(func(it item) bool {
			return it.e.doc == nil || yield(it.e.objectState(kindOrder[it.rank], it.name))
		})
	}
}

// objectState returns the entry as an ObjectState, with its document encoded.
func (e *entry) objectState(k Kind, name string) ObjectState {
	st := ObjectState{
		Kind:     k,
		Name:     name,
		Revision: e.revision,
		ChangeID: e.changeID,
		Operator: operatorName(e.operator),
		At:       time.UnixMilli(e.atMs).UTC(),
		Deleted:  e.doc == nil,
	}
	if e.doc != nil {
		st.Spec, _ = json.Marshal(e.doc)
	}
	return st
}
