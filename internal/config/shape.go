package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// rawMessage is the type of a field whose shape checkShape does not check.
var rawMessage = reflect.TypeFor[json.RawMessage]()

// checkShape compares a value with the Go type that it will be decoded into,
// and reports unknown and repeated fields and values of the wrong type.
func checkShape(v *hujson.Value, t reflect.Type, path string) []fieldProblem {
	if t == rawMessage {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return checkShape(v, t.Elem(), path)
	case reflect.Struct:
		return checkStruct(v, t, path)
	case reflect.Slice:
		return checkSlice(v, t, path)
	default:
		return checkLiteral(v, t, path)
	}
}

// checkStruct checks an object member by member.
func checkStruct(v *hujson.Value, t reflect.Type, path string) []fieldProblem {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return []fieldProblem{problemf(path, "must be an object")}
	}
	fields := jsonFields(t)
	seen := make(map[string]bool)
	var out []fieldProblem
	for i := range obj.Members {
		name := obj.Members[i].Name.Value.(hujson.Literal).String()
		at := path + "/" + escapePointer(name)
		ft, known := fields[name]
		switch {
		case !known:
			out = append(out, problemf(at, "unknown field"))
		case seen[name]:
			out = append(out, problemf(at, "duplicate field"))
		default:
			out = append(out, checkShape(&obj.Members[i].Value, ft, at)...)
		}
		seen[name] = true
	}
	return out
}

// checkSlice checks an array element by element.
func checkSlice(v *hujson.Value, t reflect.Type, path string) []fieldProblem {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		return []fieldProblem{problemf(path, "must be an array")}
	}
	var out []fieldProblem
	for i := range arr.Elements {
		out = append(out, checkShape(&arr.Elements[i], t.Elem(), path+"/"+strconv.Itoa(i))...)
	}
	return out
}

// checkLiteral checks a string, a boolean or a number.
func checkLiteral(v *hujson.Value, t reflect.Type, path string) []fieldProblem {
	lit, ok := v.Value.(hujson.Literal)
	want := literalName(t.Kind())
	if !ok || lit.Kind() == 'n' {
		return []fieldProblem{problemf(path, "must be %s", want)}
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		return []fieldProblem{problemf(path, "must be %s, not %s", want, abbreviate(string(lit)))}
	}
	return nil
}

// literalName describes the literal that is required for a Go kind.
func literalName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	default:
		return "a number"
	}
}

// jsonFields maps the JSON names of a struct's fields to their types.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); f.IsExported() && name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}

// escapePointer escapes a name for use in a JSON pointer.
func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

// maxQuoted is the maximum length in bytes of a wrong value in a problem.
const maxQuoted = 40

// abbreviate truncates a value to maxQuoted for a message.
func abbreviate(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return fmt.Sprintf("%s...", strings.ToValidUTF8(s[:maxQuoted], ""))
}
