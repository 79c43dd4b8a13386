package cli

import (
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const smallConfig = "../config/testdata/small.json"

func instanceID(i int) entity.InstanceID { return entity.InstanceID(fmt.Sprintf("instance-%d", i)) }
func zoneID(z string) entity.ZoneID      { return entity.ZoneID(z) }

// ledgerPool is a format for a configuration file that sets queue_per_endpoint of
// the plain service's pool.
const ledgerPool = `{"kind":"pool","name":"ledger","spec":{"kind":"service","queue_per_endpoint":%d,"max_body_bytes":1,"retry_budget":0}}`

func TestHelp(t *testing.T) {
	e := newTestEnv(t)
	var walk func(path []string, c *cobra.Command)
	walk = func(path []string, c *cobra.Command) {
		e.must(ExitOK, append(path, "--help")...)
		name := strings.Join(append([]string{"help"}, path...), "-")
		goldie.New(t).Assert(t, name, e.out.Bytes())
		for _, sub := range c.Commands() {
			if sub.Name() != "help" && sub.Name() != "completion" {
				walk(append(path[:len(path):len(path)], sub.Name()), sub)
			}
		}
	}
	walk(nil, (&App{}).Command())
}

func TestTables(t *testing.T) {
	e := newTestEnv(t)
	e.addInstances(7)
	e.net.hosts["caller:1"] = http.HandlerFunc(serveRequest)
	admin := []string{"--admin", "i0:1"}
	for _, c := range []struct {
		name string
		code ExitCode
		args []string
	}{
		{"config-validate", ExitOK, []string{"config", "validate", smallConfig}},
		{"config-publish", ExitOK, []string{"config", "publish", smallConfig}},
		{"config-publish-again", ExitOK, []string{"config", "publish", smallConfig}},
		{"config-show", ExitOK, []string{"config", "show"}},
		{"config-show-object", ExitOK, []string{"config", "show", "contract", "bank"}},
		{"config-history", ExitOK, []string{"config", "history", "--limit", "3"}},
		{"config-status", ExitOK, append(admin, "config", "status")},
		{"config-status-json", ExitOK, append(admin, "config", "status", "-o", "json")},
		{"instances", ExitOK, append(admin, "instances")},
		{"endpoints", ExitOK, append(admin, "endpoints")},
		{"pools", ExitOK, append(admin, "pools")},
		{"drain", ExitOK, append(admin, "drain")},
		{"request-show", ExitOK, []string{"request", "show", "r-1"}},
		{"version", ExitOK, []string{"version"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e.t = t
			e.must(c.code, c.args...)
			goldie.New(t).Assert(t, c.name, e.out.Bytes())
		})
	}
}

// serveRequest handles caller requests: it knows the status of request r-1 and
// refuses every new request because of overload.
func serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == callerapi.PathRequests+"r-1" {
		_ = json.NewEncoder(w).Encode(callerapi.Request{ID: "r-1", Verdict: verdict.Ran, State: "finished", Endpoint: "engine-1", At: start})
		return
	}
	w.Header().Set(callerapi.HeaderReason, string(verdict.ReasonOverload))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(callerapi.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, Message: "queue is full", RetryAfterMs: 1500})
}

func TestInvalidFilePublishesNothing(t *testing.T) {
	e := newTestEnv(t)
	for name, content := range map[string]string{
		"syntax":         `{"kind":`,
		"shape":          `{"kind":"pool","name":"p","spec":{"colour":1}}`,
		"cross refs":     `{"kind":"model","name":"m","spec":{"pool":"none"}}`,
		"stale based_on": `{"kind":"deployment","name":"default","based_on":4,"spec":{"tiers":["a"]}}`,
	} {
		e.must(ExitInvalid, "config", "publish", e.file(content))
		if !strings.Contains(e.err.String(), "objects.json:1: /") {
			t.Errorf("%s: no file, line and path in %q", name, e.err.String())
		}
	}
	if n := e.platform.AppendCount(); n != 0 {
		t.Errorf("got %d appended records, want 0", n)
	}
}

func TestConflictingChangeIsReported(t *testing.T) {
	e := newTestEnv(t)
	e.must(ExitOK, "config", "publish", smallConfig)
	mine, theirs := e.file(fmt.Sprintf(ledgerPool, 1)), e.file(fmt.Sprintf(ledgerPool, 2))
	raced := false
	e.net.before = func(r *http.Request) {
		if r.Method != http.MethodPost || raced {
			return
		}
		raced = true
		if code := e.run("bo", "config", "publish", theirs); code != ExitOK {
			t.Errorf("publishing by the other operator: got exit code %d, want %d", code, ExitOK)
		}
	}
	e.must(ExitConflict, "config", "publish", mine)
	if !strings.Contains(e.err.String(), `pool "ledger" was changed by bo at revision 8`) {
		t.Errorf("got error output %q, want one that names the other operator and the revision", e.err.String())
	}
}

