package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/framing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// maxInlineWrite is the size up to which a request is written before its response is
	// read. It fits the send buffer of any connection, so that the write does not block.
	maxInlineWrite = 2 << 10
	// longBodyBytes is the size of a body beyond which an endpoint may not take all of it before it
	// begins to read.
	longBodyBytes = 64 << 10
	// maxForeignResponses is the number of responses to other requests that are discarded
	// before the exchange fails.
	maxForeignResponses = 2
	// maxForeignBytes is the size of such a response's body up to which it is read. After
	// a larger one the connection is closed.
	maxForeignBytes = 256 << 10
	// idleMargin is how long before the endpoint's idle timeout a connection is no
	// longer reused, so that the endpoint does not close it during a request.
	idleMargin = time.Second
)

// Request is one request to an endpoint.
type Request struct {
	ID     entity.RequestID
	To     *catalog.Endpoint
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI  string
	Host string
	// Header is modified by Do.
	Header http.Header
	Body   []byte
	// Remaining is how long the endpoint may work on the request.
	Remaining time.Duration
	// LastEventID is the id of the last event that the caller received of a resumed
	// stream, empty for any other request.
	LastEventID string
	// MaxBodyBytes limits the body of the response, 0 for DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Carriers holds the connections on which the request was sent before; Do adds its own. It must be set
	// if the request may be sent more than once.
	Carriers *Carriers
}

// Carriers holds the connections on which a request was sent. An endpoint may send a second copy of a
// response on the connection of the first, so the request is not sent on one of them again: a response names
// its request, but not which sending of it. The zero value holds none.
type Carriers struct{ conns []*conn }

// has reports whether a connection is among them.
func (c *Carriers) has(k *conn) bool { return c != nil && slices.Contains(c.conns, k) }

// add adds a connection.
func (c *Carriers) add(k *conn) {
	if c != nil {
		c.conns = append(c.conns, k)
	}
}

// maxBodyBytes returns the limit on the body of the response.
func (r *Request) maxBodyBytes() int64 {
	if r.MaxBodyBytes > 0 {
		return r.MaxBodyBytes
	}
	return DefaultMaxBodyBytes
}

// Do sends a request, at most once, and reads the header of its response. The error wraps a
// *verdict.Error. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	k, err := c.connection(ctx, r.To.Address, r.Carriers)
	if err != nil {
		return nil, notConnected(r.To, err)
	}
	if ctx.Err() != nil {
		c.putIdle(k)
		return nil, notConnected(r.To, ctx.Err())
	}
	r.Carriers.add(k)
	stop := context.AfterFunc(ctx, func() { k.Close() })
	resp, err := c.exchange(ctx, k, r)
	if err != nil {
		stop()
		k.Close()
		c.reportExceeded(err)
		return nil, noResponse(r.To, err)
	}
	resp.stopCancel = stop
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, k *conn, r Request) (*Response, error) {
	c.opts.HeaderCodec.SetDispatchHeaders(r.Header, r.To.ID, r.Remaining, r.LastEventID)
	head := requestHead(r)
	k.exchanges++
	written := k.writes.Begin()
	if len(head)+len(r.Body) <= maxInlineWrite {
		_, err := k.Write(append(head, r.Body...))
		written(err)
		if err != nil {
			return nil, err
		}
	} else {
		if len(r.Body) > longBodyBytes {
			k.allowUnacknowledged(longWriteTimeout)
			defer k.allowUnacknowledged(userTimeout)
		}
		go writeRequest(k, head, r.Body, written)
	}
	resp, err := c.readResponse(k, r)
	if err == nil {
		resp.ctx = ctx
	}
	return resp, err
}

// writeRequest writes a request and reports the end of that. A failed write shows as an error when the response is
// read, or in the end of the connection.
func writeRequest(k *conn, head, body []byte, written func(error)) {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(k.Conn)
	written(err)
}

// requestHead returns the request line and the headers.
func requestHead(r Request) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// reportExceeded reports the limit that caused err, if one did.
func (c *Client) reportExceeded(err error) {
	if limit, ok := ExceededLimit(err); ok && c.opts.OnLimitExceeded != nil {
		c.opts.OnLimitExceeded(limit)
	}
}

