package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// maxExchangeBytes is the memory that one exchange may allocate, whatever the endpoint
// sends.
const maxExchangeBytes = 1 << 20

// sendWithoutEnd writes head, then repeats part until the client closes the connection.
func sendWithoutEnd(head, part string) func(net.Conn, *bufio.Reader) {
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	return func(conn net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(head, "ID", req.Header.Get("Id")))
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// allocated returns the bytes that f allocates: the least of several runs, because
// goroutines of earlier tests allocate as well.
func allocated(f func()) uint64 {
	least := uint64(math.MaxUint64)
	for range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		least = min(least, after.TotalAlloc-before.TotalAlloc)
	}
	return least
}

func TestBytesWithoutEndAreLimited(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	tests := []struct {
		name, head, part string
		want             Limit
	}{
		{"status line", "HTTP/1.1 200 ", "x", LimitHead},
		{"one header", okHead + "Long: ", "x", LimitHead},
		{"one header name", okHead, "x", LimitHead},
		{"headers", okHead, "Extra: x\r\n", LimitHead},
		{"small headers", okHead, "a:\r\n", LimitHead},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", LimitInformational},
		{"body without a length", okHead + "Connection: close\r\n\r\n", "x", LimitBody},
		{"chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", LimitBody},
		{"body with a length", okHead + "Content-Length: 9000000000\r\n\r\n", "x", LimitBody},
		{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x", ""},
		{"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", ""},
		{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Extra: x\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var exceeded Limit
			c := New(Options{HeaderCodec: testCodec{}, OnLimitExceeded: func(l Limit) { exceeded = l }})
			defer c.Close()
			e := serve(t, sendWithoutEnd(tt.head, tt.part))
			r := request(e, "r1", "")
			r.MaxBodyBytes = 4 << 20
			var err error
			n := allocated(func() { err = discard(c, r) })
			if err == nil || verdictOf(err) == verdict.NotRun {
				t.Errorf("got error %v, want one that does not state that the request was not run", err)
			}
			if exceeded != tt.want {
				t.Errorf("got limit %q, want %q", exceeded, tt.want)
			}
			if n > maxExchangeBytes {
				t.Errorf("the exchange allocated %d bytes, want at most %d", n, maxExchangeBytes)
			}
		})
	}
}

// discard sends a request and reads its response to the end.
func discard(c *Client, r Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	defer response.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if ctx.Err() != nil {
		return fmt.Errorf("ended by the test's time limit: %w", err)
	}
	return err
}

// verdictOf returns the verdict that err carries, MayHaveRun for none.
func verdictOf(err error) verdict.Verdict { return verdict.Of(err).Verdict }

// An endpoint that sends a byte now and then must not keep an exchange alive beyond the
// time of the caller.
func TestSingleBytesDoNotExtendTheTime(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nLong: ", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n"} {
		e := serve(t, func(conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(conn, head)
			for _, err := conn.Write([]byte("x")); err == nil; _, err = conn.Write([]byte("x")) {
				time.Sleep(5 * time.Millisecond)
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		response, err := newClient(t).Do(ctx, request(e, "r1", ""))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Close()
		}
		if err == nil || ctx.Err() == nil {
			t.Errorf("%q: got error %v before the end of the time: %v, want an error when the time ends", head, err, ctx.Err() == nil)
		}
		cancel()
	}
}

// The body of a response to another request must not be read in part: what is left of it
// could look like the response that is waited for.
func TestOverlongForeignResponseIsNotReadInPart(t *testing.T) {
	e := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			id := req.Header.Get("Id")
			if id == "r1" {
				respond(conn, id, "first")
				continue
			}
			forged := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 6\r\n\r\nforged"
			respond(conn, "r1", strings.Repeat("x", maxForeignBytes)+forged)
		}
	})
	c := newClient(t)
	if body, err := send(t, c, request(e, "r1", "")); err != nil || body != "first" {
		t.Fatalf("got body %q and error %v, want first", body, err)
	}
	if body, err := send(t, c, request(e, "r2", "")); err == nil {
		t.Errorf("got body %q, want an error: no response to the request was sent", body)
	}
}

// FuzzResponse checks that no sequence of bytes that an endpoint sends lets an exchange
// use more memory than allowed, or yields a response to another request.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4;ext\r\nfine\r\n0\r\nT: x\r\n\r\n",
		"HTTP/1.1 503 X\r\nId: r1\r\nRetry-After: -1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: r1\r\n\r\nno length",
		"this is no response",
		"HTTP/1.1 000 X\r\nId: r1\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nId: r1\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			defer far.Close()
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = io.Copy(far, bytes.NewReader(sent))
		}()
		c := New(Options{HeaderCodec: testCodec{}})
		k := newConn(near, "fuzz")
		k.exchanges = 1 // as on a connection that was used before: responses must name their request
		response, err := c.exchange(t.Context(), k, Request{ID: "r1", To: &catalog.Endpoint{}, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, MaxBodyBytes: 1 << 10})
		if err != nil {
			return
		}
		if response.Meta.RequestID != "r1" {
			t.Fatalf("got a response to request %q, want r1", response.Meta.RequestID)
		}
		if response.Status < 200 || response.Status > 599 {
			t.Errorf("got status %d, want one of a final response", response.Status)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\r\n\x00\x7f:()") {
				t.Errorf("got a field named %q", name)
			}
		}
		n, err := io.Copy(io.Discard, response.Body)
		if n > 64<<10 {
			t.Errorf("read %d bytes of a body limited to 1024, error %v", n, err)
		}
		if errors.Is(err, io.EOF) {
			t.Errorf("got %v from a copy, want nil at the end", err)
		}
	})
}
