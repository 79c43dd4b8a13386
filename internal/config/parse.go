package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 32 << 20

// location is the position of an object in its file.
type location struct {
	file  string
	lines lineStarts
	root  *hujson.Value
	path  string // JSON pointer of the object in the file
}

// lineStarts holds the offset at which each line but the first begins.
type lineStarts []int

// newLineStarts returns the line starts of a file.
func newLineStarts(src []byte) lineStarts {
	var out lineStarts
	for i, b := range src {
		if b == '\n' {
			out = append(out, i+1)
		}
	}
	return out
}

// lineAt returns the line of the offset, counted from 1.
func (l lineStarts) lineAt(offset int) int {
	i, exact := slices.BinarySearch(l, offset)
	if exact {
		i++
	}
	return i + 1
}

// problem returns a Problem for the value at the path relative to the object.
func (l location) problem(path, reason string) Problem {
	full := l.path + path
	p := Problem{File: l.file, Path: full, Reason: reason}
	if l.root != nil {
		p.Line = l.lines.lineOf(l.root, full)
	}
	if p.Path == "" {
		p.Path = "/"
	}
	return p
}

// lineOf returns the line of the value at the path, or of its nearest existing ancestor.
func (l lineStarts) lineOf(root *hujson.Value, path string) int {
	for {
		if v := root.Find(path); v != nil {
			return l.lineAt(v.StartOffset)
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return 1
		}
		path = path[:i]
	}
}

// Parse parses a file of JSON with comments that holds one object or an array
// of objects. It checks the field names and types of every object and returns
// the objects without problems; Validate checks their values.
func Parse(file string, src []byte) ([]Object, []Problem) {
	if len(src) > MaxFileBytes {
		return nil, []Problem{{File: file, Path: "/", Reason: fmt.Sprintf("file is longer than %d bytes", MaxFileBytes)}}
	}
	lines := newLineStarts(src)
	if i := tooDeep(src); i >= 0 {
		return nil, []Problem{{File: file, Line: lines.lineAt(i), Path: "/", Reason: fmt.Sprintf("nested more than %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	loc := location{file: file, lines: lines, root: &root}
	if arr, ok := root.Value.(*hujson.Array); ok {
		return parseArray(loc, arr)
	}
	o, problems := parseObject(loc, &root)
	if len(problems) > 0 {
		return nil, problems
	}
	return []Object{o}, nil
}

// parseArray parses each element of the file's array.
func parseArray(loc location, arr *hujson.Array) ([]Object, []Problem) {
	var objects []Object
	var problems []Problem
	for i := range arr.Elements {
		l := loc
		l.path = "/" + strconv.Itoa(i)
		o, ps := parseObject(l, &arr.Elements[i])
		if len(ps) > 0 {
			problems = append(problems, ps...)
			continue
		}
		objects = append(objects, o)
	}
	return objects, problems
}

// parseObject parses one object and checks the field names and types of the
// object and of its spec.
func parseObject(loc location, v *hujson.Value) (Object, []Problem) {
	var o Object
	if ps := checkShape(v, reflect.TypeOf(o), ""); len(ps) > 0 {
		return o, loc.problems(ps)
	}
	if err := decode(v, &o); err != nil {
		return o, []Problem{loc.problem("", err.Error())}
	}
	o.at = loc
	doc := newDocument(o.Kind)
	switch {
	case doc == nil:
		return o, []Problem{loc.problem("/kind", fmt.Sprintf("unknown kind %q; must be one of %v", o.Kind, kindOrder))}
	case o.Delete && o.Spec != nil:
		return o, []Problem{loc.problem("/spec", "an object to be deleted must not have a spec")}
	case o.Delete:
		return o, nil
	case o.Spec == nil:
		return o, []Problem{loc.problem("", "spec is missing")}
	}
	ps := checkShape(v.Find("/spec"), reflect.TypeOf(doc).Elem(), "/spec")
	return o, loc.problems(ps)
}

// problems returns the field problems of the object as Problems.
func (l location) problems(ps []fieldProblem) []Problem {
	out := make([]Problem, 0, len(ps))
	for _, p := range ps {
		out = append(out, l.problem(p.path, p.reason))
	}
	return out
}

// decode decodes a JSON value that may contain comments.
func decode(v *hujson.Value, out any) error {
	plain := v.Clone()
	plain.Minimize() //nolint:misspell // the library's name
	return json.Unmarshal(plain.Pack(), out)
}

// syntaxPosition matches line, column and text in a syntax error of the parser.
var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// syntaxProblem turns an error of the parser into a Problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Path: "/", Reason: err.Error()}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Reason = fmt.Sprintf("invalid JSON at column %s: %s", m[2], m[3])
	}
	return p
}
