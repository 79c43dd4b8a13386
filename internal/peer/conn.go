package peer

import (
	"net"
	"time"
)

// boundedConn is a connection that ends when it makes no progress: a write
// that is stuck for writeTimeout, and, unless readTimeout is zero, a time that
// long in which nothing comes.
type boundedConn struct {
	net.Conn
	writeTimeout, readTimeout time.Duration
}

// Read implements io.Reader.
func (c boundedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
