package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// No connection to the endpoint of an unsafe request can be opened in time, so it was not run. Its
// caller is told so.
func TestRequestWithoutAConnectionIsSaidNotToHaveRun(t *testing.T) {
	noAnswer := func(context.Context, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }
	e := &catalog.Endpoint{Endpoint: entity.Endpoint{ID: "silent", Address: "127.0.0.1:1", Pool: "p"}}
	server := NewServer(Options{
		Scheduler: newFakeScheduler(e, e, e, e), HeaderCodec: testCodec{}, Client: upstream.New(upstream.Options{HeaderCodec: testCodec{}, Dial: noAnswer}),
		Log: logr.Discard(), Metrics: telemetry.NewMetrics(), Account: intake.NewAccount(1 << 20),
	})
	r := sendTo(t, server, "/unsafe/x", "", nil)
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", r.status, r.header.Get("Retry-After"))
	}
}
