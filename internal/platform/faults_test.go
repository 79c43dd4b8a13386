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

// answering returns the URL of a server that gives every request that answer,
// and a count of the requests.
func answering(t *testing.T, status int, header http.Header, body []byte) (string, *int) {
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

func TestOnlyTheServiceCanSayThatARecordDoesNotStand(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		body   string
		want   error
	}{
		"says so":         {http.StatusServiceUnavailable, nil, `{"code":"not_appended"}`, platform.ErrNotAppended},
		"balancer's page": {http.StatusServiceUnavailable, nil, `<html>`, platform.ErrUnknownOutcome},
		"server error":    {http.StatusInternalServerError, nil, `{"code":"unavailable"}`, platform.ErrUnknownOutcome},
		"no offset":       {http.StatusOK, nil, `{}`, platform.ErrUnknownOutcome},
		"redirect":        {http.StatusTemporaryRedirect, http.Header{"Location": {"/log/s"}}, ``, platform.ErrUnknownOutcome},
	} {
		url, asked := answering(t, c.status, c.header, []byte(c.body))
		_, err := platform.NewHTTPLog(url, nil).Append(context.Background(), "s", []byte("x"))
		if !errors.Is(err, c.want) || *asked != 1 {
			t.Errorf("%s: %v after %d requests", name, err, *asked)
		}
	}
}

func TestSilentServiceIsGivenUpOn(t *testing.T) {
	svc, url := newPlatform(t)
	svc.SetFaults(platformsvc.Faults{LogOutage: platformsvc.OutageUnresponsive, ListOutage: platformsvc.OutageUnresponsive, WeightsOutage: platformsvc.OutageUnresponsive})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	log := platform.NewHTTPLog(url, nil)
	if _, err := log.Append(ctx, "s", nil); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Errorf("append: %v", err)
	}
	if _, err := log.Append(ctx, "s", nil); !errors.Is(err, platform.ErrNotAppended) {
		t.Errorf("append after the deadline: %v", err)
	}
	if n := svc.AppendCount(); n != 0 {
		t.Errorf("%d appends", n)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := log.Read(ctx, "s", 0, 1, time.Minute); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
	if _, err := platform.NewHTTPInstanceList(url, nil).List(ctx); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("list: %v", err)
	}
	if _, err := platform.NewHTTPWeightStore(url, nil).Stat(ctx, "w"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("weights: %v", err)
	}
}

func TestSizesAreBounded(t *testing.T) {
	url, asked := answering(t, http.StatusOK, nil, make([]byte, platform.MaxResponseBytes+1))
	log := platform.NewHTTPLog(url, nil)
	if _, err := log.Append(context.Background(), "s", make([]byte, platform.MaxRecordBytes+1)); !errors.Is(err, platform.ErrNotAppended) || *asked != 0 {
		t.Errorf("long record: %v", err)
	}
	if _, err := log.Read(context.Background(), "s", 0, 1, 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("long answer: %v", err)
	}
}

func TestStandInLimitsAppendsAndRetainsByAge(t *testing.T) {
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
		t.Errorf("%d of 15 appends refused", refused)
	}
	now = now.Add(61 * time.Second)
	res, err := svc.Read(ctx, "s", 0, 1, 0)
	if !errors.Is(err, platform.ErrTruncated) || res.First != 10 || res.Next != 10 {
		t.Errorf("%+v %v", res, err)
	}
	svc.PutWeights("w", 300)
	for i, want := range []time.Duration{3 * time.Second, 6 * time.Second} {
		if at, err := svc.Download(ctx, "w"); err != nil || at.Sub(now) != want {
			t.Errorf("download %d: %v %v", i, at.Sub(now), err)
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
		t.Errorf("got %+v", got)
	}
}

func TestListLagsAndForgetsTheSilent(t *testing.T) {
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
			t.Errorf("after %v: %v %v", c.after, list, err)
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
		Faults: &platformsvc.Faults{SlowMS: 700},
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
		t.Errorf("slept %v", slept)
	}
}
