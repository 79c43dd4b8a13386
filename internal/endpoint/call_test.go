package endpoint_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

func startService(t *testing.T) (*service.Server, string) {
	t.Helper()
	s := service.New(service.Settings{})
	l, err := serve.Listen("127.0.0.1:0", s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return s, l.Address()
}

func booking(id string) endpoint.CallRequest {
	return endpoint.CallRequest{
		RequestID: requestID(id),
		Method:    http.MethodPost,
		Path:      "/payouts?dry=0&name=a%2Fb",
		Header:    http.Header{"Idempotency-Key": {"key-" + id}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}},
		Body:      []byte(`{"amount":12}`),
	}
}

func TestCallCarriesTheCall(t *testing.T) {
	s, address := startService(t)
	c, _ := newClient(t, nil)
	resp, err := c.Call(testContext(t), address, booking("a"))
	if err != nil || resp.Status != http.StatusOK || resp.Verdict() != verdict.Ran {
		t.Fatalf("%+v, %v", resp, err)
	}
	var answer service.Answer
	if err := json.Unmarshal(resp.Body, &answer); err != nil {
		t.Fatal(err)
	}
	got := s.Journal()
	if len(got) != 1 || !got[0].Ran || got[0].RequestID != "r-a" || got[0].Key != "key-a" || got[0].Path != booking("a").Path {
		t.Fatalf("journal %+v", got)
	}
	if answer.BodyHash != got[0].BodyHash || answer.Run != 1 {
		t.Fatalf("answer %+v, journal %+v", answer, got)
	}
}

func TestHopByHopHeadersAreNotCarried(t *testing.T) {
	carried := make(chan http.Header, 1)
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		carried <- r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Answer", "1")
	})
	c, _ := newClient(t, nil)
	resp, err := c.Call(testContext(t), address, booking("a"))
	if err != nil {
		t.Fatal(err)
	}
	seen := <-carried
	if seen.Get("X-Hop") != "" || seen.Get("Te") != "" || seen.Get("Idempotency-Key") != "key-a" {
		t.Errorf("carried to the service: %v", seen)
	}
	if resp.Header.Get("Keep-Alive") != "" || resp.Header.Get("X-Answer") != "1" {
		t.Errorf("carried back: %v", resp.Header)
	}
}

func TestCallWhoseAnswerIsLostMayHaveRun(t *testing.T) {
	s, address := startService(t)
	s.SetFaults(service.Faults{Unanswered: 1})
	c, _ := newClient(t, nil)
	_, err := c.Call(testContext(t), address, booking("a"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonConnectionLost)
	if got := s.Journal(); len(got) != 1 || !got[0].Ran {
		t.Fatalf("journal %+v", got)
	}
}

func TestServerErrorOfAServiceMayHaveRun(t *testing.T) {
	s, address := startService(t)
	s.SetFaults(service.Faults{AnswerWith: http.StatusInternalServerError})
	c, _ := newClient(t, nil)
	resp, err := c.Call(testContext(t), address, booking("a"))
	if err != nil || resp.Verdict() != verdict.MayHaveRun {
		t.Fatalf("%+v, %v", resp, err)
	}
}

func TestCallBodiesAreBounded(t *testing.T) {
	address := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 1001))
	})
	c, _ := newClient(t, func(o *endpoint.Options) { o.MaxBodyBytes = 1000 })
	_, err := c.Call(testContext(t), address, booking("a"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonAnswerIncomplete)
}

func TestMalformedCallDidNotRun(t *testing.T) {
	s, address := startService(t)
	c, _ := newClient(t, nil)
	for _, call := range []endpoint.CallRequest{
		{Method: "bad method", Path: "/"},
		{Method: "GET", Path: "/%zz"},
	} {
		_, err := c.Call(testContext(t), address, call)
		wantVerdict(t, err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	if got := s.Journal(); len(got) != 0 {
		t.Fatalf("journal %+v", got)
	}
}

// TestCallThatDripsComesToAnEnd has a service that always makes progress and
// never ends.
func TestCallThatDripsComesToAnEnd(t *testing.T) {
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			<-tick.C
		}
	})
	c, _ := newClient(t, func(o *endpoint.Options) { o.CallLimit = 50 * time.Millisecond })
	_, err := c.Call(testContext(t), address, booking("a"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonDeadline)
}
