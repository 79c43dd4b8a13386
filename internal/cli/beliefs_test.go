package cli

import (
	"net/http"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/medlarhold/medlarhold/internal/gateway"
)

// stateSnapshotJSON is the response of an instance that is a broker.
const stateSnapshotJSON = `{"instance":"front-a-1-0c","zone":"a","ready":true,"config_version":16,"config_age_ms":420,"endpoints":3,
"endpoints_age_ms":-1,"reads_store":true,"coordinator":"front-a-1-0c","zones":[{"zone":"a","reachable":true,"members":4,"leaving":1},
{"zone":"b","members":3,"suspect":3}],"brokers":{"llm":"front-a-1-0c"},"granted":[{"pool":"llm","waiting":7,"engines":[
{"endpoint":"i-1","running":9,"slots":9},{"endpoint":"i-2","running":2,"slots":9,"silent":true},{"endpoint":"i-3","slots":9,"leaving":true}]}]}`

func TestBeliefs(t *testing.T) {
	e := newTestEnv(t)
	e.net.hosts["metrics:1"] = http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path != gateway.StatePath {
			t.Errorf("unexpected request path %s", r.URL.Path)
		}
		_, _ = out.Write([]byte(stateSnapshotJSON))
	})
	e.net.hosts["busy:1"] = http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusServiceUnavailable) })
	e.net.hosts["other:1"] = http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { _, _ = out.Write([]byte("hello")) })
	e.must(ExitOK, "beliefs", "metrics:1")
	goldie.New(t).Assert(t, "beliefs", e.out.Bytes())
	e.must(ExitFailure, "beliefs", "busy:1")
	e.must(ExitFailure, "beliefs", "other:1")
	e.must(ExitUnreachable, "beliefs", "nobody:1")
}
