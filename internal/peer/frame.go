package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

const (
	// maxFrameBytes bounds one JSON-RPC object of a peer.
	maxFrameBytes = 4 << 20
	// maxStrangerFrameBytes bounds one of a side that has not proved the key.
	maxStrangerFrameBytes = 4 << 10
	// frameOverheadBytes is more than what JSON-RPC puts around parameters.
	frameOverheadBytes = 1 << 10
)

// frameCodec writes JSON-RPC objects behind their length, and refuses larger
// ones than limit says before reading them. account, if set, is told the size
// of each frame.
type frameCodec struct {
	limit   func() uint64
	account *account
}

// fixedLimit is a limit that never changes.
func fixedLimit(n uint64) func() uint64 { return func() uint64 { return n } }

// WriteObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(data) > maxFrameBytes {
		return trace.LimitExceeded("message of %d bytes is over %d", len(data), maxFrameBytes)
	}
	head := binary.AppendUvarint(nil, uint64(len(data)))
	if _, err := w.Write(head); err != nil {
		return trace.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return trace.Wrap(err)
	}
	c.account.wrote(len(head) + len(data))
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec. The memory it takes grows with
// what comes, not with the length that was announced.
func (c frameCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err // io.EOF must stay recognisable to the JSON-RPC library
	}
	if limit := c.limit(); size > limit {
		return trace.LimitExceeded("message of %d bytes is over %d", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return trace.Wrap(err)
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	c.account.read(len(binary.AppendUvarint(nil, size)) + len(data))
	return trace.Wrap(json.Unmarshal(data, v))
}
