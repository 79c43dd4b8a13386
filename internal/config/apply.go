package config

import (
	"slices"
	"time"
	"unique"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Result is the result of applying a record to a state.
type Result string

// The results of applying a record.
const (
	// ResultApplied means that the change is in force.
	ResultApplied Result = "applied"
	// ResultDuplicate means that the same change was already in force.
	ResultDuplicate Result = "duplicate"
	// ResultLost means that the change is not based on the object's current
	// revision: another change came first.
	ResultLost Result = "lost"
	// ResultInvalid means that the change is not valid in the current state.
	ResultInvalid Result = "invalid"
	// ResultNoChange means that the record carries no change.
	ResultNoChange Result = "no_change"
	// ResultStale means that the state already includes the record.
	ResultStale Result = "stale"
	// ResultGap means that earlier records are missing; the state is unchanged.
	ResultGap Result = "gap"
)

// Outcome is the outcome of one record, reported to its author.
type Outcome struct {
	Result   Result          `json:"result"`
	Offset   platform.Offset `json:"offset"`
	ChangeID string          `json:"change_id,omitempty"`
	Operator string          `json:"operator,omitempty"`
	At       time.Time       `json:"at,omitzero"`
	Delete   bool            `json:"delete,omitempty"`
	// Current is the state of the object after the record.
	Current ObjectState `json:"standing"`
	// Problems lists the reasons why the change is invalid.
	Problems []Problem `json:"problems,omitempty"`
}

// Limits of a change.
const (
	// MaxSpecBytes is the maximum size of a change's spec.
	MaxSpecBytes = 64 << 10
	// maxIDBytes is the maximum length of a change's id and of an operator's name.
	maxIDBytes = 128
)

// Apply returns the state after the record, which must be the one at offset
// Next. It is a pure function: the same records in the same order yield the
// same state on every instance. Of several changes that are based on the same
// revision of an object, the first valid one is applied; later ones get
// ResultLost and change nothing.
func (s State) Apply(rec platform.Record) (State, Outcome) {
	switch {
	case rec.Offset < s.Next():
		return s, Outcome{Result: ResultStale, Offset: rec.Offset}
	case rec.Offset > s.Next():
		return s, Outcome{Result: ResultGap, Offset: rec.Offset}
	}
	next := *s.tables()
	next.next = rec.Offset + 1
	next.timeMs = max(next.timeMs, rec.Time.UnixMilli())
	advanced := State{&next}
	env, err := decodeRecord(rec.Data)
	if err != nil || env.Change == nil {
		return advanced, Outcome{Result: ResultNoChange, Offset: rec.Offset}
	}
	return advanced.applyChange(*env.Change, rec)
}

// applyChange applies the change if it is valid in the state and based on the
// object's current revision.
func (s State) applyChange(c Change, rec platform.Record) (State, Outcome) {
	out := Outcome{Offset: rec.Offset, ChangeID: c.ID, Operator: c.Operator, At: rec.Time, Delete: c.Delete}
	var current Revision
	if e := s.entry(c.Kind, c.Name); e != nil {
		current = e.revision
		if e.changeID == c.ID {
			out.Result = ResultDuplicate
			out.Current = s.ObjectState(c.Kind, c.Name)
			return s, out
		}
	}
	doc, problems := s.checkChange(c, current)
	switch {
	case c.BasedOn != current:
		out.Result = ResultLost
	case len(problems) > 0:
		out.Result = ResultInvalid
		out.Problems = location{file: "log"}.problems(problems)
	default:
		out.Result = ResultApplied
		s = s.set(c.Kind, c.Name, &entry{
			revision: revisionAt(rec.Offset),
			changeID: c.ID,
			operator: unique.Make(c.Operator),
			atMs:     rec.Time.UnixMilli(),
			doc:      doc,
		})
	}
	out.Current = s.ObjectState(c.Kind, c.Name)
	return s, out
}

// checkChange returns the change's document, nil for a deletion, and the
// problems of the change in the state. It returns neither for a change that is
// not based on the object's current revision.
func (s State) checkChange(c Change, current Revision) (document, []fieldProblem) {
	if c.BasedOn != current {
		return nil, nil
	}
	if ps := checkObjectName(c.Kind, c.Name); len(ps) > 0 {
		return nil, ps
	}
	if c.ID == "" {
		return nil, []fieldProblem{problemf("/id", "change has no id")}
	}
	if len(c.Spec) > MaxSpecBytes || len(c.ID) > maxIDBytes || len(c.Operator) > maxIDBytes {
		return nil, []fieldProblem{problemf("/spec", "change is too large; the spec may have %d bytes", MaxSpecBytes)}
	}
	if c.Delete {
		return nil, s.checkDeletion(c.Kind, c.Name)
	}
	doc, err := decodeDocument(c.Kind, c.Name, c.Spec)
	if err != nil {
		return nil, []fieldProblem{problemf("/spec", "%s", err.Error())}
	}
	s.intern(doc)
	return doc, prefixed("/spec", doc.check(s))
}

// checkDeletion returns the reasons why the object can't be deleted.
func (s State) checkDeletion(k Kind, name string) []fieldProblem {
	e := s.entry(k, name)
	if e == nil || e.doc == nil {
		return []fieldProblem{problemf("/name", "%s %q does not exist and can't be deleted", k, name)}
	}
	return e.doc.checkDelete(s)
}

// checkObjectName checks the kind and the name of an object.
func checkObjectName(k Kind, name string) []fieldProblem {
	if k.rank() < 0 {
		return []fieldProblem{problemf("/kind", "unknown kind %q", abbreviate(string(k)))}
	}
	if k == KindDeployment && name != DeploymentName {
		return []fieldProblem{problemf("/name", "the deployment's name is %q", DeploymentName)}
	}
	return checkName("/name", name)
}

// prefixed prepends a path to the paths of the problems, in place.
func prefixed(path string, ps []fieldProblem) []fieldProblem {
	for i := range ps {
		ps[i].path = path + ps[i].path
	}
	return ps
}

// set returns a copy of the state with the object's entry replaced.
func (s State) set(k Kind, name string, e *entry) State {
	t := s.tables().clone()
	t.put(k, name, e)
	return State{t}
}

// intern saves memory: it makes a contract share the tier names of the
// deployment, and the list itself where the contract names consecutive tiers.
func (s State) intern(doc document) {
	c, ok := doc.(*Contract)
	if !ok {
		return
	}
	tiers := s.Deployment().Tiers
	for i, t := range c.Tiers {
		if j := slices.Index(tiers, t); j >= 0 {
			c.Tiers[i] = tiers[j]
		}
	}
	if j := slices.Index(tiers, c.DefaultTier); j >= 0 {
		c.DefaultTier = tiers[j]
	}
	for i := 0; i+len(c.Tiers) <= len(tiers); i++ {
		if same := tiers[i : i+len(c.Tiers)]; slices.Equal(same, c.Tiers) {
			c.Tiers = same
		}
	}
}
