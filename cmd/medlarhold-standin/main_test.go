package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
)

// waitTimeout is a generous limit for a command in a test. It only ends tests that
// would hang.
const waitTimeout = 30 * time.Second

// start runs a command until the test ends and returns its start-up line.
func start(t *testing.T, cmd *cobra.Command, args ...string) startupLine {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	stdout, w := io.Pipe()
	cmd.SetOut(w)
	cmd.SetArgs(args)
	done := make(chan error, 1)
	go func() {
		done <- cmd.ExecuteContext(ctx)
		w.Close()
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var line startupLine
	if err := json.NewDecoder(stdout).Decode(&line); err != nil {
		t.Fatal(err)
	}
	return line
}

// do sends a request and returns the response's body. It ends the test unless the
// status is 200.
func do(t *testing.T, method, url, body string) string {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s %v %s", method, url, resp.Status, err, data)
	}
	return string(data)
}

func TestEngineCommandBehindARelay(t *testing.T) {
	engine := start(t, engineCommand(), "--settings", `{"kv_tokens": 320, /* small */ "decode_tokens_per_sec": 10000}`)
	relay := start(t, relayCommand(), "--target", engine.Address)
	if engine.Kind != "engine" || relay.Kind != "relay" || relay.Control == "" {
		t.Fatalf("got start-up lines %+v and %+v, want those of an engine and of a relay with a control address", engine, relay)
	}
	answer := do(t, "POST", "http://"+relay.Address+"/v1/completions", `{"request_id":"a","prompt":"p","max_tokens":2}`)
	if !strings.Contains(answer, `"completion_tokens":2`) {
		t.Fatalf("got answer %s, want 2 completion tokens", answer)
	}
	if got := do(t, "GET", "http://"+relay.Control+"/standin/connections", ""); !strings.Contains(got, `"accepted":1`) {
		t.Fatalf("got connections %s, want one accepted", got)
	}
	if got := do(t, "GET", "http://"+engine.Address+"/standin/journal", ""); !strings.Contains(got, `"request_id":"a"`) {
		t.Fatalf("got journal %s, want request a in it", got)
	}
}

func TestServiceCommand(t *testing.T) {
	service := start(t, serviceCommand())
	do(t, "POST", "http://"+service.Address+"/payouts", "{}")
	if got := do(t, "GET", "http://"+service.Address+"/standin/journal", ""); !strings.Contains(got, `"path":"/payouts"`) {
		t.Fatalf("got journal %s, want a call of /payouts in it", got)
	}
}

func TestLoadCommand(t *testing.T) {
	service := start(t, serviceCommand())
	journal := filepath.Join(t.TempDir(), "journal")
	cmd := loadCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetIn(strings.NewReader(`{
		"targets": ["http://` + service.Address + `"], "run": "t", "rate_per_sec": 1000, "requests": 20, // few
		"profiles": [{"name": "booking", "tier": "urgent", "call": {"method": "POST", "path": "/payouts", "keyed": true}}],
	}`))
	cmd.SetArgs([]string{"--settings", "-", "--journal", journal, "-o", "json"})
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		t.Fatal(err)
	}
	// The service sets no verdict, so no answer counts towards goodput.
	if got := out.String(); !strings.Contains(got, `"offered":20,"good":0`) || !strings.Contains(got, `"verdicts":{"none":20}`) {
		t.Fatalf("got report %s, want 20 offered, none good and none with a verdict", got)
	}
	if lines, err := os.ReadFile(journal); err != nil || bytes.Count(lines, []byte("\n")) != 20 {
		t.Fatalf("got journal %s, error %v, want 20 lines", lines, err)
	}
}

func TestBadSettingsAreRefused(t *testing.T) {
	for _, tt := range []struct {
		cmd  *cobra.Command
		args []string
	}{
		{engineCommand(), []string{"--settings", "{"}},
		{engineCommand(), []string{"--settings", `{"kv_tokens": "many"}`}},
		{serviceCommand(), []string{"--listen", "nowhere"}},
		{relayCommand(), nil},
		{loadCommand(), []string{"--settings", "/nonexistent"}},
		{loadCommand(), []string{"--settings", "-", "-o", "xml"}},
		{loadCommand(), []string{"--settings", "-"}},
	} {
		tt.cmd.SetIn(strings.NewReader("{}"))
		tt.cmd.SetArgs(tt.args)
		tt.cmd.SetOut(io.Discard)
		tt.cmd.SetErr(io.Discard)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := tt.cmd.ExecuteContext(ctx); err == nil || ctx.Err() != nil {
			t.Errorf("%s %v: got error %v, want one before the time-out", tt.cmd.Name(), tt.args, err)
		}
		cancel()
	}
}
