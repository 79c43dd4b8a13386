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

const small = "../config/testdata/small.json"

func instanceID(i int) entity.InstanceID { return entity.InstanceID(fmt.Sprintf("instance-%d", i)) }
func zoneID(z string) entity.ZoneID      { return entity.ZoneID(z) }

// pool is a file with the pool of the plain service, changed.
const pool = `{"kind":"pool","name":"ledger","spec":{"kind":"service","queue_per_endpoint":%d,"max_body_bytes":1,"retry_budget":0}}`

func TestHelp(t *testing.T) {
	w := newWorld(t)
	var walk func(path []string, c *cobra.Command)
	walk = func(path []string, c *cobra.Command) {
		w.must(ExitOK, append(path, "--help")...)
		name := strings.Join(append([]string{"help"}, path...), "-")
		goldie.New(t).Assert(t, name, w.out.Bytes())
		for _, sub := range c.Commands() {
			if sub.Name() != "help" && sub.Name() != "completion" {
				walk(append(path[:len(path):len(path)], sub.Name()), sub)
			}
		}
	}
	walk(nil, (&App{}).Command())
}

func TestTables(t *testing.T) {
	w := newWorld(t)
	w.addInstances(7)
	w.net.hosts["caller:1"] = http.HandlerFunc(serveRequest)
	admin := []string{"--admin", "i0:1"}
	for _, c := range []struct {
		name string
		code ExitCode
		args []string
	}{
		{"config-validate", ExitOK, []string{"config", "validate", small}},
		{"config-publish", ExitOK, []string{"config", "publish", small}},
		{"config-publish-again", ExitOK, []string{"config", "publish", small}},
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
			w.t = t
			w.must(c.code, c.args...)
			goldie.New(t).Assert(t, c.name, w.out.Bytes())
		})
	}
}

// serveRequest knows one request, and refuses all that are sent.
func serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == callerapi.PathRequests+"r-1" {
		_ = json.NewEncoder(w).Encode(callerapi.Request{ID: "r-1", Verdict: verdict.Ran, State: "finished", Endpoint: "engine-1", At: start})
		return
	}
	w.Header().Set(callerapi.HeaderReason, string(verdict.ReasonOverload))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(callerapi.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, Message: "queue is full", RetryAfterMS: 1500})
}

func TestInvalidFilePublishesNothing(t *testing.T) {
	w := newWorld(t)
	for name, content := range map[string]string{
		"syntax":         `{"kind":`,
		"shape":          `{"kind":"pool","name":"p","spec":{"colour":1}}`,
		"cross refs":     `{"kind":"model","name":"m","spec":{"pool":"none"}}`,
		"stale based_on": `{"kind":"deployment","name":"default","based_on":4,"spec":{"tiers":["a"]}}`,
	} {
		w.must(ExitInvalid, "config", "publish", w.file(content))
		if !strings.Contains(w.err.String(), "objects.json:1: /") {
			t.Errorf("%s: no place in %q", name, w.err.String())
		}
	}
	if n := w.platform.AppendCount(); n != 0 {
		t.Errorf("%d records were appended", n)
	}
}

func TestLosingOperatorIsToldWhatStands(t *testing.T) {
	w := newWorld(t)
	w.must(ExitOK, "config", "publish", small)
	mine, theirs := w.file(fmt.Sprintf(pool, 1)), w.file(fmt.Sprintf(pool, 2))
	raced := false
	w.net.before = func(r *http.Request) {
		if r.Method != http.MethodPost || raced {
			return
		}
		raced = true
		if code := w.run("bo", "config", "publish", theirs); code != ExitOK {
			t.Errorf("the other operator: %d", code)
		}
	}
	w.must(ExitConflict, "config", "publish", mine)
	if !strings.Contains(w.err.String(), `pool "ledger" was changed by bo at revision 8`) {
		t.Errorf("got %q", w.err.String())
	}
}

func TestLostAnswersAreSettledByReading(t *testing.T) {
	w := newWorld(t)
	w.must(ExitOK, "config", "publish", small)
	before := w.platform.AppendCount()
	f := w.platform.Faults()
	f.LoseAppendAnswers = 1
	w.platform.SetFaults(f)
	w.must(ExitOK, "config", "publish", w.file(fmt.Sprintf(pool, 1)))
	if n := w.platform.AppendCount() - before; n != 1 {
		t.Errorf("appended %d times", n)
	}
}

