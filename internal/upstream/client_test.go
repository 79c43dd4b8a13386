package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// testCodec identifies the request and its response in the header "Id".
type testCodec struct{}

func (testCodec) SetDispatchHeaders(h http.Header, to entity.EndpointID, _ time.Duration, _ string) {
	h.Set("To", string(to))
}

func (testCodec) ReadResponse(_ int, h http.Header) Meta {
	return Meta{RequestID: entity.RequestID(h.Get("Id")), HasProof: true}
}

// serve starts an endpoint that handles each connection with script.
func serve(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) *catalog.Endpoint {
	t.Helper()
	address := loopback.Serve(t, func(conn net.Conn) { script(conn, bufio.NewReader(conn)) })
	return &catalog.Endpoint{Endpoint: entity.Endpoint{ID: "e", Address: address}}
}

// readRequest reads a request and its body. It returns nil at the end of the connection.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func respond(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient(t *testing.T) *Client {
	c := New(Options{HeaderCodec: testCodec{}})
	t.Cleanup(c.Close)
	return c
}

func request(to *catalog.Endpoint, id, body string) Request {
	return Request{ID: entity.RequestID(id), To: to, Method: http.MethodPost, URI: "/a/b?c=%2f", Host: "h.example",
		Header: http.Header{"Id": {id}}, Body: []byte(body), Remaining: time.Second}
}

// send sends a request and returns the complete body of its response.
func send(t *testing.T, c *Client, r Request) (string, error) {
	t.Helper()
	response, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan string, 1)
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		req, body := readRequest(r)
		got <- strings.Join([]string{req.Method, req.RequestURI, req.Host, req.Header.Get("To"), body}, " ")
		respond(conn, req.Header.Get("Id"), "fine")
	})
	body, err := send(t, newClient(t), request(e, "r1", "text"))
	if err != nil || body != "fine" {
		t.Fatalf("got body %q and error %v, want fine", body, err)
	}
	if g := <-got; g != "POST /a/b?c=%2f h.example e text" {
		t.Errorf("the endpoint got %q, want the request line, host, endpoint and body as sent", g)
	}
}

func TestConnectionIsReused(t *testing.T) {
	dialled := 0
	c := New(Options{HeaderCodec: testCodec{}, OnDial: func() { dialled++ }})
	t.Cleanup(c.Close)
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			respond(conn, req.Header.Get("Id"), "fine")
		}
	})
	for i := range 3 {
		if _, err := send(t, c, request(e, fmt.Sprint("r", i), "")); err != nil {
			t.Fatal(err)
		}
	}
	if dialled != 1 {
		t.Errorf("got %d connections for three consecutive requests, want 1", dialled)
	}
}

// An endpoint may send a second response to a request, either right after the first one or
// just before the response to the next request. It must never be taken for that response.
func TestSecondResponseIsDiscarded(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late=", late), func(t *testing.T) {
			e := serve(t, func(conn net.Conn, r *bufio.Reader) {
				first := ""
				for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
					id := req.Header.Get("Id")
					if late && first != "" {
						respond(conn, first, "stale")
					}
					respond(conn, id, "for "+id)
					if !late {
						respond(conn, id, "stale")
					}
					first = id
				}
			})
			c := newClient(t)
			for i := range 4 {
				id := fmt.Sprint("r", i)
				body, err := send(t, c, request(e, id, ""))
				if err != nil || body != "for "+id {
					t.Fatalf("request %s: got body %q and error %v, want its own response", id, body, err)
				}
			}
		})
	}
}

// A late copy of a response in chunks is skipped as well: the next request gets its own response.
func TestLateCopyInChunksIsDiscarded(t *testing.T) {
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		late := ""
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			id := req.Header.Get("Id")
			body := "id: 1\ndata: for " + id + "\n\n"
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
			_, _ = io.WriteString(conn, late+response)
			late = response
		}
	})
	c := newClient(t)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		body, err := send(t, c, request(e, id, ""))
		if err != nil || body != "id: 1\ndata: for "+id+"\n\n" {
			t.Fatalf("request %s: got body %q and error %v, want its own response", id, body, err)
		}
	}
}

// A request that was rejected is sent to the endpoint again, and a second copy of the rejection comes before
// the response: it must not be taken for it (REFUSED, TWICE).
func TestSecondResponseToAnEarlierSendingIsNoResponse(t *testing.T) {
	var mu sync.Mutex
	runs := 0
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		copies := ""
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			id := req.Header.Get("Id")
			if copies != "" {
				respond(conn, copies, "rejected")
			}
			mu.Lock()
			runs++
			n := runs
			mu.Unlock()
			if n%2 == 1 {
				respond(conn, id, "rejected")
				copies = id
				continue
			}
			respond(conn, id, "done")
			copies = ""
		}
	})
	c := newClient(t)
	for i := range 4 {
		r := request(e, fmt.Sprint("r", i), "")
		r.Carriers = new(Carriers)
		for _, want := range []string{"rejected", "done"} {
			if body, err := send(t, c, r); err != nil || body != want {
				t.Fatalf("request %s: got body %q and error %v, want %q", r.ID, body, err, want)
			}
		}
	}
}

