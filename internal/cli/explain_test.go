package cli

import (
	"fmt"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const explainLog = `   0.06 front-a-1 {"ts":"2026-04-07T04:42:55.2Z","msg":"call on a transparent route ended","event":2004,"request":"r1","ms":28,"tried":["i-e"],"config":2,"verdict":"ran","status":200,"endpoint":"i-e"}
{"ts":"2026-04-07T04:42:55.1Z","msg":"endpoint failed","event":6001,"request":"r2","endpoint":"i-a","verdict":"may_have_run","reason":"connection_lost"}
{"ts":"2026-04-07T04:42:55.0Z","msg":"request refused by the broker","event":2005,"request":"r3","reason":"overload","waiting":40}
not a line of ours
{"ts":"2026-04-07T04:42:55.3Z","msg":"call on a transparent route ended","event":2004,"request":"r2","ms":40,"tried":["i-a","i-b"],"config":3,"verdict":"may_have_run","reason":"endpoint_failed","why":"the endpoint failed, and there was no other"}
{"ts":"2026-04-07T04:42:55.4Z","msg":"call on a transparent route ended","event":2004,"request":"r3","ms":900,"tried":null,"config":3,"verdict":"not_run","reason":"overload","why":"more requests wait","retry_after_ms":700}
{"ts":"2026-04-07T04:42:55.5Z","msg":"endpoint failed","event":6001,"request":"r4","endpoint":"i-a","verdict":"not_run","reason":"endpoint_refused"}
{"ts":"2026-04-07T04:42:55.6Z","msg":"call on a transparent route ended","event":2004,"request":"r6","ms":0,"tried":null,"config":3,"verdict":"not_run","reason":"quarantined","why":"part 12ca of the prompt has crashed 4 engines","retry_after_ms":5000}
`

func TestExplain(t *testing.T) {
	tests := []struct {
		id   string
		code ExitCode
		want []string
	}{
		{"r1", ExitOK, []string{"endpoint i-e answered the request with status 200", "sent to 1 endpoint"}},
		{"r2", ExitOK, []string{"6001", "the request failed (endpoint_failed", "is not known from these logs", "Endpoints that failed: i-a (connection_lost)"}},
		{"r3", ExitOK, []string{"2005", "was not run", "retry after 700 ms", "not sent to any endpoint"}},
		{"r4", ExitOK, []string{"still in progress at the end of the logs"}},
		{"r5", ExitFailure, nil},
		{"r6", ExitOK, []string{"part 12ca of the prompt has crashed 4 engines", "was not run", "retry after 5000 ms", "events 6010"}},
	}
	for _, tt := range tests {
		t.Run(tt.id, func(t *testing.T) {
			e := newTestEnv(t)
			e.must(tt.code, "explain", tt.id, e.file(explainLog))
			for _, s := range tt.want {
				if !strings.Contains(e.out.String(), s) {
					t.Errorf("output lacks %q:\n%s", s, e.out.String())
				}
			}
		})
	}
}

// Whatever event of the catalogue names a request, and whatever reason it states, explain
// shows it, and says where to look next.
func TestExplainCoversTheCatalogue(t *testing.T) {
	for _, event := range telemetry.Catalogue() {
		e := newTestEnv(t)
		e.must(ExitOK, "explain", "r", e.file(fmt.Sprintf(`{"ts":"2026-04-07T04:42:55.1Z","event":%d,"request":"r"}`, event.ID)))
		if !strings.Contains(e.out.String(), event.Message) {
			t.Errorf("event %d: output lacks %q:\n%s", event.ID, event.Message, e.out.String())
		}
	}
	for _, reason := range verdict.Reasons() {
		e := newTestEnv(t)
		e.must(ExitOK, "explain", "r", e.file(fmt.Sprintf(`{"ts":"2026-04-07T04:42:55.1Z","event":2004,"request":"r","reason":%q}`, reason)))
		if want := advice[reason]; want == "" || !strings.Contains(e.out.String(), want) {
			t.Errorf("reason %s: output lacks advice:\n%s", reason, e.out.String())
		}
	}
}
