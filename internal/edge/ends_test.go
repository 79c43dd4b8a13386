package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
)

// Bodies of event streams, by where they end.
const (
	wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cutInData   = "id: 1\ndata: a\n\nid: 2\nda"
	cutInBlank  = "id: 1\ndata: a\n\nid: 2\ndata: b\n"
)

// framing writes a response whose body is delimited in one way. If broken is set, the
// response ends before its framing does.
type framing func(conn net.Conn, body string, broken bool)

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
	framings := map[string]framing{"length": withLength, "chunks": withChunks, "connection": withConnection, "HTTP/1.0": withOldConnection}
	bodies := map[string]string{"whole": wholeEvents, "in data": cutInData, "in the blank line": cutInBlank}
	for framed, write := range framings {
		for cut, body := range bodies {
			for _, broken := range []bool{false, true} {
				for _, path := range []string{"/stream/", "/resumable/"} {
					t.Run(fmt.Sprint(framed, " ", cut, " broken=", broken, path), func(t *testing.T) {
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
		write    framing
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

// checkBothCallers sends a request as a caller of HTTP/1.1 and of HTTP/1.0, and checks
// whether the response looks complete.
func checkBothCallers(t *testing.T, e *catalog.Endpoint, path, body string, complete bool) {
	t.Helper()
	for _, version := range []string{"1.1", "1.0"} {
		got, err := sendOld(t, newServer(newFakeScheduler(e)), path, version)
		if (err == nil) != complete || (complete && got != body) {
			t.Errorf("HTTP/%s: got body %q and error %v, want complete: %v", version, got, err, complete)
		}
	}
}

// sendOld sends a request in the given version of HTTP over a connection of its own, and
// reads the response to its end. A status other than 200 is an error.
func sendOld(t *testing.T, server *Server, path, version string) (string, error) {
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
