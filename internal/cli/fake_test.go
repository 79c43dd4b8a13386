package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// start is the time of the fake clock at the beginning of every test.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// network is an HTTP transport that passes requests to in-process handlers,
// selected by host.
type network struct {
	hosts map[string]http.Handler
	// before, if not nil, is called before each request is handled.
	before func(*http.Request)
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	if n.before != nil {
		n.before(r)
	}
	h, ok := n.hosts[r.URL.Host]
	if !ok {
		return nil, fmt.Errorf("no route to %s", r.URL.Host)
	}
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("connection closed without an answer")
		}
	}()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// testEnv holds a simulated platform, fake instances, a fake clock and the output of the
// tool's last run.
type testEnv struct {
	t        *testing.T
	now      time.Time
	platform *platformsvc.Service
	net      *network
	out, err bytes.Buffer
	ids      int
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{t: t, now: start}
	e.platform = platformsvc.New(platformsvc.Options{Now: func() time.Time { return e.now }})
	e.net = &network{hosts: map[string]http.Handler{"log:1": e.platform.Handler()}}
	return e
}

// run runs the tool on behalf of an operator and returns its exit code.
func (e *testEnv) run(operator string, args ...string) ExitCode {
	e.out.Reset()
	e.err.Reset()
	env := map[string]string{EnvLog: "http://log:1", EnvOperator: operator, EnvOperatorKey: "op", EnvKey: "k", EnvInstance: "caller:1"}
	app := &App{
		Out: &e.out, Err: &e.err, In: bytes.NewReader(nil),
		HTTP:   &http.Client{Transport: e.net},
		Getenv: func(name string) string { return env[name] },
		Now:    func() time.Time { return e.now },
		NewID: func() string {
			e.ids++
			return fmt.Sprintf("change-%d", e.ids)
		},
		Sleep: func(_ context.Context, d time.Duration) error {
			e.now = e.now.Add(d)
			return nil
		},
		Backoff: &backoff.ZeroBackOff{},
		Version: "v0.0.0-test",
	}
	return app.Run(context.Background(), args)
}

// must runs the tool as operator ada and ends the test unless the exit code is want.
func (e *testEnv) must(want ExitCode, args ...string) {
	e.t.Helper()
	if got := e.run("ada", args...); got != want {
		e.t.Fatalf("%v: got exit code %d, want %d\n%s%s", args, got, want, &e.out, &e.err)
	}
}

// file writes a temporary file and returns its name.
func (e *testEnv) file(content string) string {
	e.t.Helper()
	name := filepath.Join(e.t.TempDir(), "objects.json")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		e.t.Fatal(err)
	}
	return name
}

// addInstances adds four instances in two zones that have the given revision in
// force. The last one is listed but does not answer.
func (e *testEnv) addInstances(rev config.Revision) {
	var rows []adminapi.Instance
	for i, zone := range []string{"riga-1", "riga-1", "riga-2", "riga-2"} {
		host := fmt.Sprintf("i%d:1", i)
		rows = append(rows, adminapi.Instance{
			ID: instanceID(i), Zone: zoneID(zone), PeerAddress: host, AdminAddress: host, State: adminapi.InstanceAlive,
		})
	}
	for i, row := range rows[:3] {
		st := adminapi.Status{Instance: row.ID, Zone: row.Zone, Revision: rev, Ready: true, CaughtUp: true, AgeMs: int64(i) * 250}
		e.net.hosts[row.AdminAddress] = instanceHandler(st, rows)
	}
}

// instanceHandler serves the admin API of one instance.
func instanceHandler(st adminapi.Status, rows []adminapi.Instance) http.Handler {
	answers := map[string]any{
		"GET " + adminapi.PathStatus:    st,
		"GET " + adminapi.PathInstances: rows,
		"GET " + adminapi.PathEndpoints: []adminapi.Endpoint{
			{ID: "engine-1", Pool: "reports", Zone: "riga-1", Kind: "engine", Address: "10.0.0.1:80", Owner: "instance-0", Running: 3, Queued: 1, Slots: 8},
			{ID: "engine-2", Pool: "reports", Zone: "riga-1", Kind: "engine", Address: "10.0.0.2:80", Owner: "instance-1", Slots: 8, Leaving: true},
			{ID: "ledger-1", Pool: "ledger", Zone: "riga-1", Kind: "service", Address: "10.0.0.3:80", Owner: "instance-1", Slots: 4, Failing: true},
			{ID: "ledger-2", Pool: "ledger", Zone: "riga-2", Kind: "service", Address: "10.0.0.4:80", Owner: "instance-3", Slots: 4},
		},
		"GET " + adminapi.PathPools: []adminapi.Pool{
			{ID: "ledger", Kind: "service", Endpoints: 1, Slots: 4},
			{ID: "reports", Kind: "engine", Endpoints: 2, Slots: 16, Running: 3, Queued: 1},
		},
		"POST " + adminapi.PathDrain: adminapi.Drain{Instance: st.Instance, InFlight: 3},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.Method+" "+r.URL.Path]
		switch {
		case r.Header.Get("Authorization") != "Bearer op":
			w.WriteHeader(http.StatusUnauthorized)
			answer = adminapi.Error{Message: "operator's key is wrong"}
		case !ok:
			w.WriteHeader(http.StatusNotFound)
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}
