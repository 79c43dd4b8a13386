package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

// Bodies of event streams, by where they end.
const (
	wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cutInData   = "id: 1\ndata: a\n\nid: 2\nda"
	cutInBlank  = "id: 1\ndata: a\n\nid: 2\ndata: b\n"
)

// framed writes a response whose body is delimited in one way. If broken is set, the
// response ends before its framing does.
type framed func(conn net.Conn, body string, broken bool)

const endHead = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n" + proof

func withLength(conn net.Conn, body string, broken bool) {
	length := len(body)
	if broken {
		length++
	}
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", endHead, length, body)
}

func withChunks(conn net.Conn, body string, broken bool) {
	fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", endHead, len(body), body)
	if !broken {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

func withChunksOnly(conn net.Conn, _ string, _ bool) {
	fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", endHead)
}

func withConnection(conn net.Conn, body string, broken bool) {
	fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", endHead, body)
	if broken {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func withOldConnection(conn net.Conn, body string, broken bool) {
	fmt.Fprintf(conn, "%s\r\n%s", strings.Replace(endHead, "HTTP/1.1", "HTTP/1.0", 1), body)
	if broken {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func TestStreamThatBreaksOffNeverLooksComplete(t *testing.T) {
	framings := map[string]framed{"length": withLength, "chunks": withChunks, "connection": withConnection, "HTTP/1.0": withOldConnection}
	bodies := map[string]string{"whole": wholeEvents, "in data": cutInData, "in the blank line": cutInBlank}
	for name, write := range framings {
		for cut, body := range bodies {
			for _, broken := range []bool{false, true} {
				for _, path := range []string{"/stream/", "/resumable/"} {
					t.Run(fmt.Sprint(name, " ", cut, " broken=", broken, path), func(t *testing.T) {
						e := startEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { write(conn, body, broken) })
						checkBothCallers(t, e, path, body, cut == "whole" && !broken)
					})
				}
			}
		}
	}
}

func TestStreamWithoutAnEventIsNotComplete(t *testing.T) {
	for framed, tt := range map[string]struct {
		write    framed
		complete bool
	}{"chunks": {withChunksOnly, true}, "connection": {withConnection, false}, "HTTP/1.0": {withOldConnection, false}} {
		for _, path := range []string{"/stream/", "/resumable/"} {
			t.Run(framed+path, func(t *testing.T) {
				e := startEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { tt.write(conn, "", false) })
				checkBothCallers(t, e, path, "", tt.complete)
			})
		}
	}
}

// An answer that is held until its end is known is delivered whole or not at all.
func TestBufferedAnswerThatBreaksOffIsNotDelivered(t *testing.T) {
	for name, write := range map[string]framed{"length": withLength, "chunks": withChunks, "connection": withConnection, "HTTP/1.0": withOldConnection} {
		for _, broken := range []bool{false, true} {
			for _, path := range []string{"/safe/", "/unsafe/"} {
				t.Run(fmt.Sprint(name, " broken=", broken, path), func(t *testing.T) {
					e := startEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { write(conn, "answer", broken) })
					checkBothCallers(t, e, path, "answer", !broken)
				})
			}
		}
	}
}

// checkBothCallers sends a request as a caller of HTTP/1.1 and of HTTP/1.0, and checks
// whether the response looks complete.
func checkBothCallers(t *testing.T, e *catalog.Endpoint, path, body string, complete bool) {
	t.Helper()
	for _, version := range []string{"1.1", "1.0"} {
		got, err := sendVersion(t, newServer(newFakeScheduler(e)), path, version)
		if (err == nil) != complete || (complete && got != body) {
			t.Errorf("HTTP/%s: got body %q and error %v, want complete: %v", version, got, err, complete)
		}
	}
}

// sendVersion sends a request in the given version of HTTP over a connection of its own, and
// reads the response to its end. A status other than 200 is an error.
func sendVersion(t *testing.T, server *Server, path, version string) (string, error) {
	t.Helper()
	web := startWeb(server)
	defer web.Close()
	conn, responses := dial(t, web.Listener.Addr().String())
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path, version)
	return readAnswer(responses)
}

func readAnswer(responses *bufio.Reader) (string, error) {
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	return string(data), err
}

// startWeb serves callers as an instance does.
func startWeb(server *Server) *httptest.Server {
	web := httptest.NewUnstartedServer(server)
	web.Listener = server.WrapListener(web.Listener, web.Config)
	web.Start()
	return web
}

// The end of an instance must not look like the end of its answer to a caller of HTTP/1.0.
func TestStoppedInstanceResetsUnfinishedAnswersOfOldCallers(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	e := startEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", endHead)
		close(started)
		<-stopped
	})
	defer close(stopped)
	web := startWeb(newServer(newFakeScheduler(e)))
	conn, responses := dial(t, web.Listener.Addr().String())
	fmt.Fprint(conn, "POST /stream/ HTTP/1.0\r\nHost: h\r\nId: r1\r\nKey: k\r\n\r\n")
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	<-started
	web.Config.Close()
	if data, err := io.ReadAll(res.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got answer %q and error %v, want the connection reset", data, err)
	}
}

// An answer in chunks is complete by its framing and ends within an event. The stream goes on at the same endpoint,
// whose late copy of that answer comes where the next one on its connection is due: no event comes twice (ORDER).
func TestStreamGoesOnWithoutTheLateCopyOfItsAnswer(t *testing.T) {
	address := loopback.Serve(t, func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		late := func() {}
		for {
			req, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			body := cutInData
			if req.Header.Get("Last") == "1" {
				body = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
			}
			late()
			late = func() { withChunks(conn, body, false) }
			withChunks(conn, body, false)
		}
	})
	e := &catalog.Endpoint{Endpoint: entity.Endpoint{ID: "e", Address: address, Pool: "p"}, Version: fixtureVersion}
	r := send(t, newFakeScheduler(e, e), "/resumable/", "", nil)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; r.err != nil || r.body != want {
		t.Errorf("got body %q and error %v, want the events 1 to 3 once each", r.body, r.err)
	}
}

// ORDER, MIXED: the error of the endpoint that is to go on with a stream must not end up in it, nor complete it.
func TestErrorOfTheNextEndpointIsNotPutIntoTheStream(t *testing.T) {
	first := respondChunked(false, "id: 1\ndata: x\n\n")
	tests := []struct {
		name string
		next func(net.Conn, *http.Request, string)
	}{
		{"status 500", respond(500, proof, "failed\n")},
		{"status 500, an event stream", respond(500, proof+"Content-Type: text/event-stream\r\n", "id: 2\ndata: failed\n\n")},
		{"status 500 without a proof", respond(500, "", "failed\n")},
		{"status 503, not run", respond(503, "Not-Run: yes\r\n", "full\n")},
		{"status 200, a text", respond(200, proof+"Content-Type: text/plain\r\n", "failed\n")},
		{"status 200 without a proof", respond(200, "", "id: 2\ndata: y\n\n")},
		{"no answer in the protocol", func(conn net.Conn, _ *http.Request, _ string) { fmt.Fprint(conn, "failed\r\n\r\n") }},
		{"half a head", func(conn net.Conn, _ *http.Request, _ string) { fmt.Fprint(conn, "HTTP/1.1 500 X\r\nContent-Len") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := send(t, newFakeScheduler(startEndpoint(t, first), startEndpoint(t, tt.next)), "/resumable/", "", nil)
			if r.err == nil || r.body != "id: 1\ndata: x\n\n" {
				t.Errorf("got %q and error %v, want the first event and a stream that breaks off", r.body, r.err)
			}
		})
	}
}
