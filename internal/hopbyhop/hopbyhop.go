// Package hopbyhop removes hop-by-hop HTTP headers, which apply to a single connection
// and must not be forwarded (RFC 9110, section 7.6.1).
package hopbyhop

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the fixed hop-by-hop headers; the header Connection may name more.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Drop removes the hop-by-hop headers from h, including those named by its header Connection.
func Drop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
