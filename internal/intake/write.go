package intake

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// lingerReset is the value for net.TCPConn.SetLinger with which closing a connection resets it.
const lingerReset = 0

// Write implements net.Conn. The write deadline bounds how long the client may read nothing: it is extended while the
// client reads.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.beginWrite(b) {
		return 0, ErrRefused
	}
	defer c.endWrite()
	written := 0
	for {
		n, err := c.Conn.Write(b[written:])
		written += n
		if c.listener.opts.WriteTimeout == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 || c.aborted.Load() {
			// The HTTP server closes the connection next: what the kernel holds is freed at once.
			c.SetLinger(lingerReset)
			return written, err
		}
		// The error is ignored: the next write shows it.
		_ = c.SetWriteDeadline(time.Now().Add(c.listener.opts.WriteTimeout))
	}
}

// beginWrite records that a response is begun. It returns false if the connection was refused.
func (c *Conn) beginWrite(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || !isInformational(b)
	c.writingSince = time.Now()
	return c.phase != phaseRefused
}

// endWrite records that what was written has been taken.
func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
}

// SetWriteDeadline implements net.Conn. It has no effect on a connection that was aborted.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.aborted.Load() {
		return c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	return err
}

// Abort makes the present write and all further ones fail.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	// The error is ignored: a connection that has ended is not written to.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
}

// Close implements net.Conn. The HTTP server calls it once it has let go of all that it held for the connection.
func (c *Conn) Close() error {
	err := c.closeSocket()
	c.holding.Close()
	return err
}

// closeSocket ends the connection while the HTTP server may still hold a part of a request.
func (c *Conn) closeSocket() error {
	c.mu.Lock()
	c.wait.end()
	c.mu.Unlock()
	c.listener.room.remove(c)
	return c.Conn.Close()
}

// isInformational reports whether what is written is a response that another one follows.
func isInformational(b []byte) bool {
	const begin = "HTTP/1.1 1"
	return len(b) >= len(begin) && string(b[:len(begin)]) == begin
}

// SetLinger sets how the connection ends when it is closed, as net.TCPConn.SetLinger does.
func (c *Conn) SetLinger(seconds int) {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		// The error is ignored: it is returned only for a closed connection.
		_ = tcp.SetLinger(seconds)
	}
}

// maxUnsentBytes is how much the kernel holds of what was written to a client and can't be sent yet,
// because the client does not read. What is beyond it waits in the process, which counts it.
const maxUnsentBytes = 16 << 10

// limitUnsent sets maxUnsentBytes for a connection.
func limitUnsent(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Errors are ignored: without the option the kernel holds more.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
