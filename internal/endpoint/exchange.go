package endpoint

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// idleConnsPerEndpoint bounds the pooled connections to one endpoint.
const idleConnsPerEndpoint = 2

// newTransport returns a transport for HTTP/1.1 without redirects, proxies,
// compression or cookies. With pooled unset, each request has a connection of
// its own; the transport then never sends a request a second time.
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

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// exchange is one request over a connection of its own.
type exchange struct {
	conn atomic.Pointer[conn]
}

// do sends req. Its body, if any, can't be rewound, so that nothing below can
// send it again.
func (x *exchange) do(t *http.Transport, req *http.Request) (*http.Response, error) {
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			x.conn.Store(c)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
	req.GetBody = nil
	return t.RoundTrip(req)
}

// untouched proves that no byte of the request was or will be sent.
func (x *exchange) untouched() bool {
	c := x.conn.Load()
	return c == nil || c.seal()
}

// readAll reads a body of up to limit bytes.
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

// retryAfter reads the header Retry-After in seconds; zero if there is none.
func retryAfter(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get("Retry-After") + "s")
	if err != nil || d < 0 || d > maxRetryAfter {
		return 0
	}
	return d
}

// maxRetryAfter is the longest time to come back that is believed.
const maxRetryAfter = time.Hour
