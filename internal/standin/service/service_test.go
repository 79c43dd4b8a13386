package service

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// call makes a call with the given key. aborted reports whether the service closed the connection
// instead of answering.
func call(ctx context.Context, s *Server, key string) (w *httptest.ResponseRecorder, aborted bool) {
	defer func() {
		err, _ := recover().(error)
		aborted = errors.Is(err, http.ErrAbortHandler)
	}()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/payouts?a=1", strings.NewReader(`{"amount":1}`))
	r.Header.Set(HeaderIdempotencyKey, key)
	r.Header.Set(endpoint.HeaderRequestID, "r-"+key)
	w = httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w, false
}

func TestCallsAreJournalledAndRunEachTime(t *testing.T) {
	s := New(Settings{})
	for i := range 2 {
		w, _ := call(context.Background(), s, "k")
		var got Answer
		if err := json.NewDecoder(w.Body).Decode(&got); err != nil || got.Run != i+1 || got.Key != "k" {
			t.Fatalf("call %d: got %+v, %v, want run %d with key k", i, got, err, i+1)
		}
	}
	journal := s.Journal()
	if len(journal) != 2 || journal[0].Path != "/payouts?a=1" || journal[1].RequestID != "r-k" || !journal[1].Ran {
		t.Fatalf("got journal %+v, want two calls that ran", journal)
	}
}

func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		name    string
		faults  Faults
		aborted bool
		status  int
		ran     int
		entries int
	}{
		{"healthy", Faults{}, false, http.StatusOK, 1, 1},
		{"unanswered", Faults{Unanswered: 1}, true, 0, 1, 1},
		{"lost", Faults{Lost: 1}, true, 0, 0, 0},
		{"refusing", Faults{AnswerWith: http.StatusServiceUnavailable}, false, http.StatusServiceUnavailable, 0, 1},
	} {
		s := New(Settings{})
		s.SetFaults(tt.faults)
		w, aborted := call(context.Background(), s, "k")
		if aborted != tt.aborted || !aborted && w.Code != tt.status {
			t.Errorf("%s: got aborted %v, response %+v; want aborted %v, status %d", tt.name, aborted, w, tt.aborted, tt.status)
		}
		ran := 0
		for _, e := range s.Journal() {
			if e.Ran {
				ran++
			}
		}
		if ran != tt.ran || len(s.Journal()) != tt.entries {
			t.Errorf("%s: got journal %+v, want %d entries, %d of them run", tt.name, s.Journal(), tt.entries, tt.ran)
		}
		if _, aborted := call(context.Background(), s, "k2"); aborted {
			t.Errorf("%s: the fault was injected more often than set", tt.name)
		}
	}
}

func TestFrozenServiceRunsNothing(t *testing.T) {
	s := New(Settings{})
	s.SetFaults(Faults{Frozen: true})
	disconnected, cancel := context.WithCancel(context.Background())
	cancel()
	if _, aborted := call(disconnected, s, "k"); !aborted || len(s.Journal()) != 0 {
		t.Fatalf("got aborted %v, journal %+v; want the call aborted and not journalled", aborted, s.Journal())
	}
	done := make(chan int)
	go func() {
		w, _ := call(context.Background(), s, "k2")
		done <- w.Code
	}()
	s.SetFaults(Faults{})
	if code := <-done; code != http.StatusOK {
		t.Fatalf("got status %d after unfreezing, want 200", code)
	}
}

// TestCallRunsAfterItsCallerDisconnects guards against a call that is received but has no effect
// because its caller disconnects: real services do not undo a call.
func TestCallRunsAfterItsCallerDisconnects(t *testing.T) {
	s := New(Settings{Delay: time.Hour})
	disconnected, cancel := context.WithCancel(context.Background())
	cancel()
	call(disconnected, s, "k")
	if journal := s.Journal(); len(journal) != 1 || !journal[0].Ran {
		t.Fatalf("got journal %+v, want one call that ran", journal)
	}
}
