package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// The event of a request that is refused for its organisation's limit says why: what it asked,
// the limit, the level, this instance's share and the age of what it knows.
func TestRefusalForALimitIsExplained(t *testing.T) {
	var lines []string
	log := funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{})
	sched := newFakeScheduler()
	sched.limit = 0
	server := NewServer(Options{Scheduler: sched, HeaderCodec: testCodec{}, Client: upstream.New(upstream.Options{HeaderCodec: testCodec{}}),
		Log: log, Metrics: telemetry.NewMetrics(), Account: intake.NewAccount(1 << 20)})
	req := httptest.NewRequest(http.MethodPost, "/safe/x", nil)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	server.ServeHTTP(w, req)
	if w.Code != http.StatusTooManyRequests || len(lines) != 1 {
		t.Fatalf("got status %d and %d lines, want 429 and one line", w.Code, len(lines))
	}
	for _, field := range []string{`"asked":`, `"limit_per_s":10`, `"limit_burst":0`, `"level":0`, `"spendable":`, `"required":`, `"refill_per_s":`,
		`"share":0.25`, `"uncounted":`, `"accounts_age_ms":70`, `"isolated":false`} {
		if !strings.Contains(lines[0], field) {
			t.Errorf("the event has no %s: %s", field, lines[0])
		}
	}
}
