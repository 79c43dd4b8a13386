package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"
)

const schemaFile = "../../docs/schema/config.schema.json"

// schemaDef is the part of a schema definition that the tests use.
type schemaDef struct {
	Description string               `json:"description"`
	Type        string               `json:"type"`
	Ref         string               `json:"$ref"`
	Enum        []string             `json:"enum"`
	Properties  map[string]schemaDef `json:"properties"`
	Items       *schemaDef           `json:"items"`
}

func readSchema(t *testing.T) map[string]schemaDef {
	t.Helper()
	src, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	var root struct {
		Defs map[string]schemaDef `json:"$defs"`
	}
	if err := json.Unmarshal(src, &root); err != nil {
		t.Fatal(err)
	}
	return root.Defs
}

// schemaType returns the JSON schema type for a Go type.
func schemaType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return schemaType(t.Elem())
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "array"
	default:
		return "object"
	}
}

func TestSchemaAndGoTypesAgree(t *testing.T) {
	defs := readSchema(t)
	types := map[string]reflect.Type{"object": reflect.TypeFor[Object](), "call_pattern": reflect.TypeFor[CallPattern]()}
	for _, k := range Kinds() {
		types[string(k)] = reflect.TypeOf(newDocument(k)).Elem()
	}
	for name, typ := range types {
		compareDefinition(t, defs, name, defs[name], typ)
	}
}

// compareDefinition compares one schema definition with a struct, field by field.
func compareDefinition(t *testing.T, defs map[string]schemaDef, path string, def schemaDef, typ reflect.Type) {
	t.Helper()
	fields := jsonFields(typ)
	for name, ft := range fields {
		p, ok := def.Properties[name]
		if !ok {
			t.Errorf("%s: the schema has no %q", path, name)
			continue
		}
		if p.Description == "" {
			t.Errorf("%s: %q has no description", path, name)
		}
		resolved := p
		if p.Ref != "" {
			resolved = defs[p.Ref[len("#/$defs/"):]]
		}
		if len(p.Enum) > 0 {
			resolved.Type = "string"
		}
		if ft != rawMessage && resolved.Type != schemaType(ft) {
			t.Errorf("%s: %q is %q in the schema, %v in Go", path, name, resolved.Type, ft)
		}
		if ft.Kind() == reflect.Struct {
			compareDefinition(t, defs, path+"/"+name, p, ft)
		}
	}
	for name := range def.Properties {
		if _, ok := fields[name]; !ok {
			t.Errorf("%s: the schema has %q, the Go type does not", path, name)
		}
	}
}

func TestDocsDescribeEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, def := range readSchema(t) {
		for field, p := range def.Properties {
			row := fmt.Sprintf("| `%s` |", field)
			if !bytes.Contains(page, []byte(row)) || !bytes.Contains(page, []byte(p.Description)) {
				t.Errorf("docs/CONFIGURATION.md lacks %q of %s, or its description", field, name)
			}
		}
	}
}

// compiledSchema is the compiled schema of configuration files.
type compiledSchema struct{ schema *jsonschema.Schema }

func compileSchema(t *testing.T) compiledSchema {
	t.Helper()
	s, err := jsonschema.NewCompiler().Compile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	return compiledSchema{s}
}

// accepts reports whether a file conforms to the schema.
func (c compiledSchema) accepts(t *testing.T, src []byte) bool {
	t.Helper()
	plain, err := hujson.Standardize(slices.Clone(src))
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(plain))
	if err != nil {
		t.Fatal(err)
	}
	return c.schema.Validate(value) == nil
}

// problemsOf returns the problems that Parse and Validate find in a file.
func problemsOf(src []byte) []Problem {
	objects, problems := Parse("f", src)
	return append(problems, Validate(State{}, objects)...)
}

func TestSchemaAcceptsAValidFile(t *testing.T) {
	src, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	if !compileSchema(t).accepts(t, src) {
		t.Error("the schema rejects testdata/small.json")
	}
}

