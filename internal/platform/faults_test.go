package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// startFixedServer returns the URL of a server that gives the same response to
// every request, and a count of the requests.
func startFixedServer(t *testing.T, status int, header http.Header, body []byte) (string, *int) {
	t.Helper()
	n := new(int)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*n++
		for k := range header {
			w.Header().Set(k, header.Get(k))
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL, n
}

// TestOnlyTheServiceCanRefuseAnAppend checks that an error response counts as a
// refused append only with the service's own error code. A load balancer's error
// page proves nothing, and a redirect must not be followed, because the append
// could be repeated.
func TestOnlyTheServiceCanRefuseAnAppend(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		body   string
		want   error
	}{
		"error code":      {http.StatusServiceUnavailable, nil, `{"code":"not_appended"}`, platform.ErrNotAppended},
		"balancer's page": {http.StatusServiceUnavailable, nil, `<html>`, platform.ErrUnknownOutcome},
		"server error":    {http.StatusInternalServerError, nil, `{"code":"unavailable"}`, platform.ErrUnknownOutcome},
		"no offset":       {http.StatusOK, nil, `{}`, platform.ErrUnknownOutcome},
		"redirect":        {http.StatusTemporaryRedirect, http.Header{"Location": {"/log/s"}}, ``, platform.ErrUnknownOutcome},
	} {
		url, requests := startFixedServer(t, c.status, c.header, []byte(c.body))
		_, err := platform.NewHTTPLog(url, nil).Append(context.Background(), "s", []byte("x"))
		if !errors.Is(err, c.want) || *requests != 1 {
			t.Errorf("%s: got %v after %d requests, want %v after 1", name, err, *requests, c.want)
		}
	}
}

func TestUnresponsiveServiceTimesOut(t *testing.T) {
	svc, url := newPlatform(t)
	svc.SetFaults(platformsvc.Faults{LogOutage: platformsvc.OutageUnresponsive, ListOutage: platformsvc.OutageUnresponsive, WeightsOutage: platformsvc.OutageUnresponsive})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	log := platform.NewHTTPLog(url, nil)
	if _, err := log.Append(ctx, "s", nil); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Errorf("append: got %v, want %v", err, platform.ErrUnknownOutcome)
	}
	if _, err := log.Append(ctx, "s", nil); !errors.Is(err, platform.ErrNotAppended) {
		t.Errorf("append after the deadline: got %v, want %v", err, platform.ErrNotAppended)
	}
	if n := svc.AppendCount(); n != 0 {
		t.Errorf("got %d appends, want 0", n)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := log.Read(ctx, "s", 0, 1, time.Minute); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read: got %v, want %v", err, platform.ErrUnavailable)
	}
	if _, err := platform.NewHTTPInstanceList(url, nil).List(ctx); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("list: got %v, want %v", err, platform.ErrUnavailable)
	}
	if _, err := platform.NewHTTPWeightStore(url, nil).Stat(ctx, "w"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("weights: got %v, want %v", err, platform.ErrUnavailable)
	}
}

func TestSizesAreBounded(t *testing.T) {
	url, requests := startFixedServer(t, http.StatusOK, nil, make([]byte, platform.MaxResponseBytes+1))
	log := platform.NewHTTPLog(url, nil)
	if _, err := log.Append(context.Background(), "s", make([]byte, platform.MaxRecordBytes+1)); !errors.Is(err, platform.ErrNotAppended) || *requests != 0 {
		t.Errorf("record over MaxRecordBytes: got %v after %d requests, want %v after 0", err, *requests, platform.ErrNotAppended)
	}
	if _, err := log.Read(context.Background(), "s", 0, 1, 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("response over MaxResponseBytes: got %v, want %v", err, platform.ErrUnavailable)
	}
}

func TestFakePlatformLimitsAppendsAndRetainsByAge(t *testing.T) {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	svc := platformsvc.New(platformsvc.Options{
		Now:    func() time.Time { return now },
		Faults: &platformsvc.Faults{AppendsPerSec: 10, RetainSec: 60, WeightBytesPerSec: 100},
	})
	ctx := context.Background()
	refused := 0
	for range 15 {
		if _, err := svc.Append(ctx, "s", []byte("x")); errors.Is(err, platform.ErrNotAppended) {
			refused++
		}
	}
	if refused != 5 {
		t.Errorf("got %d of 15 appends refused, want 5", refused)
	}
	now = now.Add(61 * time.Second)
	res, err := svc.Read(ctx, "s", 0, 1, 0)
	if !errors.Is(err, platform.ErrTruncated) || res.First != 10 || res.Next != 10 {
		t.Errorf("read of an expired offset: got %+v, %v, want first and next offset 10, %v", res, err, platform.ErrTruncated)
	}
	svc.PutWeights("w", 300)
	for i, want := range []time.Duration{3 * time.Second, 6 * time.Second} {
		if at, err := svc.Download(ctx, "w"); err != nil || at.Sub(now) != want {
			t.Errorf("download %d: got completion after %v, error %v, want %v", i, at.Sub(now), err, want)
		}
	}
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	svc, url := newPlatform(t)
	req, err := http.NewRequest(http.MethodPut, url+"/standin/faults", bytes.NewReader([]byte(`{"log_outage":"refuse"}`)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want := platformsvc.DefaultFaults()
	want.LogOutage = platformsvc.OutageRefuse
	if got := svc.Faults(); got != want {
		t.Errorf("got faults %+v, want %+v", got, want)
	}
}

func TestListLagsAndExpiresUnrenewedInstances(t *testing.T) {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	svc := platformsvc.New(platformsvc.Options{
		Now:    func() time.Time { return now },
		Faults: &platformsvc.Faults{ListLagSec: 2, ListExpirySec: 10},
	})
	ctx := context.Background()
	if err := svc.Register(ctx, instance("a")); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {2 * time.Second, 1}, {12 * time.Second, 1}, {13 * time.Second, 0}} {
		at := now
		now = now.Add(c.after)
		if list, err := svc.List(ctx); err != nil || len(list) != c.want {
			t.Errorf("after %v: got list %v, error %v, want %d instances", c.after, list, err, c.want)
		}
		now = at
	}
}

func instance(id entity.InstanceID) entity.Instance {
	return entity.Instance{ID: id, Zone: "z", PeerAddress: "127.0.0.1:1"}
}

func TestSlowLogDelaysEveryCall(t *testing.T) {
	var slept []time.Duration
	svc := platformsvc.New(platformsvc.Options{
		Faults: &platformsvc.Faults{SlowMs: 700},
		Sleep: func(_ context.Context, d time.Duration) error {
			slept = append(slept, d)
			return nil
		},
	})
	ctx := context.Background()
	if _, err := svc.Append(ctx, "s", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := svc.Read(ctx, "s", 0, 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(slept) != 2 || slept[0] != 700*time.Millisecond || slept[1] != slept[0] {
		t.Errorf("got delays %v, want 700 ms twice", slept)
	}
}
