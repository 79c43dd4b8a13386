package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/framing"
)

const (
	// readBufferBytes is the size of the read buffer, enough for the header of a response
	// and a few events.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes, which detect an unresponsive endpoint while no data is sent. userTimeout decides when
	// they give up, whatever their count: a second after the first probe.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// userTimeout is the TCP_USER_TIMEOUT: a connection is closed if sent bytes or probes stay
	// unacknowledged for this long. A sound endpoint may be silent for a second or so.
	userTimeout = 2 * time.Second
	// longWriteTimeout takes the place of userTimeout while a long request is written: an endpoint
	// that pauses reading it looks the same to the kernel as one that is unreachable.
	longWriteTimeout = 10 * time.Second
)

// Relayed is implemented by connections that pass through another instance.
type Relayed interface {
	// Relay returns that instance.
	Relay() entity.InstanceID
	// ReportsEnd reports whether the connection ends regularly only if the endpoint has ended its own.
	ReportsEnd() bool
}

// conn is one connection to an endpoint. One exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	source  *headReader
	reader  *bufio.Reader // reads from source
	// writes are those of the requests.
	writes framing.Writes
	// exchanges counts the requests written to the connection.
	exchanges int
	// usableUntil is the time after which the endpoint may close the idle connection.
	usableUntil time.Time
	// open lists the connection until it is closed, nil in tests.
	open *openConns
}

// Close implements net.Conn.
func (k *conn) Close() error {
	if k.open != nil {
		k.open.remove(k)
	}
	return k.Conn.Close()
}

func newConn(raw net.Conn, address string) *conn {
	source := &headReader{source: raw}
	return &conn{Conn: raw, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// tcpDialer opens the TCP connections to endpoints.
var tcpDialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control:         setUserTimeout,
}

// DialTCP opens a TCP connection whose other end is noticed to be unreachable within seconds.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpDialer.DialContext(ctx, "tcp", address)
}

// Tune makes the end of a TCP connection that another host has opened noticed as those of DialTCP.
func Tune(conn net.Conn) {
	tcp, ok := conn.(interface {
		syscall.Conn
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if !ok {
		return
	}
	// The errors are ignored: a connection that has ended needs no settings.
	_ = tcp.SetKeepAliveConfig(tcpDialer.KeepAliveConfig)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}

// setUserTimeout sets userTimeout on a socket. It is the Control hook of the dialer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setTimeout(raw, userTimeout)
}

// setTimeout sets TCP_USER_TIMEOUT on a socket.
func setTimeout(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// allowUnacknowledged sets how long what is written may stay unacknowledged.
func (k *conn) allowUnacknowledged(d time.Duration) {
	tcp, ok := k.Conn.(syscall.Conn)
	if !ok {
		return
	}
	// Errors are ignored: a connection that has ended needs no settings.
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setTimeout(raw, d)
	}
}

// reusable reports whether the connection is open and has no unread bytes. Unread bytes
// belong to no request and could be taken for the response to the next one.
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