func TestLostAppendResponseIsResolvedByReading(t *testing.T) {
	e := newTestEnv(t)
	e.must(ExitOK, "config", "publish", smallConfig)
	before := e.platform.AppendCount()
	f := e.platform.Faults()
	f.LoseAppendResponses = 1
	e.platform.SetFaults(f)
	e.must(ExitOK, "config", "publish", e.file(fmt.Sprintf(ledgerPool, 1)))
	if n := e.platform.AppendCount() - before; n != 1 {
		t.Errorf("got %d appends, want 1", n)
	}
}

func TestOutageBeforeAndAfterTheAppend(t *testing.T) {
	e := newTestEnv(t)
	e.must(ExitOK, "config", "publish", smallConfig)
	file := e.file(fmt.Sprintf(ledgerPool, 1))
	refuse := func() {
		f := e.platform.Faults()
		f.LogOutage = platformsvc.OutageRefuse
		e.platform.SetFaults(f)
	}
	faults := e.platform.Faults()
	faults.LoseAppendResponses = 1
	e.platform.SetFaults(faults)
	reads := 0
	e.net.before = func(r *http.Request) {
		if r.Method == http.MethodGet {
			if reads++; reads > 2 { // the first two read the bounds of the snapshot stream and the changes
				refuse()
			}
		}
	}
	code := e.run("ada", "config", "publish", file)
	if code != ExitUnknownOutcome {
		t.Errorf("outage after the append: got exit code %d, want %d: %s", code, ExitUnknownOutcome, &e.err)
	}
	e.must(ExitUnreachable, "config", "publish", file)
	e.net.before = nil
	e.platform.SetFaults(platformsvc.Faults{})
	e.must(ExitOK, "config", "publish", file)
	if !strings.Contains(e.out.String(), "unchanged") {
		t.Errorf("publishing again did not find the change in force:\n%s", &e.out)
	}
}

func TestWaitShowsInstancesThatAreBehind(t *testing.T) {
	e := newTestEnv(t)
	e.addInstances(3)
	e.must(ExitNotInForce, "--admin", "i0:1,i2:1", "config", "publish", "--wait", smallConfig)
	goldie.New(t).Assert(t, "config-publish-wait", e.out.Bytes())
}

// TestWaitEndsWhenInForceEverywhere checks that --wait succeeds once every listed
// instance has the revision in force. instance-0 lists only itself here, so the
// instances that do not answer, instance-2 and instance-3, are not waited for.
func TestWaitEndsWhenInForceEverywhere(t *testing.T) {
	e := newTestEnv(t)
	e.addInstances(7)
	delete(e.net.hosts, "i2:1")
	rows := `[{"id":"instance-0","zone":"riga-1","admin_address":"i0:1","state":"alive"}]`
	inner := e.net.hosts["i0:1"]
	e.net.hosts["i0:1"] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/instances") {
			fmt.Fprint(rw, rows)
			return
		}
		inner.ServeHTTP(rw, r)
	})
	e.must(ExitOK, "--admin", "i0:1", "config", "publish", "--wait", smallConfig)
}

func TestRefusedRequestIsReportedAsNotRun(t *testing.T) {
	e := newTestEnv(t)
	e.net.hosts["caller:1"] = http.HandlerFunc(serveRequest)
	e.must(ExitNotRun, "request", "send", "--model", "m", "--prompt", "hello")
	if !strings.Contains(e.err.String(), "queue is full (overload, not_run)\nRetry after 1.5s.") {
		t.Errorf("got error output %q, want the reason, the verdict and the time to retry", e.err.String())
	}
}

func TestSentRequestCarriesItsFields(t *testing.T) {
	e := newTestEnv(t)
	var got *http.Request
	e.net.hosts["caller:1"] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got = r
		rw.Header().Set(callerapi.HeaderVerdict, string(verdict.Ran))
		fmt.Fprint(rw, "booked")
	})
	e.must(ExitOK, "request", "send", "--service", "ledger", "--method", "POST", "--path", "/transfers/1",
		"--data", "{}", "--request-key", "t-17", "--tier", "urgent", "--deadline", "2s")
	if e.out.String() != "booked" || got.URL.Path != "/services/ledger/transfers/1" || got.Method != http.MethodPost {
		t.Errorf("got %s %s and output %q, want POST /services/ledger/transfers/1 and the response body", got.Method, got.URL, e.out.String())
	}
	for field, want := range map[string]string{
		callerapi.HeaderRequestKey: "t-17", callerapi.HeaderTier: "urgent",
		callerapi.HeaderDeadlineMs: "2000", "Authorization": "Bearer k",
	} {
		if got.Header.Get(field) != want {
			t.Errorf("header %s: got %q, want %q", field, got.Header.Get(field), want)
		}
	}
}

