package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// wholeAnswer is an answer to a request, in full.
func wholeAnswer(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\nfine"
}

// An endpoint in trouble sends bytes that are no answer, and keeps the connection open. The request fails at once
// and may have run; nothing of it is taken for an answer (MIXED).
func TestMalformedAnswersFailAtOnce(t *testing.T) {
	answer := func(status, field, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: %%s\r\n%s\r\n%s", status, field, body)
	}
	const length = "Content-Length: 4\r\n"
	tests := map[string]string{
		"status 000": answer("000 X", length, "fine"), "status 099": answer("099 X", length, "fine"), "status +20": answer("+20 X", length, "fine"),
		"status 600": answer("600 X", length, "fine"), "status 2000": answer("2000 X", length, "fine"), "status line that goes on": "HTTP/1.1 0",
		"another protocol": answer("101 X", length, "fine"), "text": "no answer", "empty line": "\r\n" + answer("200 OK", length, "fine"),
		"blank in a name": answer("200 OK", "X Odd: 1\r\n"+length, "fine"), "control byte in a name": answer("200 OK", "X\x01: 1\r\n"+length, "fine"),
		"blank before the colon": answer("200 OK", "X-Odd : 1\r\n"+length, "fine"), "blank before the colon of the length": answer("200 OK", "Content-Length : 4\r\n", "fine"),
		"blank before the colon of chunks": answer("200 OK", "Transfer-Encoding : chunked\r\n", "4\r\nfine\r\n0\r\n\r\n"),
		"length and chunks":                answer("200 OK", length+"Transfer-Encoding: chunked\r\n", "4\r\nfine\r\n0\r\n\r\n"),
		"folded":                           answer("200 OK", "X-Odd: 1\r\n 2\r\n"+length, "fine"), "control byte in a value": answer("200 OK", "X-Odd: \x07\r\n"+length, "fine"),
		"chunks that are none": answer("200 OK", "Transfer-Encoding: chunked\r\n", "xyz\r\nfine\r\n"),
		"blank in a trailer":   answer("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nfine\r\n0\r\nX Odd: 1\r\n\r\n"),
	}
	for name, sent := range tests {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reused=", reused), func(t *testing.T) {
				t.Parallel()
				e := serve(t, func(conn net.Conn, r *bufio.Reader) {
					for n := 0; ; n++ {
						req, _ := readRequest(r)
						if req == nil {
							return
						}
						if id := req.Header.Get("Id"); reused && n == 0 {
							fmt.Fprint(conn, wholeAnswer(id))
						} else {
							fmt.Fprint(conn, strings.Replace(sent, "%s", id, 1))
						}
					}
				})
				c := newClient(t)
				if reused {
					if body, err := send(t, c, request(e, "r0", "")); err != nil || body != "fine" {
						t.Fatalf("got %q and error %v for the first request", body, err)
					}
				}
				result := make(chan error, 1)
				began := time.Now()
				go func() {
					_, err := send(t, c, request(e, "r1", ""))
					result <- err
				}()
				select {
				case err := <-result:
					if err == nil {
						t.Fatal("the bytes were taken for an answer")
					}
					var v *verdict.Error
					if errors.As(err, &v) && v.Verdict != verdict.MayHaveRun {
						t.Errorf("got verdict %v, want that it may have run", v)
					}
				case <-time.After(time.Second):
					t.Fatalf("no verdict %v after the bytes that can't be an answer", time.Since(began))
				}
			})
		}
	}
}

// An endpoint stops within its answer and closes the connection, or resets it: whatever the byte, no part is taken
// for an answer (MIXED, ORDER). Before it, other answers have come on the connection, or none.
func TestAnswerThatStopsAtAnyByteIsNone(t *testing.T) {
	heads := map[string]string{
		"length":        wholeAnswer("r1"),
		"chunks":        "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"informational": "HTTP/1.1 103 X\r\nId: r1\r\n\r\n" + wholeAnswer("r1"),
		"no length":     "HTTP/1.1 200 OK\r\nId: r1\r\nServer: x\r\n\r\nf",
	}
	for name, answer := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset=", reset), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				e := serve(t, func(conn net.Conn, r *bufio.Reader) {
					if req, _ := readRequest(r); req != nil {
						fmt.Fprint(conn, answer[:cut.Load()])
					}
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				end := len(answer)
				if name == "no length" {
					end = strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
				}
				c := newClient(t)
				for n := range end {
					cut.Store(int64(n))
					if body, err := send(t, c, request(e, "r1", "")); err == nil {
						t.Errorf("%q was taken for a whole answer with body %q", answer[:n], body)
					}
				}
			})
		}
	}
}
