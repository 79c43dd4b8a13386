package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// newPlatform serves a simulated platform over HTTP until the test ends.
func newPlatform(t *testing.T) (*platformsvc.Service, string) {
	t.Helper()
	svc := platformsvc.New(platformsvc.Options{})
	srv := httptest.NewServer(svc.Handler())
	t.Cleanup(srv.Close)
	return svc, srv.URL
}

func TestLogOverHTTP(t *testing.T) {
	_, url := newPlatform(t)
	log := platform.NewHTTPLog(url, nil)
	ctx := context.Background()
	for i, data := range []string{"a", "b", "c"} {
		off, err := log.Append(ctx, "s", []byte(data))
		if err != nil || off != platform.Offset(i) {
			t.Fatalf("append %d: got offset %d, error %v", i, off, err)
		}
	}
	res, err := log.Read(ctx, "s", 1, 10, 0)
	if err != nil || len(res.Records) != 2 || string(res.Records[0].Data) != "b" || res.Next != 3 {
		t.Fatalf("read from offset 1: got %+v, %v, want records b and c, next offset 3", res, err)
	}
}

func TestReadWaitsForTheNextAppend(t *testing.T) {
	svc, url := newPlatform(t)
	log := platform.NewHTTPLog(url, nil)
	got := make(chan platform.ReadResult, 1)
	go func() {
		res, _ := log.Read(context.Background(), "s", 0, 10, 10*time.Second)
		got <- res
	}()
	if _, err := svc.Append(context.Background(), "s", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if res := <-got; len(res.Records) != 1 {
		t.Fatalf("got %+v, want one record", res)
	}
}

func TestLostAppendResponseIsAnUnknownOutcome(t *testing.T) {
	svc, url := newPlatform(t)
	f := svc.Faults()
	f.LoseAppendResponses = 1
	svc.SetFaults(f)
	log := platform.NewHTTPLog(url, nil)
	_, err := log.Append(context.Background(), "s", []byte("x"))
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("got %v, want %v", err, platform.ErrUnknownOutcome)
	}
	if n := svc.AppendCount(); n != 1 {
		t.Fatalf("got %d appends, want 1", n)
	}
}

func TestRefusedAppendsWereNotAppended(t *testing.T) {
	svc, url := newPlatform(t)
	f := svc.Faults()
	f.LogOutage = platformsvc.OutageRefuse
	svc.SetFaults(f)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	for name, base := range map[string]string{"refused by the service": url, "connection refused": "http://" + ln.Addr().String()} {
		_, err := platform.NewHTTPLog(base, nil).Append(context.Background(), "s", []byte("x"))
		if !errors.Is(err, platform.ErrNotAppended) {
			t.Errorf("%s: got %v, want %v", name, err, platform.ErrNotAppended)
		}
	}
}

func TestTruncatedReadReturnsTheRemainingOffsets(t *testing.T) {
	svc, url := newPlatform(t)
	f := svc.Faults()
	f.RetainRecords = 2
	svc.SetFaults(f)
	log := platform.NewHTTPLog(url, nil)
	for range 5 {
		if _, err := log.Append(context.Background(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	res, err := log.Read(context.Background(), "s", 1, 10, 0)
	if !errors.Is(err, platform.ErrTruncated) || res.First != 3 || res.Next != 5 {
		t.Fatalf("got %+v, %v, want first offset 3, next 5, %v", res, err, platform.ErrTruncated)
	}
}

func TestListAndWeightsOverHTTP(t *testing.T) {
	svc, url := newPlatform(t)
	f := svc.Faults()
	f.ListLagSec = 0
	svc.SetFaults(f)
	svc.PutWeights("m/1", 42)
	ctx := context.Background()
	list := platform.NewHTTPInstanceList(url, nil)
	in := entity.Instance{ID: "i-1", Zone: "a", Region: "r", PeerAddress: "127.0.0.1:1", Leaving: true}
	if err := list.Register(ctx, in); err != nil {
		t.Fatal(err)
	}
	got, err := list.List(ctx)
	if err != nil || len(got) != 1 || got[0] != in {
		t.Fatalf("after Register: got %+v, %v, want %+v", got, err, in)
	}
	if err := list.Deregister(ctx, in.ID); err != nil {
		t.Fatal(err)
	}
	if got, err := list.List(ctx); err != nil || len(got) != 0 {
		t.Fatalf("after Deregister: got %+v, %v, want an empty list", got, err)
	}
	weights := platform.NewHTTPWeightStore(url, nil)
	if n, err := weights.Stat(ctx, "m/1"); err != nil || n != 42 {
		t.Fatalf("got %d bytes, error %v, want 42", n, err)
	}
	if _, err := weights.Stat(ctx, "none"); !trace.IsNotFound(err) {
		t.Fatalf("unknown weights: got %v, want a trace.NotFound", err)
	}
}