func TestOutageBeforeAndAfterTheAppend(t *testing.T) {
	w := newWorld(t)
	w.must(ExitOK, "config", "publish", small)
	file := w.file(fmt.Sprintf(pool, 1))
	refuse := func() {
		f := w.platform.Faults()
		f.LogOutage = platformsvc.OutageRefuse
		w.platform.SetFaults(f)
	}
	lose := w.platform.Faults()
	lose.LoseAppendAnswers = 1
	w.platform.SetFaults(lose)
	reads := 0
	w.net.before = func(r *http.Request) {
		if r.Method == http.MethodGet {
			if reads++; reads > 2 { // bounds of the snapshots, changes
				refuse()
			}
		}
	}
	code := w.run("ada", "config", "publish", file)
	if code != ExitUnknownOutcome {
		t.Errorf("after the append: %d %s", code, &w.err)
	}
	w.must(ExitUnreachable, "config", "publish", file)
	w.net.before = nil
	w.platform.SetFaults(platformsvc.Faults{})
	w.must(ExitOK, "config", "publish", file)
	if !strings.Contains(w.out.String(), "unchanged") {
		t.Errorf("the change did not stand:\n%s", &w.out)
	}
}

func TestWaitShowsWhoIsBehind(t *testing.T) {
	w := newWorld(t)
	w.addInstances(3)
	w.must(ExitNotInForce, "--admin", "i0:1,i2:1", "config", "publish", "--wait", small)
	goldie.New(t).Assert(t, "config-publish-wait", w.out.Bytes())
}

func TestWaitEndsWhenInForceEverywhere(t *testing.T) {
	w := newWorld(t)
	w.addInstances(7)
	delete(w.net.hosts, "i2:1")
	rows := `[{"id":"instance-0","zone":"riga-1","admin_address":"i0:1","state":"alive"}]`
	inner := w.net.hosts["i0:1"]
	w.net.hosts["i0:1"] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/instances") {
			fmt.Fprint(rw, rows)
			return
		}
		inner.ServeHTTP(rw, r)
	})
	w.must(ExitOK, "--admin", "i0:1", "config", "publish", "--wait", small)
}

func TestRefusedRequestSaysThatItWasNotRun(t *testing.T) {
	w := newWorld(t)
	w.net.hosts["caller:1"] = http.HandlerFunc(serveRequest)
	w.must(ExitNotRun, "request", "send", "--model", "m", "--prompt", "hello")
	if !strings.Contains(w.err.String(), "queue is full (overload, not_run)\nCome back in 1.5s.") {
		t.Errorf("got %q", w.err.String())
	}
}

func TestSentRequestCarriesItsFields(t *testing.T) {
	w := newWorld(t)
	var got *http.Request
	w.net.hosts["caller:1"] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got = r
		rw.Header().Set(callerapi.HeaderVerdict, string(verdict.Ran))
		fmt.Fprint(rw, "booked")
	})
	w.must(ExitOK, "request", "send", "--service", "ledger", "--method", "POST", "--path", "/transfers/1",
		"--data", "{}", "--request-key", "t-17", "--tier", "urgent", "--deadline", "2s")
	if w.out.String() != "booked" || got.URL.Path != "/services/ledger/transfers/1" || got.Method != http.MethodPost {
		t.Errorf("%s %s: %q", got.Method, got.URL, w.out.String())
	}
	for field, want := range map[string]string{
		callerapi.HeaderRequestKey: "t-17", callerapi.HeaderTier: "urgent",
		callerapi.HeaderDeadlineMS: "2000", "Authorization": "Bearer k",
	} {
		if got.Header.Get(field) != want {
			t.Errorf("%s: %q", field, got.Header.Get(field))
		}
	}
}

func TestWrongCommandLines(t *testing.T) {
	w := newWorld(t)
	for _, args := range [][]string{
		{"config", "bogus"}, {"bogus"}, {"config", "publish"}, {"pools", "-o", "xml"},
		{"request", "send"}, {"instances"}, {"request", "send", "--service", "s", "--method", "FETCH"},
	} {
		w.must(ExitUsage, args...)
	}
	w.must(ExitUnreachable, "--admin", "nowhere:1", "instances")
}

