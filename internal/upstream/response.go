package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is the response of an endpoint. The caller must call Close when it has finished
// reading the body.
type Response struct {
	Status int
	Header http.Header
	Meta   Meta
	// Length is the length of the body, -1 if not stated.
	Length int64
	// EndsWithConnection is set if only the end of the connection marks the end of the
	// body. An end that may be that of the endpoint is an error; other incomplete bodies can't be told.
	EndsWithConnection bool
	// Body returns an error once the response exceeds the limit of the request.
	Body io.Reader

	client       *Client
	conn         *conn
	ctx          context.Context // of the exchange
	began        time.Time       // when the header had arrived
	lastOnConn   bool            // the connection can't be reused after this response
	bodyComplete bool            // the body was read to its end
	stopCancel   func() bool     // keeps the end of the context from closing the connection
}

// idleTimeout returns how long the connection may be idle before it is no longer reused,
// from the header Keep-Alive if it states a timeout.
func idleTimeout(h http.Header, fallback time.Duration) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return fallback
}

// bodyReader records when the body has been read to its end, and enforces LimitBody.
type bodyReader struct {
	response *Response
	body     io.Reader
	left     int64 // bytes that may still be read
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.left -= int64(n); b.left < 0 {
		err = limitError{LimitBody}
		b.response.client.reportExceeded(err)
		return n, err
	}
	if errors.Is(err, io.EOF) {
		return n, b.end(n)
	}
	return n, err
}

// end processes the end of the body, after n last bytes, and returns the error of the read.
func (b *bodyReader) end(n int) error {
	r := b.response
	if r.EndsWithConnection && !r.bodyComplete {
		if n > 0 {
			return nil // what has arrived need not wait; the next read ends again
		}
		if err := r.client.checkEnd(r.ctx, r.conn, r.began); err != nil {
			return err
		}
	}
	r.bodyComplete = true
	return io.EOF
}

// Close ends the exchange. The connection is reused if the request was written and the
// response read completely and no further bytes have arrived. Otherwise it is closed, upon
// which most endpoints cancel the request.
func (r *Response) Close() {
	if r.stopCancel != nil && !r.stopCancel() {
		return // the context has ended, which closed the connection
	}
	if r.bodyComplete && !r.lastOnConn && r.conn.writes.Complete() && r.conn.reader.Buffered() == 0 {
		r.client.putIdle(r.conn)
		return
	}
	r.conn.Close()
}

// Abort closes the connection, also while the body is being read. It must not be called after Close.
func (r *Response) Abort() { r.conn.Close() }
