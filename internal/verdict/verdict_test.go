package verdict

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

func TestOfUnwrapsTraceErrors(t *testing.T) {
	e := Of(New(NotRun, ReasonOverload, time.Second, "queue of tier %d is full", 2))
	if e.Verdict != NotRun || e.Reason != ReasonOverload || e.RetryAfter != time.Second {
		t.Fatalf("got %+v, want not_run, overload and 1s", e)
	}
	if e.Reason.HTTPStatus() != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503", e.Reason.HTTPStatus())
	}
}

func TestOfUnknownErrorMayHaveRun(t *testing.T) {
	if e := Of(errors.New("boom")); e.Verdict != MayHaveRun || e.Reason != ReasonInternal {
		t.Fatalf("got %+v, want may_have_run and internal", e)
	}
}
