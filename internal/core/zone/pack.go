package zone

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// pack encodes a large value as compressed JSON.
func pack(v any) []byte {
	var out bytes.Buffer
	// An error is impossible: the level is valid, a buffer accepts all writes,
	// and the types that are passed here can be encoded.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_ = json.NewEncoder(w).Encode(v)
	_ = w.Close()
	return out.Bytes()
}

// unpackInto decodes what pack encoded. It reads at most maxBytes after
// decompression.
func unpackInto(data []byte, maxBytes int64, into any) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(r, maxBytes)).Decode(into))
}
