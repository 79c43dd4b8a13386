package tunnel

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// firstByte begins the opening of a tunnel. No message between instances has length zero.
	firstByte = 0
	// methodOpen is the JSON-RPC method that opens a tunnel.
	methodOpen = "open"
	// maxOpenBytes limits a request and a response of the opening exchange.
	maxOpenBytes = 4 << 10
)

// openParams are the parameters of methodOpen.
type openParams struct {
	// Address is the endpoint's address, host:port.
	Address string `json:"address"`
	// MAC authenticates the address with the key that instances share.
	MAC []byte `json:"mac"`
}

// openResult is the result of methodOpen.
type openResult struct {
	// ReportsEnd is set if the tunnel ends regularly only if the endpoint has ended its connection. Servers
	// of earlier versions don't set it.
	ReportsEnd bool `json:"reports_end,omitempty"`
}

// Code is the reason why a tunnel was not opened.
type Code int64

// The codes, as they appear in JSON-RPC errors.
const (
	// CodeNotAllowed: the server knows no endpoint with the address, or the key is wrong.
	CodeNotAllowed Code = 1
	// CodeRefused: the endpoint's host refused the connection.
	CodeRefused Code = 2
	// CodeUnreachable: the server got no connection to the endpoint in time.
	CodeUnreachable Code = 3
	// CodeCutOff: the server does not reach endpoints itself.
	CodeCutOff Code = 4
	// CodeBusy: the server opens no further tunnels.
	CodeBusy Code = 5
)

// OpenError is returned if a server did not open a tunnel.
type OpenError struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *OpenError) Error() string { return "no tunnel: " + e.Message }

// mac authenticates an address.
func mac(key []byte, address string) []byte {
	h := hmac.New(sha256.New, key)
	// Writes to a hash never fail.
	_, _ = io.WriteString(h, "tunnel to "+address)
	return h.Sum(nil)
}

// writeObject writes a JSON-RPC object with its length.
func writeObject(w io.Writer, head []byte, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = w.Write(append(binary.AppendUvarint(head, uint64(len(data))), data...))
	return trace.Wrap(err)
}

// byteReader reads single bytes: what follows an object belongs to the tunnel.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// readObject reads a JSON-RPC object with its length, and no byte beyond it.
func readObject(r io.Reader, v any) error {
	size, err := binary.ReadUvarint(byteReader{r})
	if err != nil {
		return trace.Wrap(err)
	}
	if size > maxOpenBytes {
		return trace.LimitExceeded("an object of %d bytes, %d are allowed", size, maxOpenBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, v))
}

// newRequest returns the request that opens a tunnel.
func newRequest(key []byte, address string) (*jsonrpc2.Request, error) {
	req := &jsonrpc2.Request{Method: methodOpen}
	err := req.SetParams(openParams{Address: address, MAC: mac(key, address)})
	return req, trace.Wrap(err)
}
