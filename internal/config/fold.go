package config

import (
	"slices"
	"time"
	"unique"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Result says what became of a record.
type Result string

// The results of applying a record.
const (
	// ResultApplied means that the change is in force.
	ResultApplied Result = "applied"
	// ResultDuplicate means that the same change was in force already.
	ResultDuplicate Result = "duplicate"
	// ResultLost means that another change of the object came first.
	ResultLost Result = "lost"
	// ResultInvalid means that the change is not valid beside what stands.
	ResultInvalid Result = "invalid"
	// ResultNoChange means that the record carries no change.
	ResultNoChange Result = "no_change"
	// ResultStale means that the state holds the record already.
	ResultStale Result = "stale"
	// ResultGap means that records before it are missing; nothing was done.
	ResultGap Result = "gap"
)

// Outcome tells the author of a record what became of it.
type Outcome struct {
	Result   Result          `json:"result"`
	Offset   platform.Offset `json:"offset"`
	ChangeID string          `json:"change_id,omitempty"`
	Operator string          `json:"operator,omitempty"`
	At       time.Time       `json:"at,omitzero"`
	Delete   bool            `json:"delete,omitempty"`
	// Current is what stands now for the object.
	Current ObjectState `json:"standing"`
	// Problems says why the change is invalid.
	Problems []Problem `json:"problems,omitempty"`
}

// Bounds of a change.
const (
	// MaxSpecBytes bounds the spec of a change.
	MaxSpecBytes = 64 << 10
	// maxIDBytes bounds the change's id and the operator's name.
	maxIDBytes = 128
)

// Apply folds the record that follows the state. It is pure: the same records
// in the same order yield the same states everywhere. The first valid change
// that is based on an object's revision wins; later ones lose and change
// nothing.
func (s State) Apply(rec platform.Record) (State, Outcome) {
	switch {
	case rec.Offset < s.Next():
		return s, Outcome{Result: ResultStale, Offset: rec.Offset}
	case rec.Offset > s.Next():
		return s, Outcome{Result: ResultGap, Offset: rec.Offset}
	}
	next := *s.tables()
	next.next = rec.Offset + 1
	next.timeMS = max(next.timeMS, rec.Time.UnixMilli())
	passed := State{&next}
	env, err := decodeRecord(rec.Data)
	if err != nil || env.Change == nil {
		return passed, Outcome{Result: ResultNoChange, Offset: rec.Offset}
	}
	return passed.applyChange(*env.Change, rec)
}

// applyChange decides the change against what stands.
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
	doc, problems := s.judge(c, current)
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
			atMS:     rec.Time.UnixMilli(),
			doc:      doc,
		})
	}
	out.Current = s.ObjectState(c.Kind, c.Name)
	return s, out
}

// judge returns the change's document, nil for a deletion, and what is wrong
// with the change beside what stands.
func (s State) judge(c Change, current Revision) (document, []fieldProblem) {
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
		return nil, s.judgeDelete(c.Kind, c.Name)
	}
	doc, err := decodeDocument(c.Kind, c.Name, c.Spec)
	if err != nil {
		return nil, []fieldProblem{problemf("/spec", "%s", err.Error())}
	}
	s.intern(doc)
	return doc, prefixed("/spec", doc.check(s))
}

// judgeDelete returns why the object can't be deleted.
func (s State) judgeDelete(k Kind, name string) []fieldProblem {
	e := s.entry(k, name)
	if e == nil || e.doc == nil {
		return []fieldProblem{problemf("/name", "there is no %s %q to delete", k, name)}
	}
	return e.doc.checkDelete(s)
}

// checkObjectName checks kind and name of an object.
func checkObjectName(k Kind, name string) []fieldProblem {
	if k.rank() < 0 {
		return []fieldProblem{problemf("/kind", "unknown kind %q", abbreviate(string(k)))}
	}
	if k == KindDeployment && name != DeploymentName {
		return []fieldProblem{problemf("/name", "the deployment's name is %q", DeploymentName)}
	}
	return checkName("/name", name)
}

// prefixed puts a path before the paths of the problems.
func prefixed(path string, ps []fieldProblem) []fieldProblem {
	for i := range ps {
		ps[i].path = path + ps[i].path
	}
	return ps
}

// set returns a state with that entry.
func (s State) set(k Kind, name string, e *entry) State {
	t := s.tables().fork()
	t.put(k, name, e)
	return State{t}
}

// intern makes a contract share the strings of the deployment's tiers, and
// the whole list where it names tiers that follow each other.
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
