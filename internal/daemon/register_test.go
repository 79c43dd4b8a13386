package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// idleConns is how many idle connections become unresponsive in the test.
const idleConns = 4

// TestUnresponsivePlatformConnections checks that after one failed exchange with
// the platform the next one dials a new connection. The other idle connections
// are then unresponsive as well, and each would cost another time-out.
func TestUnresponsivePlatformConnections(t *testing.T) {
	arrived, release := make(chan struct{}, idleConns), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	t.Cleanup(server.Close)
	r, err := relay.Start("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	d := &Daemon{metrics: telemetry.NewMetrics(), certs: &certificates{}}
	client := d.platformClient(d.metrics.PlatformControl)
	t.Cleanup(client.CloseIdleConnections)
	get := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address(), nil)
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	var all sync.WaitGroup
	for range idleConns {
		all.Go(func() {
			if err := get(time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	for range idleConns {
		<-arrived
	}
	close(release)
	all.Wait()
	r.StallOpenConnections()
	if get(100*time.Millisecond) == nil {
		t.Fatal("an exchange over an unresponsive connection succeeded")
	}
	before := r.AcceptedConnections()
	if err := get(time.Minute); err != nil || r.AcceptedConnections() != before+1 {
		t.Fatalf("exchange after a failed one: got error %v and %d accepted connections, want none and %d", err, r.AcceptedConnections(), before+1)
	}
}
