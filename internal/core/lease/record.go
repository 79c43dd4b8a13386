package lease

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// recordVersion is the version of the record format.
const recordVersion = 1

type opCode string

const (
	opAcquire opCode = "acquire"
	opRenew   opCode = "renew"
	opRelease opCode = "release"
)

// record is one record of the stream.
type record struct {
	Version int               `json:"v"`
	ID      uint64            `json:"id"` // sequence number of the sender's append
	Lease   Name              `json:"lease"`
	From    entity.InstanceID `json:"from"`
	Op      opCode            `json:"op"`
	// Basis of an acquisition is the offset up to which the sender had read the stream.
	Basis platform.Offset `json:"basis,omitempty"`
	// Fence of a renewal or release is the offset of the acquisition.
	Fence platform.Offset `json:"fence,omitempty"`
	// Term is the term of the lease in milliseconds.
	Term int64 `json:"term,omitempty"`
}

func encode(r record) []byte {
	r.Version = recordVersion
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return b
}

func decode(data []byte) (record, error) {
	var r record
	if len(data) > maxRecordBytes {
		return r, trace.LimitExceeded("lease: record of %d bytes", len(data))
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, trace.Wrap(err)
	}
	if r.Version != recordVersion || r.Lease == "" || r.From == "" {
		return r, trace.BadParameter("lease: bad record")
	}
	return r, nil
}

func (r *record) term() time.Duration { return time.Duration(r.Term) * time.Millisecond }
