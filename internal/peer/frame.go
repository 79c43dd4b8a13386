package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

const (
	// maxFrameBytes is the maximum size of a JSON-RPC object from a peer.
	maxFrameBytes = 4 << 20
	// maxUnauthenticatedFrameBytes is the maximum size of a JSON-RPC object from a
	// client that has not proved the peer key.
	maxUnauthenticatedFrameBytes = 4 << 10
	// frameOverheadBytes is an upper bound on what JSON-RPC adds to the parameters.
	frameOverheadBytes = 1 << 10
)

// frameCodec encodes each JSON-RPC object as a frame: its length in bytes as an
// unsigned varint, then the JSON. A received frame that is longer than limit()
// is refused before its JSON is read. counter, if not nil, counts the bytes of
// each frame.
type frameCodec struct {
	limit   func() uint64
	counter *trafficCounter
}

// constantLimit returns a limit function that always returns n.
func constantLimit(n uint64) func() uint64 { return func() uint64 { return n } }

// WriteObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(data) > maxFrameBytes {
		return trace.LimitExceeded("message of %d bytes exceeds the limit of %d bytes", len(data), maxFrameBytes)
	}
	head := binary.AppendUvarint(nil, uint64(len(data)))
	if _, err := w.Write(head); err != nil {
		return trace.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return trace.Wrap(err)
	}
	c.counter.frameWritten(len(head) + len(data))
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec. It allocates memory as data
// arrives, not by the announced length, so that a false length does not cause a
// large allocation.
func (c frameCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err // not wrapped: the JSON-RPC library compares it with io.EOF
	}
	if limit := c.limit(); size > limit {
		return trace.LimitExceeded("message of %d bytes exceeds the limit of %d bytes", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return trace.Wrap(err)
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	c.counter.frameRead(len(binary.AppendUvarint(nil, size)) + len(data))
	return trace.Wrap(json.Unmarshal(data, v))
}
