package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// listen starts a server whose listener is wrapped by WrapListener, and returns its address.
func listen(t *testing.T, sched *fakeScheduler) string {
	t.Helper()
	web := startWeb(newServer(sched))
	t.Cleanup(web.Close)
	return web.Listener.Addr().String()
}

// threeEndpoints returns one endpoint for each of up to three requests. The endpoints of
// these tests close their connection after a response, so a second request to the same one
// could use the closing connection and be retried at another endpoint.
func threeEndpoints(t *testing.T) []*catalog.Endpoint {
	t.Helper()
	var out []*catalog.Endpoint
	for i := range 3 {
		e := startEndpoint(t, respond(200, proof, "ran"))
		e.ID = entity.EndpointID(fmt.Sprint("e", i))
		out = append(out, e)
	}
	return out
}

// dial opens a connection with a deadline, so that a test can't hang.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

const fullRequest = "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 2\r\n\r\nhi"

// A caller that sends a header too slowly must get status 408 and a closed connection, on the
// first request of the connection and on a later one.
func TestSlowHeaderIsRefused(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprintf("after %d requests", before), func(t *testing.T) {
			sched := newFakeScheduler(threeEndpoints(t)...)
			sched.config.Bounds.HeaderTimeout = time.Millisecond
			conn, responses := dial(t, listen(t, sched))
			for range before {
				fmt.Fprint(conn, fullRequest)
				expectStatus(t, responses, http.StatusOK, false)
			}
			fmt.Fprint(conn, fullRequest[:20])
			expectStatus(t, responses, http.StatusRequestTimeout, true)
			if _, err := responses.ReadByte(); err == nil {
				t.Error("the connection is still open after the refusal")
			}
			if len(sched.slotRequests) != before {
				t.Errorf("got %d dispatched requests, want %d", len(sched.slotRequests), before)
			}
		})
	}
}

// A header that arrives in parts must be accepted if it is complete in time, on the first
// request of the connection and on later ones.
func TestHeaderInPartsIsServed(t *testing.T) {
	sched := newFakeScheduler(threeEndpoints(t)...)
	sched.config.Bounds.HeaderTimeout = testTimeout
	conn, responses := dial(t, listen(t, sched))
	for range 3 {
		fmt.Fprint(conn, fullRequest[:20])
		fmt.Fprint(conn, fullRequest[20:40])
		fmt.Fprint(conn, fullRequest[40:])
		expectStatus(t, responses, http.StatusOK, false)
	}
}

// expectStatus reads a response and checks its status and whether it closes the connection.
func expectStatus(t *testing.T, responses *bufio.Reader, status int, closes bool) {
	t.Helper()
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != status || res.Close != closes {
		t.Errorf("got status %d, connection closed: %v, want %d and %v", res.StatusCode, res.Close, status, closes)
	}
}
