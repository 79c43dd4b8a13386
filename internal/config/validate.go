package config

import (
	"fmt"
	"slices"
)

// Ordered returns the objects in an order in which each can be published:
// what others refer to comes first, and deletions come last, the other way round.
func Ordered(objects []Object) []Object {
	out := slices.Clone(objects)
	place := func(o Object) int {
		if o.Delete {
			return 2*len(kindOrder) - o.Kind.rank()
		}
		return o.Kind.rank()
	}
	slices.SortStableFunc(out, func(a, b Object) int { return place(a) - place(b) })
	return out
}

// Validate returns what is wrong with the objects if they were published, in
// the order of Ordered, on top of the state.
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
			out = append(out, o.at.problem("", fmt.Sprintf("%s %q stands twice", o.Kind, o.Name)))
			continue
		}
		seen[k] = true
		next, problems := s.try(o)
		out = append(out, o.at.problems(problems)...)
		s = next
	}
	slices.SortStableFunc(out, func(a, b Problem) int { return a.Line - b.Line })
	return out
}

// try returns the state with the object in force, and what is wrong with it.
func (s State) try(o Object) (State, []fieldProblem) {
	var current Revision
	if e := s.entry(o.Kind, o.Name); e != nil {
		current = e.revision
	}
	c := Change{ID: "validate", Kind: o.Kind, Name: o.Name, BasedOn: current, Delete: o.Delete, Spec: o.Spec}
	doc, problems := s.judge(c, current)
	if o.BasedOn != nil && *o.BasedOn != current {
		problems = append(problems, problemf("/based_on", "revision %d stands, not %d", current, *o.BasedOn))
	}
	if doc == nil && !o.Delete {
		return s, problems
	}
	return s.set(o.Kind, o.Name, &entry{revision: current, doc: doc}), problems
}