func TestNewKeyHashesItself(t *testing.T) {
	w := newWorld(t)
	w.must(ExitOK, "key", "new", "-o", "json")
	var k newKey
	if err := json.Unmarshal(w.out.Bytes(), &k); err != nil {
		t.Fatal(err)
	}
	file := w.file(fmt.Sprintf(`[{"kind":"deployment","name":"default","spec":{"tiers":["a"]}},
		{"kind":"contract","name":"o","spec":{"tiers":["a"],"requests_per_sec":1,"burst":1,"max_concurrent":1,"key_hashes":[%q]}}]`, k.Hash))
	w.must(ExitOK, "config", "validate", file)
	if len(k.Key) != 2*keyBytes {
		t.Errorf("key %q", k.Key)
	}
}

func TestStreamedAnswerIsWholeOrSaidNotToBe(t *testing.T) {
	const token = "event: token\ndata: {\"choices\":[{\"text\":\"hi \"}]}\n\n"
	for name, c := range map[string]struct {
		body string
		code ExitCode
	}{
		"whole":       {token + token + "event: end\ndata: {\"verdict\":\"ran\",\"tokens\":2}\n\n", ExitOK},
		"token lost":  {token + "event: end\ndata: {\"verdict\":\"ran\",\"tokens\":2}\n\n", ExitMayHaveRun},
		"no end mark": {token + token, ExitMayHaveRun},
		"cut off":     {token + "event: end\ndata: {\"verdict\":\"ran\"", ExitMayHaveRun},
		"refused":     {"event: end\ndata: {\"verdict\":\"not_run\",\"reason\":\"overload\"}\n\n", ExitNotRun},
		"failed":      {token + "event: end\ndata: {\"verdict\":\"may_have_run\",\"reason\":\"connection_lost\",\"tokens\":1}\n\n", ExitMayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.net.hosts["caller:1"] = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(rw, c.body)
			})
			w.must(c.code, "request", "send", "--model", "m", "--prompt", "p", "--stream")
			if c.code == ExitOK && w.out.String() != "hi hi \n" {
				t.Errorf("printed %q", w.out.String())
			}
		})
	}
}

func TestLargeFileLeavesRoomOnTheLog(t *testing.T) {
	w := newWorld(t)
	var objects []string
	for i := range publishBurst + publishPerSec {
		objects = append(objects, strings.Replace(fmt.Sprintf(pool, 1), "ledger", fmt.Sprintf("pool-%d", i), 1))
	}
	w.must(ExitOK, "config", "publish", w.file("["+strings.Join(objects, ",")+"]"))
	if took := w.now.Sub(start); took < 900*time.Millisecond || took > 1100*time.Millisecond {
		t.Errorf("%d changes in %v", len(objects), took)
	}
}

func TestInstancesOverTLS(t *testing.T) {
	w := newWorld(t)
	srv := httptest.NewUnstartedServer(nil)
	addr := srv.Listener.Addr().String()
	row := adminapi.Instance{ID: "i", Zone: "z", AdminAddress: addr, State: adminapi.InstanceAlive}
	srv.Config.Handler = instanceHandler(adminapi.Status{Instance: "i", Zone: "z", Revision: 5}, []adminapi.Instance{row})
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.StartTLS()
	defer srv.Close()
	ca := w.file(string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})))
	w.must(ExitOK, "--ca-file", ca, "--admin", addr, "instances")
	if !strings.Contains(w.out.String(), addr) || strings.Contains(w.out.String(), "unreachable") {
		t.Errorf("got\n%s", &w.out)
	}
	w.must(ExitUsage, "--ca-file", w.file("no certificate"), "--admin", addr, "instances")
}

func TestCompletionScripts(t *testing.T) {
	w := newWorld(t)
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		w.must(ExitOK, "completion", shell)
		if !strings.Contains(w.out.String(), "medlarhold") {
			t.Errorf("%s: no script", shell)
		}
	}
	w.must(ExitOK, "__complete", "config", "show", "")
	if !strings.HasPrefix(w.out.String(), "deployment\npool\nmodel\nendpoint\ncontract\n") {
		t.Errorf("kinds are not completed: %q", w.out.String())
	}
}
