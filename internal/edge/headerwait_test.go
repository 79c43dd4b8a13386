package edge

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/intake"
)

// gatedListener passes on connections whose reads after the first one wait.
type gatedListener struct {
	net.Listener
	// wrap returns the connection to use.
	wrap func(conn *net.TCPConn) net.Conn
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn.(*net.TCPConn)), nil
}

// lateConn is a connection of a process that stands still after its first read: what follows is read once
// late is closed.
type lateConn struct {
	*net.TCPConn
	late  <-chan struct{}
	reads int
	// onWrite, if set, is called before each write.
	onWrite func()
	// onLateRead, if set, is called when the second read has bytes. Later reads wait for ended then.
	onLateRead func()
	ended      <-chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return c.TCPConn.Read(b)
	}
	<-c.late
	if c.reads > 2 && c.ended != nil {
		<-c.ended
	}
	n, err := c.TCPConn.Read(b)
	if c.reads == 2 && c.onLateRead != nil {
		c.onLateRead()
	}
	return n, err
}

func (c *lateConn) Write(b []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite()
	}
	return c.TCPConn.Write(b)
}

// listenGated starts a server whose connections are wrapped before WrapListener sees them.
func listenGated(t *testing.T, sched *fakeScheduler, wrap func(conn *net.TCPConn) net.Conn) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(sched)
	h := &http.Server{Handler: server}
	t.Cleanup(func() { h.Close() })
	wrapped := server.WrapListener(gatedListener{l, wrap}, h)
	go func() { _ = h.Serve(wrapped) }()
	return l.Addr().String()
}

// The rest of a header is read while status 408 is being written: the request must not run (REFUSED).
func TestRefusedHeaderNeverRuns(t *testing.T) {
	sched := newFakeScheduler(threeEndpoints(t)...)
	sched.config.Bounds.HeaderTimeout = time.Millisecond
	refusing, read, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var once sync.Once
	address := listenGated(t, sched, func(conn *net.TCPConn) net.Conn {
		return &lateConn{
			TCPConn: conn, late: refusing, ended: ended,
			onWrite: func() {
				once.Do(func() { close(refusing) })
				<-read
			},
			onLateRead: func() { close(read) },
		}
	})
	conn, responses := dial(t, address)
	fmt.Fprint(conn, fullRequest[:20])
	<-refusing
	fmt.Fprint(conn, fullRequest[20:])
	expectStatus(t, responses, http.StatusRequestTimeout, true)
	time.Sleep(50 * time.Millisecond) // enough for a request to be dispatched
	close(ended)
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if n := len(sched.slotRequests); n != 0 {
		t.Errorf("got %d dispatched requests after status 408, want 0", n)
	}
}

// A header was complete in time, and the process stood still meanwhile: the request is served.
func TestHeaderThatWaitedForTheProcessIsServed(t *testing.T) {
	sched := newFakeScheduler(threeEndpoints(t)...)
	sched.config.Bounds.HeaderTimeout = time.Millisecond
	awake := make(chan struct{})
	address := listenGated(t, sched, func(conn *net.TCPConn) net.Conn { return &lateConn{TCPConn: conn, late: awake} })
	conn, responses := dial(t, address)
	fmt.Fprint(conn, fullRequest[:20])
	fmt.Fprint(conn, fullRequest[20:])
	time.AfterFunc(4*intake.HeadGrace, func() { close(awake) })
	expectStatus(t, responses, http.StatusOK, false)
}
