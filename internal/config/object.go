package config

import (
	"encoding/json"
	"fmt"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Stream is the stream of the log service that carries configuration.
const Stream platform.Stream = "config"

// Revision says how far a state or an object has come: one more than the
// offset of the record that made it; 0 stands for nothing yet.
type Revision int64

// revisionAt returns the revision that the record at the offset makes.
func revisionAt(o platform.Offset) Revision { return Revision(o) + 1 }

// Object is one object of a configuration file.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// BasedOn is the revision of the object that the operator has seen; nil
	// takes what stands at the time of publishing.
	BasedOn *Revision `json:"based_on,omitempty"`
	// Delete takes the object away.
	Delete bool            `json:"delete,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`

	at location
}

// Problem says what is wrong with a configuration file, and where.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 if the problem has no place in the file.
	Line int `json:"line"`
	// Path is the JSON pointer of the value, such as /0/spec/tiers/1.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String formats the problem as file:line: path: reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Reason)
}

// fieldProblem is a problem of one document, with the path inside its spec.
type fieldProblem struct {
	path   string
	reason string
}

// problemf makes a fieldProblem.
func problemf(path, format string, args ...any) fieldProblem {
	return fieldProblem{path: path, reason: fmt.Sprintf(format, args...)}
}

// kindOrder lists the kinds so that each refers only to those before it.
var kindOrder = []Kind{KindDeployment, KindPool, KindModel, KindEndpoint, KindContract}

// rank returns the kind's place in kindOrder, or -1 for an unknown kind.
func (k Kind) rank() int {
	for i, o := range kindOrder {
		if o == k {
			return i
		}
	}
	return -1
}

// Kinds lists the kinds of object in the order in which they refer to each other.
func Kinds() []Kind { return append([]Kind(nil), kindOrder...) }
