package endpoint

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// idleConnsPerEndpoint is the maximum number of pooled idle connections per endpoint.
const idleConnsPerEndpoint = 2

// newTransport returns a transport for HTTP/1.1 without redirects, proxies,
// compression or cookies. With pooled unset it opens a new connection for each
// request; the transport then never sends a request a second time, because
// net/http resends only requests on reused connections.
func newTransport(d *dialer, pooled bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            d.dial,
		DialTLSContext:         d.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      !pooled,
		MaxIdleConnsPerHost:    idleConnsPerEndpoint,
		IdleConnTimeout:        d.noProgress,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes is the maximum size of a response's header.
const maxHeaderBytes = 64 << 10

// exchange is one request over a new connection.
type exchange struct {
	conn atomic.Pointer[conn]
}

// do sends req. It clears GetBody, so that net/http can't rewind a body and send
// the request again.
func (x *exchange) do(t *http.Transport, req *http.Request) (*http.Response, error) {
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			x.conn.Store(c)
			c.ExpectHead()
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
	req.GetBody = nil
	return t.RoundTrip(req)
}

// provenUnsent reports whether no byte of the request has been or will be sent. It
// seals the connection to make sure.
func (x *exchange) provenUnsent() bool {
	c := x.conn.Load()
	return c == nil || c.seal()
}

// readAll reads a body, or returns errBodyTooLarge if it exceeds limit bytes.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLarge
	}
	return data, nil
}

// retryAfter returns the duration in the header Retry-After, in seconds; zero
// if the header is missing, invalid or above maxRetryAfter.
func retryAfter(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get("Retry-After") + "s")
	if err != nil || d < 0 || d > maxRetryAfter {
		return 0
	}
	return d
}

// maxRetryAfter is the longest Retry-After that is accepted.
const maxRetryAfter = time.Hour
