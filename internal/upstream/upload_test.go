package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An endpoint answers a long upload before it has read it, with an answer that has no length, and resets the
// connection after a part of it. The error of the reset may go to the write of the upload: what the read sees then is
// no end of the answer (MIXED).
func TestAnswerThatIsResetDuringTheUploadIsNone(t *testing.T) {
	const requests = 60
	upload := strings.Repeat("x", 8<<20)
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", req.Header.Get("Id"), strings.Repeat("a part ", 3_000))
		time.Sleep(20 * time.Millisecond)
		_ = tcp.SetLinger(0)
	})
	c := newClient(t)
	results := make(chan error, requests)
	for n := range requests {
		go func() {
			_, err := send(t, c, request(e, fmt.Sprint("r", n), upload))
			results <- err
		}()
	}
	whole := 0
	for range requests {
		if <-results == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset counted as whole", whole, requests)
	}
}

// An endpoint answers a long upload at once and reads it later, or ends the answer regularly after it has read all.
func TestEarlyAnswerIsWhole(t *testing.T) {
	upload := strings.Repeat("x", 1<<20)
	for _, framed := range []bool{true, false} {
		t.Run(fmt.Sprint("length=", framed), func(t *testing.T) {
			e := serve(t, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n", req.Header.Get("Id"))
				if framed {
					head += "Content-Length: 4\r\n"
				}
				fmt.Fprint(conn, head, "\r\nfine")
				time.Sleep(20 * time.Millisecond)
				_, _ = r.Discard(len(upload))
			})
			if body, err := send(t, newClient(t), request(e, "r1", upload)); err != nil || body != "fine" {
				t.Errorf("got %q and error %v, want the answer", body, err)
			}
		})
	}
}
