package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// listen serves a desk as Listen is meant to be used, and returns its address.
func listen(t *testing.T, d *desk) string {
	t.Helper()
	s := newServer(d)
	web := httptest.NewUnstartedServer(s)
	web.Listener = s.WrapListener(web.Listener, web.Config)
	web.Start()
	t.Cleanup(web.Close)
	return web.Listener.Addr().String()
}

// threeEngines returns one for each request: an engine of these tests ends its
// connection after an answer, and a request that is sent on a connection that
// was about to end takes another endpoint.
func threeEngines(t *testing.T) []*catalog.Endpoint {
	t.Helper()
	var out []*catalog.Endpoint
	for i := range 3 {
		e := engine(t, says(200, proof, "ran"))
		e.ID = entity.EndpointID(fmt.Sprint("e", i))
		out = append(out, e)
	}
	return out
}

// dial opens a connection that ends a test which hangs.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(guard)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

const wholeRequest = "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 2\r\n\r\nhi"

// A caller that takes too long for a header hears so, on a first request as on
// a later one of its connection.
func TestSlowHeaderIsRefused(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprintf("after %d requests", before), func(t *testing.T) {
			d := newDesk(threeEngines(t)...)
			d.config.Bounds.HeaderTimeout = time.Millisecond
			conn, answers := dial(t, listen(t, d))
			for range before {
				fmt.Fprint(conn, wholeRequest)
				expectStatus(t, answers, http.StatusOK, false)
			}
			fmt.Fprint(conn, wholeRequest[:20])
			expectStatus(t, answers, http.StatusRequestTimeout, true)
			if _, err := answers.ReadByte(); err == nil {
				t.Error("the connection goes on")
			}
			if len(d.works) != before {
				t.Errorf("%d requests were given an endpoint, want %d", len(d.works), before)
			}
		})
	}
}

// Time between two requests is no time for a header, and a header that comes
// in parts is served if it is complete in time.
func TestHeaderInPartsIsServed(t *testing.T) {
	d := newDesk(threeEngines(t)...)
	d.config.Bounds.HeaderTimeout = guard
	conn, answers := dial(t, listen(t, d))
	for range 3 {
		fmt.Fprint(conn, wholeRequest[:20])
		fmt.Fprint(conn, wholeRequest[20:40])
		fmt.Fprint(conn, wholeRequest[40:])
		expectStatus(t, answers, http.StatusOK, false)
	}
}

func expectStatus(t *testing.T, answers *bufio.Reader, status int, closes bool) {
	t.Helper()
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != status || res.Close != closes {
		t.Errorf("status %d, closes %v, want %d and %v", res.StatusCode, res.Close, status, closes)
	}
}
