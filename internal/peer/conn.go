package peer

import (
	"net"
	"time"
)

// timeoutConn is a connection that fails when it makes no progress: when a write
// takes longer than writeTimeout or, unless readTimeout is zero, when nothing
// arrives for readTimeout.
type timeoutConn struct {
	net.Conn
	writeTimeout, readTimeout time.Duration
}

// Read implements io.Reader.
func (c timeoutConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
