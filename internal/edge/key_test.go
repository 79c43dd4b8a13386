package edge

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Requests have the same key only if organisation, method, host, path, query and body are the
// same, however these are divided.
func TestRequestKeyTellsRequestsApart(t *testing.T) {
	type request struct{ org, method, host, uri, body string }
	base := request{"o", "POST", "h", "/a/b?c", "body"}
	keyOf := func(q request) entity.PartID {
		return requestKey(&http.Request{Method: q.method, Host: q.host, RequestURI: q.uri}, entity.OrgID(q.org), []byte(q.body))
	}
	seen := map[entity.PartID]request{}
	for _, q := range []request{
		base, {"p", "POST", "h", "/a/b?c", "body"}, {"", "POST", "h", "/a/b?c", "body"}, {"o", "GET", "h", "/a/b?c", "body"}, {"o", "POST", "i", "/a/b?c", "body"},
		{"o", "POST", "h", "/a/b", "body"}, {"o", "POST", "h", "/a/b?c", ""}, {"o", "POST", "h", "/a/b?", "cbody"}, {"o", "POST", "h/a", "/b?c", "body"},
		{"o", "POST", "h", "/a/b?c", strings.Repeat("x", 1<<20)},
	} {
		k := keyOf(q)
		if other, ok := seen[k]; ok {
			t.Errorf("%.60v and %.60v have the same key", q, other)
		}
		seen[k] = q
	}
	if again := base; keyOf(again) != keyOf(base) {
		t.Errorf("the same request has two keys")
	}
}

// A request that was lost with its endpoint is not sent to another one if that is too risky.
func TestRiskyRetryAfterALossIsNotMade(t *testing.T) {
	for _, risky := range []bool{false, true} {
		lost := startEndpoint(t, func(net.Conn, *http.Request, string) {}) // closes the connection
		s := newFakeScheduler(lost, startEndpoint(t, respond(200, proof, "ran")))
		s.retriesRisky = risky
		if got := send(t, s, "/safe/", "", nil).status; (got == http.StatusOK) == risky {
			t.Errorf("got status %d with a risky retry: %t", got, risky)
		}
	}
}

// A target may name the scheme and the host as well: the route and the endpoint are those of its path.
func TestAbsoluteTargetsBecomePaths(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b?c": "/a/b?c", "http://h/a/b?c": "/a/b?c", "http://h:80/": "/", "http://h": "/", "http://h?c": "/?c", "/a?u=http://h/b": "/a?u=http://h/b", "*": "*",
	} {
		if got := originForm(target); got != want {
			t.Errorf("%q: got %q, want %q", target, got, want)
		}
	}
}

// Ids of any length are told apart, and what other instances get of them is short.
func TestLongIDsAreShort(t *testing.T) {
	long := entity.RequestID(strings.Repeat("a", 30_000))
	if got := shortID(long); len(got) > maxIDBytes || got == shortID(long+"b") || got != shortID(long) {
		t.Errorf("got %q for a long id, want a short one of its own", got)
	}
	if got := shortID("id-1"); got != "id-1" {
		t.Errorf("got %q for a short id, want it unchanged", got)
	}
}