// wrongValues are edits of testdata/small.json that the schema must reject and in
// which Parse or Validate must find a problem: a path and its new value, or "" to
// remove the field.
var wrongValues = []struct{ path, value string }{
	{"/0/kind", `"colour"`}, {"/0/name", `"a b"`}, {"/0/name", `7`}, {"/0/spec", ``}, {"/0/spec", `[]`},
	{"/0/spec/tiers", ``}, {"/0/spec/tiers", `[]`}, {"/0/spec/tiers/1", `"urgent"`}, {"/0/spec/tiers/1", `""`},
	{"/0/spec/scores/goodput", `1.5`}, {"/0/spec/scores/goodput", `"1"`}, {"/0/spec/colour", `1`},
	{"/1/spec/kind", `"x"`}, {"/1/spec/queue_per_endpoint", `0`}, {"/1/spec/queue_per_endpoint", `1.5`},
	{"/1/spec/max_body_bytes", `0`}, {"/1/spec/max_body_bytes", `67108865`}, {"/1/spec/retry_budget", `-0.1`},
	{"/2/spec/non_idempotent/0/method", `"FETCH"`}, {"/2/spec/non_idempotent/0/path_prefix", `"transfers"`},
	{"/3/spec/min_copies", `-1`}, {"/3/spec/adapters", `["retail","retail"]`}, {"/3/spec/pool", ``},
	{"/4/spec/slots", `0`}, {"/4/spec/slots", `4097`}, {"/4/spec/slots", `null`}, {"/4/spec/address", `"nowhere"`},
	{"/4/spec/zone", `""`}, {"/4/spec/kv_tokens", `-1`}, {"/4/spec/decode_tokens_per_sec", `-1`}, {"/4/spec/leaving", `"no"`},
	{"/6/spec/requests_per_sec", `0`}, {"/6/spec/burst", `0`}, {"/6/spec/max_concurrent", `0`},
	{"/6/spec/key_hashes", `["abc"]`}, {"/6/spec/lose_first", `["a","a"]`}, {"/6/spec/tiers", `[]`},
	{"/6/based_on", `"1"`}, {"/6/delete", `true`},
}

// edit returns testdata/small.json with one value changed, and the line of that value.
func edit(t *testing.T, path, value string) ([]byte, int) {
	t.Helper()
	src, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	root, err := hujson.Parse(src)
	if err != nil {
		t.Fatal(err)
	}
	patch := fmt.Sprintf(`[{"op":"remove","path":%q}]`, path)
	if value != "" {
		patch = fmt.Sprintf(`[{"op":"add","path":%q,"value":%s}]`, path, value)
		if root.Find(path) != nil {
			patch = fmt.Sprintf(`[{"op":"replace","path":%q,"value":%s}]`, path, value)
		}
	}
	if err := root.Patch([]byte(patch)); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	out := root.Pack()
	if root, err = hujson.Parse(out); err != nil {
		t.Fatal(err)
	}
	return out, newLineStarts(out).lineOf(&root, path)
}

// TestSchemaAndValidatorRejectTheSameValues checks that both the schema in docs,
// which editors use, and Parse or Validate reject each of wrongValues, so that the
// two don't diverge.
func TestSchemaAndValidatorRejectTheSameValues(t *testing.T) {
	schema := compileSchema(t)
	for _, w := range wrongValues {
		src, line := edit(t, w.path, w.value)
		if schema.accepts(t, src) {
			t.Errorf("%s = %s: the schema accepts it", w.path, w.value)
		}
		problems := problemsOf(src)
		found := slices.ContainsFunc(problems, func(p Problem) bool {
			return p.Line > 0 && p.Line <= line && len(p.Path) > 1 && p.Path[:2] == w.path[:2]
		})
		if !found {
			t.Errorf("%s = %s: got problems %v, want one in this object at or before line %d", w.path, w.value, problems, line)
		}
	}
}

func TestProblemsHaveLineAndPath(t *testing.T) {
	src, line := edit(t, "/4/spec/models/0", `"none"`)
	want := Problem{File: "f", Line: line, Path: "/4/spec/models/0", Reason: `model "none" does not exist`}
	if got := problemsOf(src); !slices.Contains(got, want) {
		t.Errorf("got problems %v, want them to include %v", got, want)
	}
	got := problemsOf([]byte("// first\n{\n  \"kind\": \"pool\",\n  \"name\": \"p\",\n  oops\n}"))
	if len(got) != 1 || got[0].Line != 5 {
		t.Errorf("syntax error: got %v, want one problem at line 5", got)
	}
	got = problemsOf([]byte("{\"kind\":\"pool\",\n\"kind\":\"pool\",\"name\":\"p\",\"spec\":{}}"))
	if diff := cmp.Diff([]Problem{{File: "f", Line: 1, Path: "/kind", Reason: "duplicate field"}}, got); diff != "" {
		t.Error(diff)
	}
}

// TestDeepNestingIsRefused guards against a stack overflow of the parser, which
// recurses once per level. Brackets in strings and comments must not count.
func TestDeepNestingIsRefused(t *testing.T) {
	deep := bytes.Repeat([]byte("["), 1<<20)
	got := problemsOf(append([]byte("// \"[\n"), deep...))
	if len(got) != 1 || got[0].Line != 2 {
		t.Errorf("deep nesting: got %v, want one problem at line 2", got)
	}
	brackets := string(deep[:2*maxDepth])
	for _, src := range []string{
		"// " + brackets + "\n[]", "/* " + brackets + " */ []", "[ // " + brackets + "\n]",
		`{"kind":"pool","name":"\"` + brackets + `","delete":true}`,
	} {
		for _, p := range problemsOf([]byte(src)) {
			if strings.Contains(p.Reason, "levels") {
				t.Errorf("brackets in a string or comment counted as nesting in %.20s: %v", src, p)
			}
		}
	}
}
