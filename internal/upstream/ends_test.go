package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// process is an endpoint whose connections all end when it is killed, as the kernel closes them then:
// regularly.
type process struct {
	listener net.Listener
	// full is set while new connections are closed at once.
	full  atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

// startProcess starts an endpoint that begins each response without a length, and goes on with rest.
func startProcess(t *testing.T, rest func(p *process, conn net.Conn)) (*process, *catalog.Endpoint) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{listener: l}
	t.Cleanup(p.kill)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if p.full.Load() {
				conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn)
			p.mu.Unlock()
			go p.serve(conn, rest)
		}
	}()
	return p, &catalog.Endpoint{Endpoint: entity.Endpoint{ID: "e", Address: l.Addr().String()}}
}

func (p *process) serve(conn net.Conn, rest func(p *process, conn net.Conn)) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nid: 1\n\n", req.Header.Get("Id"))
	rest(p, conn)
}

// kill ends the endpoint.
func (p *process) kill() {
	p.listener.Close()
	p.closeConns(0)
}

// killSlowly ends the endpoint. The end of the connection that was opened first is still on its way, as over a link
// that loses packets.
func (p *process) killSlowly() {
	p.listener.Close()
	p.closeConns(1)
}

// killOverLossyLink ends the endpoint. The end of the connection that was opened first is lost on the way, and TCP sends
// it again.
func (p *process) killOverLossyLink() {
	const sentAgainAfter = 200 * time.Millisecond
	p.killSlowly()
	time.AfterFunc(sentAgainAfter, func() { p.closeConns(0) })
}

// killBehindProxy ends the endpoint; a proxy in front of it still accepts connections, and closes them.
func (p *process) killBehindProxy() {
	p.full.Store(true)
	p.closeConns(0)
}

// closeConns closes the connections but those opened first.
func (p *process) closeConns(first int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns[min(first, len(p.conns)):] {
		conn.Close()
	}
}

// A response without a length ends with its connection, and the kernel closes the connections of a process that
// is killed in the same way: the end counts as that of the response only if the endpoint lives on (ORDER,
// MIXED).
func TestEndOfTheEndpointIsNoEndOfAResponse(t *testing.T) {
	tests := []struct {
		name string
		// others is the number of other connections to the endpoint.
		others   int
		rest     func(p *process, conn net.Conn)
		complete bool
	}{
		{"response ends", 0, func(_ *process, conn net.Conn) { conn.Close() }, true},
		{"response ends, other connections", 2, func(_ *process, conn net.Conn) { conn.Close() }, true},
		{"endpoint is killed", 0, func(p *process, _ net.Conn) { p.kill() }, false},
		{"endpoint is killed, other connections", 2, func(p *process, _ net.Conn) { p.kill() }, false},
		{"endpoint is killed, the end of another connection is late", 2, func(p *process, _ net.Conn) { p.killSlowly() }, false},
		{"endpoint is killed, the end of the only other connection is lost", 1, func(p *process, _ net.Conn) { p.killOverLossyLink() }, false},
		{"endpoint is killed behind a proxy", 0, func(p *process, _ net.Conn) { p.killBehindProxy() }, false},
		{"endpoint is killed behind a proxy, other connections", 2, func(p *process, _ net.Conn) { p.killBehindProxy() }, false},
		{"response ends, too many connections", 2, func(p *process, conn net.Conn) {
			p.full.Store(true)
			conn.Close()
		}, true},
		{"response ends, no new connections", 2, func(p *process, conn net.Conn) {
			p.listener.Close()
			conn.Close()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, e := startProcess(t, tt.rest)
			c := newClient(t)
			for range tt.others {
				k, err := c.dial(t.Context(), e.Address)
				if err != nil {
					t.Fatal(err)
				}
				c.putIdle(k)
				k.usableUntil = time.Now().Add(time.Minute)
			}
			// The request itself takes a connection of its own.
			used := &Carriers{}
			c.mu.Lock()
			used.conns = append(used.conns, c.idle[e.Address]...)
			c.mu.Unlock()
			r := request(e, "r", "")
			r.Carriers = used
			body, err := send(t, c, r)
			if body != "id: 1\n\n" || (err == nil) != tt.complete {
				t.Errorf("got body %q and error %v, want complete %v", body, err, tt.complete)
			}
			if err != nil && !ClosedByEndpoint(err) {
				t.Errorf("got error %v, want one that says that the endpoint has gone", err)
			}
			p.kill()
		})
	}
}

// The process stood still during a response, so that the endpoint may have ended it unread.
func TestEndAfterAStandstillIsInDoubt(t *testing.T) {
	for _, stood := range []bool{false, true} {
		_, e := startProcess(t, func(_ *process, conn net.Conn) { conn.Close() })
		c := New(Options{HeaderCodec: testCodec{}, StoodStill: func(time.Time) bool { return stood }})
		t.Cleanup(c.Close)
		if _, err := send(t, c, request(e, "r", "")); (err != nil) != stood {
			t.Errorf("stood still %v: got error %v", stood, err)
		}
	}
}

// relayed is a connection through another instance, which may not tell the end of the endpoint's connection
// from its own.
type relayed struct {
	*net.TCPConn
	reports bool
}

func (relayed) Relay() entity.InstanceID { return "other" }
func (r relayed) ReportsEnd() bool       { return r.reports }

func TestEndThroughAnInstanceThatDoesNotReportIt(t *testing.T) {
	for _, reports := range []bool{false, true} {
		_, e := startProcess(t, func(_ *process, conn net.Conn) { conn.Close() })
		c := New(Options{HeaderCodec: testCodec{}, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := DialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			return relayed{conn.(*net.TCPConn), reports}, nil
		}})
		t.Cleanup(c.Close)
		if _, err := send(t, c, request(e, "r", "")); (err == nil) != reports || err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("reports=%v: got error %v", reports, err)
		}
	}
}
