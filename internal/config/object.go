package config

import (
	"encoding/json"
	"fmt"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Stream is the stream of the log service that carries configuration.
const Stream platform.Stream = "config"

// Revision is the version of a state or of an object: the offset of the record
// that produced it plus one. 0 means that no record has been applied.
type Revision int64

// revisionAt returns the revision that the record at the offset produces.
func revisionAt(o platform.Offset) Revision { return Revision(o) + 1 }

// Object is one object of a configuration file.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// BasedOn is the revision of the object that the operator has seen; nil
	// stands for the current one at the time of publishing.
	BasedOn *Revision `json:"based_on,omitempty"`
	// Delete requests the deletion of the object.
	Delete bool            `json:"delete,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`

	at location
}

// Problem describes an error in a configuration file and its location.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 if the problem has no position in the file.
	Line int `json:"line"`
	// Path is the JSON pointer of the value, such as /0/spec/tiers/1.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String formats the problem as file:line: path: reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Reason)
}

// fieldProblem is a problem of one object; path is a JSON pointer relative to
// the object or to its spec.
type fieldProblem struct {
	path   string
	reason string
}

// problemf returns a fieldProblem with a formatted reason.
func problemf(path, format string, args ...any) fieldProblem {
	return fieldProblem{path: path, reason: fmt.Sprintf(format, args...)}
}

// kindOrder lists the kinds in dependency order: an object refers only to
// objects of kinds that come earlier.
var kindOrder = []Kind{KindDeployment, KindPool, KindModel, KindEndpoint, KindContract}

// rank returns the kind's index in kindOrder, or -1 for an unknown kind.
func (k Kind) rank() int {
	for i, o := range kindOrder {
		if o == k {
			return i
		}
	}
	return -1
}

// Kinds returns the kinds of object in dependency order, see kindOrder.
func Kinds() []Kind { return append([]Kind(nil), kindOrder...) }
