package config

import (
	"encoding/json"
	"iter"
	"time"
	"unique"
)

// ObjectState is what stands for one object.
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

// ObjectState returns what stands for the object. One that never was has
// revision 0.
func (s State) ObjectState(k Kind, name string) ObjectState {
	e := s.entry(k, name)
	if e == nil {
		return ObjectState{Kind: k, Name: name}
	}
	return e.standing(k, name)
}

// operatorName returns the name in the handle; the zero handle has none.
func operatorName(h unique.Handle[string]) string {
	if h == (unique.Handle[string]{}) {
		return ""
	}
	return h.Value()
}

// Objects ranges over all objects that stand, by kind and name.
func (s State) Objects() iter.Seq[ObjectState] {
	return func(yield func(ObjectState) bool) {
		s.tables().objects.Ascend(func(it item) bool {
			return it.e.doc == nil || yield(it.e.standing(kindOrder[it.rank], it.name))
		})
	}
}

// standing returns the entry with its document encoded.
func (e *entry) standing(k Kind, name string) ObjectState {
	st := ObjectState{
		Kind:     k,
		Name:     name,
		Revision: e.revision,
		ChangeID: e.changeID,
		Operator: operatorName(e.operator),
		At:       time.UnixMilli(e.atMS).UTC(),
		Deleted:  e.doc == nil,
	}
	if e.doc != nil {
		st.Spec, _ = json.Marshal(e.doc)
	}
	return st
}
