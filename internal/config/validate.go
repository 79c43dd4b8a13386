package config

import (
	"fmt"
	"slices"
)

// Ordered returns the objects sorted for publishing: an object comes after the
// objects that it refers to, and deletions come last, in reverse order.
func Ordered(objects []Object) []Object {
	out := slices.Clone(objects)
	position := func(o Object) int {
		if o.Delete {
			return 2*len(kindOrder) - o.Kind.rank()
		}
		return o.Kind.rank()
	}
	slices.SortStableFunc(out, func(a, b Object) int { return position(a) - position(b) })
	return out
}

// Validate returns the problems that would result from publishing the objects on
// top of the state, in the order that Ordered returns. The problems are sorted by line.
func Validate(s State, objects []Object) []Problem {
	type key struct {
		kind Kind
		name string
	}
	seen := make(map[key]bool)
	var out []Problem
	for _, o := range Ordered(objects) {
		k := key{o.Kind, o.Name}
		if seen[k] {
			out = append(out, o.at.problem("", fmt.Sprintf("duplicate object: %s %q", o.Kind, o.Name)))
			continue
		}
		seen[k] = true
		next, problems := s.tryObject(o)
		out = append(out, o.at.problems(problems)...)
		s = next
	}
	slices.SortStableFunc(out, func(a, b Problem) int { return a.Line - b.Line })
	return out
}

// tryObject returns the state with the object in force, and the object's problems.
func (s State) tryObject(o Object) (State, []fieldProblem) {
	var current Revision
	if e := s.entry(o.Kind, o.Name); e != nil {
		current = e.revision
	}
	c := Change{ID: "validate", Kind: o.Kind, Name: o.Name, BasedOn: current, Delete: o.Delete, Spec: o.Spec}
	doc, problems := s.checkChange(c, current)
	if o.BasedOn != nil && *o.BasedOn != current {
		problems = append(problems, problemf("/based_on", "current revision is %d, not %d", current, *o.BasedOn))
	}
	if doc == nil && !o.Delete {
		return s, problems
	}
	return s.set(o.Kind, o.Name, &entry{revision: current, doc: doc}), problems
}
