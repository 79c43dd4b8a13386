package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

// answer is the response that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
}

// call sends one request to an instance with the test organisation's key. headers
// are pairs of a name and a value.
func call(t *testing.T, in *testbed.Instance, method, path, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+in.Callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{status: res.StatusCode, header: res.Header, body: string(data)}
}

// TestCompletionAcrossZones sends a completion through an instance whose zone has no
// engine, so that it must reserve a slot at an owner in another zone and process.
func TestCompletionAcrossZones(t *testing.T) {
	t.Parallel()
	b := newBed(t, "b")
	entry := startZones(t, b, "b", "a")[1]
	got := call(t, entry, "POST", "/v1/completions", `{"model":"narrative","prompt":"A visit report","max_tokens":5}`)
	if got.status != http.StatusOK || got.header.Get("X-Medlarhold-Verdict") != "ran" {
		t.Fatalf("got %+v, want status 200 and verdict ran", got)
	}
	var completion struct {
		Choices []struct{ Text string }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(got.body), &completion); err != nil || completion.Usage.CompletionTokens != 5 || completion.Choices[0].Text == "" {
		t.Fatalf("got incomplete response %s, want 5 tokens of text", got.body)
	}
	id := got.header.Get("X-Request-ID")
	status := call(t, entry, "GET", "/v1/requests/"+id, "")
	if status.status != http.StatusOK || !strings.Contains(status.body, `"verdict":"ran"`) {
		t.Fatalf("status of request %s: got %+v, want verdict ran", id, status)
	}
}
