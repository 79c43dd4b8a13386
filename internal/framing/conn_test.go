package framing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

// A client of net/http gets an error for bytes that are no response, at once and not when its time has run out
// (the store's and the platform's services may be in trouble as endpoints may).
func TestClientsOfNetHTTPGetNoMalformedResponse(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
	tests := []struct {
		name, sent string
		ok         bool
	}{
		{"whole", good, true},
		{"after an informational response", "HTTP/1.1 103 X\r\n\r\n" + good, true},
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nfine", false},
		{"status +20", "HTTP/1.1 +20 X\r\nContent-Length: 4\r\n\r\nfine", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nfine", false},
		{"blank before the colon of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine", false},
		{"text", "no response", false},
	}
	for _, tt := range tests {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, " reused=", reused), func(t *testing.T) {
				address := loopback.Serve(t, func(conn net.Conn) {
					r := bufio.NewReader(conn)
					for n := 0; ; n++ {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						if reused && n == 0 {
							fmt.Fprint(conn, good)
							continue
						}
						fmt.Fprint(conn, tt.sent)
					}
				})
				client := &http.Client{Transport: Checked(&http.Transport{}), Timeout: 3 * time.Second}
				defer client.CloseIdleConnections()
				post := func() (string, error) {
					resp, err := client.Post("http://"+address, "", strings.NewReader("x"))
					if err != nil {
						return "", err
					}
					defer resp.Body.Close()
					body, err := io.ReadAll(resp.Body)
					return string(body), err
				}
				if reused {
					if body, err := post(); body != "fine" || err != nil {
						t.Fatalf("got %q and error %v for the first request", body, err)
					}
				}
				began := time.Now()
				body, err := post()
				if (err == nil) != tt.ok || tt.ok && body != "fine" {
					t.Errorf("got %q and error %v, want a response %v", body, err, tt.ok)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("got the result after %v, want it at once", took)
				}
			})
		}
	}
}