func TestWrongCommandLines(t *testing.T) {
	e := newTestEnv(t)
	for _, args := range [][]string{
		{"config", "bogus"}, {"bogus"}, {"config", "publish"}, {"pools", "-o", "xml"},
		{"request", "send"}, {"instances"}, {"request", "send", "--service", "s", "--method", "FETCH"},
	} {
		e.must(ExitUsage, args...)
	}
	e.must(ExitUnreachable, "--admin", "nowhere:1", "instances")
}

func TestNewKeyMatchesItsHash(t *testing.T) {
	e := newTestEnv(t)
	e.must(ExitOK, "key", "new", "-o", "json")
	var k newKey
	if err := json.Unmarshal(e.out.Bytes(), &k); err != nil {
		t.Fatal(err)
	}
	file := e.file(fmt.Sprintf(`[{"kind":"deployment","name":"default","spec":{"tiers":["a"]}},
		{"kind":"contract","name":"o","spec":{"tiers":["a"],"requests_per_sec":1,"burst":1,"max_concurrent":1,"key_hashes":[%q]}}]`, k.Hash))
	e.must(ExitOK, "config", "validate", file)
	if len(k.Key) != 2*keyBytes {
		t.Errorf("got key %q, want %d hex digits", k.Key, 2*keyBytes)
	}
}

func TestIncompleteStreamIsReported(t *testing.T) {
	const token = "event: token\ndata: {\"choices\":[{\"text\":\"hi \"}]}\n\n"
	for name, c := range map[string]struct {
		body string
		code ExitCode
	}{
		"complete":     {token + token + "event: end\ndata: {\"verdict\":\"ran\",\"tokens\":2}\n\n", ExitOK},
		"token lost":   {token + "event: end\ndata: {\"verdict\":\"ran\",\"tokens\":2}\n\n", ExitMayHaveRun},
		"no end event": {token + token, ExitMayHaveRun},
		"cut off":      {token + "event: end\ndata: {\"verdict\":\"ran\"", ExitMayHaveRun},
		"refused":      {"event: end\ndata: {\"verdict\":\"not_run\",\"reason\":\"overload\"}\n\n", ExitNotRun},
		"failed":       {token + "event: end\ndata: {\"verdict\":\"may_have_run\",\"reason\":\"connection_lost\",\"tokens\":1}\n\n", ExitMayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEnv(t)
			e.net.hosts["caller:1"] = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(rw, c.body)
			})
			e.must(c.code, "request", "send", "--model", "m", "--prompt", "p", "--stream")
			if c.code == ExitOK && e.out.String() != "hi hi \n" {
				t.Errorf("got output %q, want the text of both tokens", e.out.String())
			}
		})
	}
}

func TestPublishingIsRateLimited(t *testing.T) {
	e := newTestEnv(t)
	var objects []string
	for i := range publishBurst + publishPerSec {
		objects = append(objects, strings.Replace(fmt.Sprintf(ledgerPool, 1), "ledger", fmt.Sprintf("pool-%d", i), 1))
	}
	e.must(ExitOK, "config", "publish", e.file("["+strings.Join(objects, ",")+"]"))
	if took := e.now.Sub(start); took < 900*time.Millisecond || took > 1100*time.Millisecond {
		t.Errorf("publishing %d changes took %v, want about 1 s", len(objects), took)
	}
}

func TestInstancesOverTLS(t *testing.T) {
	e := newTestEnv(t)
	srv := httptest.NewUnstartedServer(nil)
	addr := srv.Listener.Addr().String()
	row := adminapi.Instance{ID: "i", Zone: "z", AdminAddress: addr, State: adminapi.InstanceAlive}
	srv.Config.Handler = instanceHandler(adminapi.Status{Instance: "i", Zone: "z", Revision: 5}, []adminapi.Instance{row})
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.StartTLS()
	defer srv.Close()
	ca := e.file(string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})))
	e.must(ExitOK, "--ca-file", ca, "--admin", addr, "instances")
	if !strings.Contains(e.out.String(), addr) || strings.Contains(e.out.String(), "unreachable") {
		t.Errorf("got output\n%s\nwant the instance at %s, reachable", &e.out, addr)
	}
	e.must(ExitUsage, "--ca-file", e.file("no certificate"), "--admin", addr, "instances")
}

func TestCompletionScripts(t *testing.T) {
	e := newTestEnv(t)
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		e.must(ExitOK, "completion", shell)
		if !strings.Contains(e.out.String(), "medlarhold") {
			t.Errorf("%s: the script does not contain the program's name", shell)
		}
	}
	e.must(ExitOK, "__complete", "config", "show", "")
	if !strings.HasPrefix(e.out.String(), "deployment\npool\nmodel\nendpoint\ncontract\n") {
		t.Errorf("completion of kinds: got %q, want all kinds in dependency order", e.out.String())
	}
}
