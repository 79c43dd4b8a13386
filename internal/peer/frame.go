package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// maxFrameBytes bounds one JSON-RPC object of a peer.
const maxFrameBytes = 4 << 20

// writeFrame writes a JSON-RPC object behind its length, and returns the bytes
// of both.
func writeFrame(w io.Writer, obj any) (int, error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(data) > maxFrameBytes {
		return 0, trace.LimitExceeded("message of %d bytes is over %d", len(data), maxFrameBytes)
	}
	head := binary.AppendUvarint(nil, uint64(len(data)))
	if _, err := w.Write(head); err != nil {
		return 0, trace.Wrap(err)
	}
	_, err = w.Write(data)
	return len(head) + len(data), trace.Wrap(err)
}

// readFrame reads what writeFrame wrote, and refuses objects larger than
// maxFrameBytes before reading them.
func readFrame(r *bufio.Reader, v any) (int, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err // io.EOF must stay recognisable to the JSON-RPC library
	}
	if size > maxFrameBytes {
		return 0, trace.LimitExceeded("message of %d bytes is over %d", size, maxFrameBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, trace.Wrap(err)
	}
	return len(binary.AppendUvarint(nil, size)) + len(data), trace.Wrap(json.Unmarshal(data, v))
}
