package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"

	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

var testKey = []byte("key")

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// startServer starts a server of tunnels behind a Listener, and returns its address and the other
// connections that the Listener accepts.
func startServer(t *testing.T, s *Server) (address string, others chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		l.Close()
	})
	split := Split(ctx, l, s)
	others = make(chan net.Conn, 1)
	go func() {
		for {
			conn, err := split.Accept()
			if err != nil {
				return
			}
			others <- conn
		}
	}()
	return l.Addr().String(), others
}

// newServer returns a server that reaches endpoints and allows all of them.
func newServer() *Server {
	return &Server{Key: testKey, MaxOpen: 2, Dial: dialTCP, Allows: func(string) bool { return true }, CutOff: func() bool { return false }}
}

// startEndpoint starts an endpoint that handles each connection with f, and then closes it.
func startEndpoint(t *testing.T, f func(conn *net.TCPConn)) string {
	t.Helper()
	return loopback.Serve(t, func(conn net.Conn) { f(conn.(*net.TCPConn)) })
}

func dialTunnel(t *testing.T, server, endpoint string) net.Conn {
	t.Helper()
	conn, err := Dial(t.Context(), dialTCP, server, testKey, endpoint)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestBytesPassUnchangedBothWays(t *testing.T) {
	endpoint := startEndpoint(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = io.Copy(conn, conn)
	})
	server, _ := startServer(t, newServer())
	conn := dialTunnel(t, server, endpoint)
	sent := bytes.Repeat([]byte("\x00 some bytes\n"), 20_000)
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("got other bytes back, or error %v", err)
	}
}

// A response without a length ends with its connection: only a regular end may look like one.
func TestEndOfTheEndpointsConnectionShowsAsItIs(t *testing.T) {
	tests := []struct {
		name string
		end  func(conn *net.TCPConn)
		want func(err error) bool
	}{
		{"regular", func(conn *net.TCPConn) { conn.Close() }, func(err error) bool { return err == nil }},
		{"reset", func(conn *net.TCPConn) {
			time.Sleep(20 * time.Millisecond) // the bytes are through
			_ = conn.SetLinger(0)
			conn.Close()
		}, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "part")
				tt.end(conn)
			})
			server, _ := startServer(t, newServer())
			got, err := io.ReadAll(dialTunnel(t, server, endpoint))
			if !tt.want(err) || string(got) != "part" {
				t.Errorf("got %q and error %v", got, err)
			}
		})
	}
}

// An instance that stops or is killed ends its connections; the endpoint is still writing then (MIXED, ORDER).
func TestEndOfTheInstanceIsNoEndOfTheResponse(t *testing.T) {
	endpoint := startEndpoint(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "part")
		_, _ = io.Copy(io.Discard, conn)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		accepted <- conn
		_, _ = byteReader{conn}.ReadByte()
		newServer().Serve(ctx, conn)
	}()
	conn := dialTunnel(t, l.Addr().String(), endpoint)
	if _, err := io.ReadFull(conn, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	// What the kernel does when the process is killed depends on this option.
	if linger := lingerOf(t, <-accepted); linger.Onoff != 1 || linger.Linger != 0 {
		t.Errorf("got the option %+v on an open tunnel, want that its end is a reset", linger)
	}
	stop()
	if rest, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || len(rest) > 0 {
		t.Errorf("got %q and error %v after the instance has stopped, want a reset", rest, err)
	}
}

