package claim

import (
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// recordVersion is the version of the record format.
const recordVersion = 1

// record is one record of a shard's stream. It holds the entries of one batch.
type record struct {
	Version int     `json:"v"`
	ID      BatchID `json:"id"`
	Entries []entry `json:"e"`
}

// maxStatus is the highest HTTP status of an outcome.
const maxStatus = 999

// opCode is the kind of an entry.
type opCode string

const (
	opClaim  opCode = "c"
	opSettle opCode = "s"
)

// entry is one claim or one outcome. Durations and times are in milliseconds,
// to keep records short.
type entry struct {
	Op      opCode           `json:"o"`
	Key     Hash             `json:"k"`
	Request entity.RequestID `json:"r"`

	// Fields of a claim. Basis is the offset up to which the sender had read the
	// stream and found the key free. Window is how long the claim holds its key, and
	// EndsIn how long after the claim its run may last. The claim counts only at log
	// times from NotBefore on and before NotAfter; zero means no bound.
	Basis     platform.Offset `json:"p,omitempty"`
	Body      Hash            `json:"b,omitzero"`
	Window    int64           `json:"w,omitempty"`
	EndsIn    int64           `json:"n,omitempty"`
	NotBefore int64           `json:"nb,omitempty"`
	NotAfter  int64           `json:"na,omitempty"`

	// Fields of an outcome.
	Verdict verdict.Verdict `json:"vd,omitempty"`
	Reason  verdict.Reason  `json:"rs,omitempty"`
	Status  int             `json:"st,omitempty"`
	Answer  []byte          `json:"a,omitempty"`

	from entity.InstanceID // where the acknowledgement of an outcome is sent; not in the log
}

func encode(id BatchID, entries []entry) []byte {
	b, err := json.Marshal(record{Version: recordVersion, ID: id, Entries: entries})
	if err != nil {
		panic(err) // plain data always encodes
	}
	return b
}

// decode parses and checks a record. Every reader of the stream applies the same
// checks, so a record that fails them is ignored by all.
func decode(data []byte) (record, error) {
	var r record
	if len(data) > maxRecordBytes {
		return r, trace.LimitExceeded("claim: record of %d bytes", len(data))
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, trace.Wrap(err)
	}
	if r.Version != recordVersion {
		return r, trace.BadParameter("claim: record version %d", r.Version)
	}
	for i := range r.Entries {
		if err := r.Entries[i].check(); err != nil {
			return r, trace.Wrap(err)
		}
	}
	return r, nil
}

// check returns an error if a field is out of range or the kind is unknown.
func (e *entry) check() error {
	switch {
	case !validID(string(e.Request)):
		return trace.BadParameter("claim: bad request id %q", e.Request)
	case len(e.Reason) > MaxIDBytes:
		return trace.LimitExceeded("claim: reason of %d bytes", len(e.Reason))
	case e.Op == opClaim && e.Window > 0 && e.EndsIn > 0:
		return nil
	case e.Status < 0 || e.Status > maxStatus:
		return trace.BadParameter("claim: status %d", e.Status)
	case len(e.Answer) > MaxAnswerBytes:
		return trace.LimitExceeded("claim: answer of %d bytes", len(e.Answer))
	case e.Op == opSettle && (e.Verdict == verdict.Ran || e.Verdict == verdict.NotRun || e.Verdict == verdict.MayHaveRun):
		return nil
	}
	return trace.BadParameter("claim: bad entry of kind %q", e.Op)
}

// validID reports whether an id can be stored in a record and read back unchanged.
func validID(id string) bool { return id != "" && len(id) <= MaxIDBytes && utf8.ValidString(id) }

func millis(d time.Duration) int64 { return d.Milliseconds() }

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
