package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes holds the header of an answer and a few events.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that
	// went silent while nothing is sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout ends a connection whose bytes nobody acknowledges.
	userTimeout = 1500 * time.Millisecond
)

// conn is one connection to an endpoint. One exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// exchanges counts the requests that were written to it.
	exchanges int
	// usableUntil is when the endpoint may close it.
	usableUntil time.Time
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// setUserTimeout sets the time limit on unacknowledged bytes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// reusable says that the connection is open and that no byte waits on it: one
// that has sent something unasked can't be trusted with a request.
func (k *conn) reusable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
