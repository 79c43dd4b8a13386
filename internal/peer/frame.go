package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
)

// maxFrameBytes bounds one JSON-RPC object of a peer.
const maxFrameBytes = 4 << 20

// frameCodec writes JSON-RPC objects behind their length, and refuses larger
// ones than maxFrameBytes before reading them.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
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
	_, err = w.Write(data)
	return trace.Wrap(err)
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err // io.EOF must stay recognisable to the JSON-RPC library
	}
	if size > maxFrameBytes {
		return trace.LimitExceeded("message of %d bytes is over %d", size, maxFrameBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, v))
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}
