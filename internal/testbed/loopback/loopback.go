// Package loopback runs TCP servers on loopback for tests.
package loopback

import (
	"net"
	"testing"
)

// Serve listens on a free port until the test ends. It calls serve for each connection in a
// goroutine of its own and closes the connection afterwards. It returns the address of the
// listener.
func Serve(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}