// lingerOf returns how a connection ends when it is closed.
func lingerOf(t *testing.T, conn net.Conn) unix.Linger {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var out unix.Linger
	if err := raw.Control(func(fd uintptr) {
		size := uint32(unsafe.Sizeof(out))
		_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_LINGER, uintptr(unsafe.Pointer(&out)), uintptr(unsafe.Pointer(&size)), 0)
		if errno != 0 {
			t.Error(errno)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return out
}

// An instance of an earlier version does not say that its end is a reset.
func TestOlderServersReportNoEnd(t *testing.T) {
	endpoint := startEndpoint(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	server, _ := startServer(t, newServer())
	now, err := Dial(t.Context(), dialTCP, server, testKey, endpoint)
	if err != nil || !now.ReportsEnd {
		t.Fatalf("got %+v, %v, want a connection that reports the end", now, err)
	}
	now.Close()
	older := startEndpoint(t, func(conn *net.TCPConn) {
		_, _ = byteReader{conn}.ReadByte()
		var req jsonrpc2.Request
		_ = readObject(conn, &req)
		resp := jsonrpc2.Response{ID: req.ID}
		_ = resp.SetResult(struct{}{})
		_ = writeObject(conn, nil, &resp)
		_, _ = io.Copy(io.Discard, conn)
	})
	then, err := Dial(t.Context(), dialTCP, older, testKey, endpoint)
	if err != nil || then.ReportsEnd {
		t.Errorf("got %+v, %v from an older server, want a connection that does not report the end", then, err)
	}
}

func TestEndpointSeesThatTheInstanceHasClosed(t *testing.T) {
	ended := make(chan struct{})
	endpoint := startEndpoint(t, func(conn *net.TCPConn) {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	})
	server, _ := startServer(t, newServer())
	dialTunnel(t, server, endpoint).Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint's connection is still open 5 s after the instance has closed the tunnel")
	}
}

func TestTunnelIsNotOpened(t *testing.T) {
	endpoint := startEndpoint(t, func(conn *net.TCPConn) { conn.Close() })
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	tests := []struct {
		name    string
		change  func(s *Server)
		address string
		want    Code
	}{
		{"wrong key", func(s *Server) { s.Key = []byte("other") }, endpoint, CodeNotAllowed},
		{"no endpoint", func(s *Server) { s.Allows = func(string) bool { return false } }, endpoint, CodeNotAllowed},
		{"cut off itself", func(s *Server) { s.CutOff = func() bool { return true } }, endpoint, CodeCutOff},
		{"too many", func(s *Server) { s.MaxOpen = 0 }, endpoint, CodeBusy},
		{"stopping", func(s *Server) { s.StopOpening() }, endpoint, CodeBusy},
		{"refused by the endpoint", func(*Server) {}, refusing.Addr().String(), CodeRefused},
		{"no answer", func(s *Server) {
			s.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, endpoint, CodeUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer()
			tt.change(s)
			server, _ := startServer(t, s)
			_, err := Dial(t.Context(), dialTCP, server, testKey, tt.address)
			var refused *OpenError
			if !errors.As(err, &refused) || refused.Code != tt.want {
				t.Errorf("got error %v, want code %d", err, tt.want)
			}
		})
	}
}

func TestOtherConnectionsKeepAllTheirBytes(t *testing.T) {
	server, others := startServer(t, newServer())
	conn, err := net.Dial("tcp", server)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "message"); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if got, err := io.ReadAll(<-others); err != nil || string(got) != "message" {
		t.Errorf("got %q and error %v, want the whole message", got, err)
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x02{}rest"))
	f.Add([]byte("\xff\xff\xff\xff\x0f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		var v any
		if readObject(r, &v) == nil && len(data)-r.Len() > maxOpenBytes+10 {
			t.Errorf("read %d bytes, want at most an object", len(data)-r.Len())
		}
	})
}

func TestLongObjectIsNotRead(t *testing.T) {
	var v any
	if err := readObject(strings.NewReader("\x80\x80\x04"), &v); err == nil {
		t.Error("got no error for an object of 64 KB")
	}
}

// An endpoint answers an upload before it has read it, and resets the connection after a part of its answer. The
// error of the reset may go to the write of the upload, of which the server has taken all: the tunnel is reset all the
// same (MIXED).
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const tunnels = 200
	endpoint := startEndpoint(t, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, strings.Repeat("a part ", 500))
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	s := newServer()
	s.MaxOpen = tunnels
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err == nil {
			_ = conn.(*net.TCPConn).SetWriteBuffer(8 << 10)
		}
		return conn, err
	}
	server, _ := startServer(t, s)
	ends := make(chan error, tunnels)
	for n := range tunnels {
		// What the endpoint's host and the server's take between them is not known: some uploads just exceed it.
		upload := bytes.Repeat([]byte("x"), (1+n)<<10)
		conn := dialTunnel(t, server, endpoint)
		go func() {
			// The error of a reset may go to this write as well.
			_, failed := conn.Write(upload)
			_, err := io.Copy(io.Discard, conn)
			ends <- errors.Join(failed, err)
		}()
	}
	regular := 0
	for range tunnels {
		if <-ends == nil {
			regular++
		}
	}
	if regular > 0 {
		t.Errorf("%d of %d tunnels ended regularly, want none", regular, tunnels)
	}
}
