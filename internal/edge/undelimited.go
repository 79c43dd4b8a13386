package edge

import (
	"net/http"

	"github.com/medlarhold/medlarhold/internal/intake"
)

// Values for net.TCPConn.SetLinger.
const (
	lingerReset   = 0  // closing the connection resets it
	lingerDefault = -1 // closing the connection sends what is left
)

// undelimited reports whether only the end of the caller's connection marks the end of a
// response of this length (HTTP/1.0). Length is -1 if not known.
func undelimited(r *http.Request, length int64) bool {
	return length < 0 && !r.ProtoAtLeast(1, 1)
}

// setLinger sets how the connection of the call's caller ends when it is closed, by
// whomever: the HTTP server, or the kernel when the process dies.
func (c *call) setLinger(seconds int) {
	if conn := intake.ConnOf(c.r); conn != nil {
		conn.SetLinger(seconds)
	}
}
