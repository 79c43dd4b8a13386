// Package hopbyhop names the HTTP headers that are meant for one connection
// only and must not be passed on.
package hopbyhop

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists them; the header Connection may name more.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Drop removes the headers that are meant for one connection only.
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