// readResponse reads response headers until one belongs to the request.
func (c *Client) readResponse(k *conn, r Request) (*Response, error) {
	for foreign := 0; ; {
		//nolint:bodyclose // the Response reads the body and closes the connection
		resp, err := readHead(k, r.Method)
		if err != nil {
			return nil, err
		}
		meta := c.opts.HeaderCodec.ReadResponse(resp.StatusCode, resp.Header)
		if meta.RequestID == r.ID || (meta.RequestID == "" && k.exchanges == 1) {
			if r.Method != http.MethodHead && resp.ContentLength > r.maxBodyBytes() {
				return nil, limitError{LimitBody}
			}
			return c.newResponse(k, resp, meta, &r), nil
		}
		if foreign++; foreign > maxForeignResponses {
			return nil, errForeign
		}
		if err := skipForeign(resp); err != nil {
			return nil, err
		}
	}
}

// skipForeign reads the body of a response to another request to its end: a body that is read in part would be
// taken for the next response.
func skipForeign(resp *http.Response) error {
	if endsWithConnection(resp) || resp.ContentLength > maxForeignBytes {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		return errForeign
	}
	return err
}

// endsWithConnection reports whether only the end of the connection marks the end of a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readHead reads the status line and the headers of the next response that is not
// informational.
func readHead(k *conn, method string) (*http.Response, error) {
	begun, _ := k.reader.Peek(k.reader.Buffered()) // can't fail: they are there
	if err := k.source.startHead(begun); err != nil {
		return nil, err
	}
	defer k.source.endHead()
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if k.source.failed != nil {
			return nil, k.source.failed
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
			resp.Body = framing.NewChunkedBody(k.reader)
		}
		return resp, nil
	}
	return nil, limitError{LimitInformational}
}

// errForeign is returned if an endpoint sends too many responses to other requests, or one
// that can't be skipped.
var errForeign = errors.New("the connection carries answers to other requests")

func (c *Client) newResponse(k *conn, resp *http.Response, meta Meta, r *Request) *Response {
	if r, ok := k.Conn.(Relayed); ok {
		meta.Through = r.Relay()
	}
	idle := idleTimeout(resp.Header, c.opts.IdleTimeout)
	k.usableUntil = time.Now().Add(idle)
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Meta: meta, Length: resp.ContentLength,
		EndsWithConnection: endsWithConnection(resp),
		client:             c, conn: k, began: time.Now(), lastOnConn: resp.Close || idle <= 0,
	}
	out.Body = &bodyReader{response: out, body: resp.Body, left: r.maxBodyBytes()}
	return out
}

// notConnected returns the error for a request for which no connection could be opened.
func notConnected(to *catalog.Endpoint, err error) error {
	reason := verdict.ReasonConnectionLost
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		reason = verdict.ReasonEndpointRefused
	}
	return verdict.New(verdict.NotRun, reason, 0, "no connection to endpoint %s at %s: %v", to.ID, to.Address, err)
}

// noResponse returns the error for a request whose response did not arrive.
func noResponse(to *catalog.Endpoint, err error) error {
	reason := verdict.ReasonConnectionLost
	if _, ok := ExceededLimit(err); ok {
		reason = verdict.ReasonAnswerTooLarge
	}
	if errors.Is(err, framing.ErrMalformed) {
		reason = verdict.ReasonAnswerMalformed
	}
	return failedExchange{
		error: verdict.New(verdict.MayHaveRun, reason, 0, "no answer from endpoint %s at %s: %v", to.ID, to.Address, err),
		cause: err,
	}
}

// failedExchange is an error with a verdict that also wraps its cause.
type failedExchange struct {
	error
	cause error
}

// Unwrap returns the error with the verdict and the cause.
func (e failedExchange) Unwrap() []error { return []error{e.error, e.cause} }

// ClosedByEndpoint reports whether an exchange failed because the endpoint closed or reset
// the connection, as when its process ends.
func ClosedByEndpoint(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