func TestEarlyResponseLeavesRequestBodyIntact(t *testing.T) {
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(conn, req.Header.Get("Id"), "early")
		// The rest of the body is read only after the response. The client must not have
		// written anything else in its place.
		body, _ := io.ReadAll(req.Body)
		if strings.Trim(string(body), "x") != "" {
			t.Errorf("got a body with bytes other than x, want the body as sent")
		}
		if next, _ := readRequest(r); next != nil {
			respond(conn, next.Header.Get("Id"), "next")
		}
	})
	c := newClient(t)
	body, err := send(t, c, request(e, "r1", strings.Repeat("x", 4<<20)))
	if err != nil || body != "early" {
		t.Fatalf("got body %q and error %v, want early", body, err)
	}
}

func TestVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := &catalog.Endpoint{Endpoint: entity.Endpoint{ID: "gone", Address: closed.Addr().String()}}
	closed.Close()
	closing := serve(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	invalid := serve(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(conn, "this is no answer\r\n\r\n")
	})
	tests := []struct {
		name string
		to   *catalog.Endpoint
		want verdict.Verdict
	}{
		{"no listener", unreachable, verdict.NotRun},
		{"connection closed without an answer", closing, verdict.MayHaveRun},
		{"invalid response", invalid, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := send(t, newClient(t), request(tt.to, "r", ""))
			if err == nil || verdict.Of(err).Verdict != tt.want {
				t.Errorf("got error %v, want verdict %s", err, tt.want)
			}
		})
	}
}

func TestResponseWithoutLengthIsCompleteUnlessReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			e := serve(t, func(conn net.Conn, r *bufio.Reader) {
				req, _ := readRequest(r)
				if req == nil {
					return // the client has looked whether the endpoint lives
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nwhole?", req.Header.Get("Id"))
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := send(t, newClient(t), request(e, "r", ""))
			if reset && err == nil {
				t.Errorf("got complete body %q from a connection that was reset, want an error", body)
			}
			if !reset && (err != nil || body != "whole?") {
				t.Errorf("got body %q and error %v, want whole?", body, err)
			}
		})
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	e := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(received)
		_, _ = r.ReadByte() // returns when the other side closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-received // a context that ends before there is a connection would prove nothing
		cancel()
	}()
	if _, err := newClient(t).Do(ctx, request(e, "r", "")); err == nil {
		t.Error("got a response, want an error: the context has ended")
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open 10 s after the end of the context")
	}
}

func TestEndOfContextBeforeTheConnectionSendsNothing(t *testing.T) {
	e := serve(t, func(net.Conn, *bufio.Reader) {
		t.Error("got a connection for a request whose context had ended")
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newClient(t).Do(ctx, request(e, "r", ""))
	if err == nil || verdict.Of(err).Verdict != verdict.NotRun {
		t.Errorf("got error %v, want verdict %s", err, verdict.NotRun)
	}
}

// The context has ended before there is anything to wait for: the request is not run.
func TestEndOfContextSendsNothingOnAnIdleConnection(t *testing.T) {
	var mu sync.Mutex
	var got []string
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			mu.Lock()
			got = append(got, req.Header.Get("Id"))
			mu.Unlock()
			respond(conn, req.Header.Get("Id"), "fine")
		}
	})
	c := newClient(t)
	if _, err := send(t, c, request(e, "first", "")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Do(ctx, request(e, "ended", ""))
	if err == nil || verdict.Of(err).Verdict != verdict.NotRun {
		t.Errorf("got error %v, want verdict %s", err, verdict.NotRun)
	}
	if _, err := send(t, c, request(e, "last", "")); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(got, []string{"first", "last"}) {
		t.Errorf("the endpoint got %v, want the first and the last request", got)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			respond(conn, req.Header.Get("Id"), "fine")
		}
	})
	c := newClient(t)
	for i := range 3 {
		if _, err := send(t, c, request(e, fmt.Sprint("r", i), "")); err != nil {
			t.Fatalf("request %d: got error %v, want a response on a new connection", i, err)
		}
		waitClosed(t, c, e.Address)
	}
}

// waitClosed waits until the client can see that the endpoint closed the idle connections.
func waitClosed(t *testing.T, c *Client, address string) {
	t.Helper()
	c.mu.Lock()
	idle := append([]*conn(nil), c.idle[address]...)
	c.mu.Unlock()
	for _, k := range idle {
		for end := time.Now().Add(10 * time.Second); k.reusable(); {
			if time.Now().After(end) {
				t.Fatal("the idle connection is still open after 10 s, want it closed by the endpoint")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", 4 * time.Second},
		{"timeout=10", 9 * time.Second},
		{"max=5, timeout=3", 2 * time.Second},
		{"timeout=x", 4 * time.Second},
		{"timeout=0", -time.Second},
	}
	for _, tt := range tests {
		if got := idleTimeout(http.Header{"Keep-Alive": {tt.header}}, 4*time.Second); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.header, got, tt.want)
		}
	}
}
