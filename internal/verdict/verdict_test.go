package verdict

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

func TestOfFindsTheVerdictThroughTraces(t *testing.T) {
	e := Of(New(NotRun, ReasonOverload, time.Second, "queue of tier %d is full", 2))
	if e.Verdict != NotRun || e.Reason != ReasonOverload || e.RetryAfter != time.Second {
		t.Fatalf("got %+v", e)
	}
	if e.Reason.HTTPStatus() != http.StatusServiceUnavailable {
		t.Fatalf("status %d", e.Reason.HTTPStatus())
	}
}

func TestOfUnknownErrorMayHaveRun(t *testing.T) {
	if e := Of(errors.New("boom")); e.Verdict != MayHaveRun || e.Reason != ReasonInternal {
		t.Fatalf("got %+v", e)
	}
}
