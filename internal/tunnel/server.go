package tunnel

import (
	"context"
	"crypto/hmac"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/framing"
	"github.com/medlarhold/medlarhold/internal/intake"
)

const (
	// openTimeout bounds the opening exchange on the server's side, the dial excluded.
	openTimeout = time.Second
	// dialTimeout bounds the connection to the endpoint: many round trips within a region.
	dialTimeout = 120 * time.Millisecond
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 8 << 10
	// stallTimeout is how long a write may take: longer than callers and endpoints pause.
	stallTimeout = 20 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Server opens tunnels for other instances. Its methods are safe for concurrent use.
type Server struct {
	// Key authenticates instances.
	Key []byte
	// Allows reports whether tunnels may lead to an address.
	Allows func(address string) bool
	// CutOff reports whether this instance does not reach endpoints itself.
	CutOff func() bool
	// Dial opens a connection to an endpoint.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Tune, if set, prepares the connections of instances, so that one that has vanished is noticed.
	Tune func(conn net.Conn)
	// MaxOpen is the number of tunnels that may be open.
	MaxOpen int64

	opened  atomic.Int64
	closing atomic.Bool
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.opened.Load() }

// StopOpening makes the server open no further tunnels.
func (s *Server) StopOpening() { s.closing.Store(true) }

// Serve serves one connection, whose first byte has been read. It returns when the tunnel has ended.
func (s *Server) Serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if s.Tune != nil {
		s.Tune(conn)
	}
	n := s.opened.Add(1)
	defer s.opened.Add(-1)
	_ = conn.SetDeadline(time.Now().Add(openTimeout)) // fails only for a closed connection
	var req jsonrpc2.Request
	if readObject(conn, &req) != nil {
		return
	}
	endpoint, failed := s.connect(ctx, &req, n)
	resp := jsonrpc2.Response{ID: req.ID}
	if failed != nil {
		resp.Error = &jsonrpc2.Error{Code: int64(failed.Code), Message: failed.Message}
	} else {
		intake.Proved(conn)
		defer endpoint.Close()
		resetOnClose(conn)                               // until the endpoint has ended its connection
		_ = resp.SetResult(openResult{ReportsEnd: true}) // it can be encoded
	}
	if writeObject(conn, nil, &resp) != nil || failed != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	defer context.AfterFunc(ctx, func() { endpoint.Close() })()
	join(conn, endpoint)
}

// connect opens the connection to the endpoint that a request names.
func (s *Server) connect(ctx context.Context, req *jsonrpc2.Request, open int64) (net.Conn, *OpenError) {
	var p openParams
	if req.Method != methodOpen || req.Params == nil || json.Unmarshal(*req.Params, &p) != nil {
		return nil, &OpenError{CodeNotAllowed, "not a request to open a tunnel"}
	}
	switch {
	case !hmac.Equal(p.MAC, mac(s.Key, p.Address)):
		return nil, &OpenError{CodeNotAllowed, "the key is wrong"}
	case !s.Allows(p.Address):
		return nil, &OpenError{CodeNotAllowed, "no endpoint has the address " + p.Address}
	case s.closing.Load() || open > s.MaxOpen:
		return nil, &OpenError{CodeBusy, "no further tunnels are opened"}
	case s.CutOff():
		return nil, &OpenError{CodeCutOff, "this instance reaches no endpoints itself"}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	endpoint, err := s.Dial(ctx, p.Address)
	switch {
	case err == nil:
		return endpoint, nil
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return nil, &OpenError{CodeRefused, "the endpoint refused the connection"}
	}
	return nil, &OpenError{CodeUnreachable, "no connection to the endpoint in time"}
}

// join passes bytes between the instance that dialled and the endpoint until one of them is done. The
// instance's connection ends regularly only if the endpoint's did: it is reset otherwise, also by the kernel
// if this process is killed.
func join(instance, endpoint net.Conn) {
	var writes framing.Writes // to the endpoint
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Whatever ends this direction: the instance wants no more of the response.
		_ = pass(endpoint, instance, &writes)
		endpoint.Close()
	}()
	if pass(instance, endpoint, new(framing.Writes)) == nil && writes.CheckEnd() == nil {
		endOnClose(instance)
	}
	instance.Close()
	<-done
}

// pass copies bytes until the source ends, and returns the error unless it ended regularly. It records the writes.
func pass(to, from net.Conn, writes *framing.Writes) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(buffer[:])
		if n > 0 {
			_ = to.SetWriteDeadline(time.Now().Add(stallTimeout)) // fails only for a closed connection
			written := writes.Begin()
			_, err := to.Write(buffer[:n])
			written(err)
			if err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Values for net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// resetOnClose makes the close of a connection a reset.
func resetOnClose(conn net.Conn) { setLinger(conn, lingerReset) }

// endOnClose makes the close of a connection a regular end.
func endOnClose(conn net.Conn) { setLinger(conn, lingerDefault) }

func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(seconds) // fails only for a closed connection
	}
}
