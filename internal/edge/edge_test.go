package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// dialect uses plain header names.
type dialect struct{}

func (dialect) ReadRequest(h http.Header) Meta {
	return Meta{ID: entity.RequestID(h.Get("Id")), Key: h.Get("Key"), PromptTokens: 10, HasTokens: true, LastEventID: h.Get("Last")}
}

func (dialect) RewriteForEndpoint(h http.Header, org entity.OrgID) {
	h.Del("Key")
	h.Del("Reserved")
	h.Set("Org", string(org))
}

func (dialect) SetDispatchHeaders(h http.Header, _ entity.EndpointID, _ time.Duration, last string) {
	if last != "" {
		h.Set("Last", last)
	}
}

func (dialect) ReadResponse(_ int, h http.Header) upstream.Meta {
	return upstream.Meta{RequestID: entity.RequestID(h.Get("Id")), HasProof: h.Get("Proof") != "", NotRun: h.Get("Not-Run") != ""}
}

// desk hands out the endpoints in turn.
type desk struct {
	mu        sync.Mutex
	config    *catalog.Config
	unknown   bool
	endpoints []*catalog.Endpoint
	next      int
	charged   float64
	limit     float64
	retries   int
	outcomes  []Outcome
	works     []SlotRequest
	charges   []Charge
}

func (d *desk) Config() *catalog.Config { return d.config }
func (d *desk) KeysFresh() bool         { return !d.unknown }
func (d *desk) Leaving() bool           { return false }
func (d *desk) Closed() bool            { return false }

func (d *desk) Charge(_ *catalog.Organisation, c Charge) (bool, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.charges = append(d.charges, c)
	if d.charged+c.Cost > d.limit {
		return false, time.Second
	}
	d.charged += c.Cost
	return true, 0
}

func (d *desk) Refund(_ *catalog.Organisation, cost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.charged -= cost
}

func (d *desk) TakeRetry(entity.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries--
	return d.retries >= 0
}

func (d *desk) Acquire(_ context.Context, w SlotRequest, _ []entity.EndpointID) (Slot, *verdict.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.works = append(d.works, w)
	if d.next >= len(d.endpoints) {
		return Slot{}, refusal(verdict.ReasonOverload, 300*time.Millisecond, "no slot")
	}
	e := d.endpoints[d.next]
	d.next++
	return Slot{Endpoint: e, Release: func(o Outcome) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.outcomes = append(d.outcomes, o)
	}}, nil
}

// engine is an endpoint; each connection is answered by its script.
func engine(t *testing.T, script func(conn net.Conn, req *http.Request, body string)) *catalog.Endpoint {
	t.Helper()
	address := loopback.Serve(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		script(conn, req, string(body))
	})
	return &catalog.Endpoint{Endpoint: entity.Endpoint{ID: entity.EndpointID(address), Address: address, Pool: "p"}}
}

// says answers with a status and a body of known length.
func says(status int, headers, body string) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, req *http.Request, _ string) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), headers, len(body), body)
	}
}

const proof = "Proof: yes\r\n"

// streams answers with chunks; without the end, the stream is cut off.
func streams(end bool, chunks ...string) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, req *http.Request, _ string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"), proof)
		for _, c := range chunks {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(c), c)
		}
		if end {
			fmt.Fprint(conn, "0\r\n\r\n")
		}
	}
}

func newDesk(endpoints ...*catalog.Endpoint) *desk {
	pools := []catalog.WeightedPool{{Pool: "p", Weight: 1}}
	c := &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.KindSafe, Timeout: 5 * time.Second, MaxAttempts: 2, Pools: pools},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: catalog.KindUnsafe, Timeout: 5 * time.Second, MaxAttempts: 1, Pools: pools},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.KindStream, Timeout: 5 * time.Second, MaxAttempts: 1, Pools: pools},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: catalog.KindStream, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: 2, Pools: pools},
		},
		Organisations: []catalog.Organisation{{ID: "org", Keys: []string{"k"}, Limited: true, Rate: 100, Burst: 100, CountsTokens: true}},
		Bounds:        catalog.ClientBounds{BodyBytes: 100, HeaderBytes: 1100},
	}
	c.Index()
	return &desk{config: c, endpoints: endpoints, limit: 100, retries: 5}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

// newServer returns a server before a desk.
func newServer(d *desk) *Server {
	return NewServer(Options{Scheduler: d, HeaderCodec: dialect{}, Client: upstream.New(upstream.Options{HeaderCodec: dialect{}}),
		Log: logr.Discard(), Metrics: telemetry.NewMetrics(), MaxBuffered: 1 << 20})
}

func call1(t *testing.T, d *desk, path, body string, change func(*http.Request)) reply {
	t.Helper()
	web := httptest.NewServer(newServer(d))
	defer web.Close()
	req, err := http.NewRequest(http.MethodPost, web.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	if change != nil {
		change(req)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

func TestRequestAndAnswerAreCarriedAsTheyCame(t *testing.T) {
	got := make(chan string, 1)
	e := engine(t, func(conn net.Conn, req *http.Request, body string) {
		got <- strings.Join([]string{req.Method, req.RequestURI, req.Host, req.Header.Get("Org"), req.Header.Get("Key") + req.Header.Get("Reserved"), body}, "|")
		says(201, proof+"Extra: x\r\n", "made")(conn, req, body)
	})
	r := call1(t, newDesk(e), "/unsafe/a%2Fb?q=%20x", "text", func(req *http.Request) { req.Header.Set("Reserved", "forged") })
	if want := "POST|/unsafe/a%2Fb?q=%20x|h|org||text"; <-got != want {
		t.Errorf("the endpoint did not see %q", want)
	}
	if r.status != 201 || r.body != "made" || r.header.Get("Extra") != "x" || r.header.Get("Proof") != "yes" {
		t.Errorf("the caller got %+v", r)
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, path, body string
		change           func(*http.Request)
		desk             func(*desk)
		want             int
		comeBack         bool
	}{
		{"unknown path", "/other/", "", nil, nil, 404, false},
		{"unknown key", "/safe/", "", func(r *http.Request) { r.Header.Set("Key", "x") }, nil, 401, false},
		{"keys not known", "/safe/", "", nil, func(d *desk) { d.unknown = true }, 503, true},
		{"no configuration", "/safe/", "", nil, func(d *desk) { d.config = nil }, 503, true},
		{"body too large", "/safe/", strings.Repeat("x", 101), nil, nil, 413, false},
		{"header too large", "/safe/", "", func(r *http.Request) { r.Header.Set("Long", strings.Repeat("x", 1000)) }, nil, 431, false},
		{"header of many fields too large", "/safe/", "", manyFields, nil, 431, false},
		{"limit used up", "/safe/", "", nil, func(d *desk) { d.limit = 5 }, 429, true},
		{"no slot", "/safe/", "", nil, func(d *desk) { d.endpoints = nil }, 503, true},
		{"no id", "/safe/", "", func(r *http.Request) { r.Header.Del("Id") }, nil, 400, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(engine(t, says(200, proof, "ran")))
			if tt.desk != nil {
				tt.desk(d)
			}
			r := call1(t, d, tt.path, tt.body, tt.change)
			if r.status != tt.want || (r.header.Get("Retry-After") != "") != tt.comeBack {
				t.Errorf("status %d, come back %q, want %d and %v", r.status, r.header.Get("Retry-After"), tt.want, tt.comeBack)
			}
			if d.charged != 0 {
				t.Errorf("%v stays charged for a request that did not run", d.charged)
			}
		})
	}
}

// manyFields makes a header of which no field is large.
func manyFields(r *http.Request) {
	for i := range 100 {
		r.Header.Set(fmt.Sprintf("Field-%d", i), "x")
	}
}

// A body that comes too slowly is refused with the status that says so, at
// once and without waiting for the rest.
func TestSlowBodyIsRefused(t *testing.T) {
	d := newDesk(engine(t, says(200, proof, "ran")))
	d.config.Bounds.HeaderTimeout = 2 * time.Millisecond
	web := httptest.NewServer(newServer(d))
	defer web.Close()
	conn, answers := dial(t, web.Listener.Addr().String())
	fmt.Fprint(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 10\r\n\r\nhalf")
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("status %d, closes %v, want 408 on a connection that ends", res.StatusCode, res.Close)
	}
	if len(d.works) != 0 {
		t.Error("a request without its whole body was given an endpoint")
	}
}

// guard ends a test that hangs.
const guard = 20 * time.Second

// An organisation's rank goes before its route's, which orders the requests of
// equal organisations. Within a limit only the route's counts.
func TestOrganisationsRankGoesFirst(t *testing.T) {
	first, second := 0, 1
	tests := []struct {
		org   *int
		route int
	}{{&first, 0}, {&first, 2}, {&first, 9}, {&second, 0}, {&second, 2}}
	last := -1
	for _, tt := range tests {
		d := newDesk(engine(t, says(200, proof, "ran")))
		d.config.Organisations[0].Rank = tt.org
		d.config.Routes[0].Rank = tt.route
		call1(t, d, "/safe/", "", nil)
		if len(d.works) != 1 || d.works[0].Rank <= last {
			t.Fatalf("organisation %d, route %d: %+v, want a rank after %d", *tt.org, tt.route, d.works, last)
		}
		last = d.works[0].Rank
		if len(d.charges) != 1 || d.charges[0].Rank != tt.route {
			t.Errorf("the limit was charged as %+v, want the route's rank %d", d.charges, tt.route)
		}
	}
}

// What a failed endpoint leads to: which status, and how many endpoints were asked.
func TestFailures(t *testing.T) {
	lost := func(net.Conn, *http.Request, string) {} // reads the request and closes
	refuses := says(503, "Not-Run: 1\r\n", "")
	fails := says(500, proof, "failed")
	short := func(conn net.Conn, req *http.Request, _ string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 100\r\n\r\nshort", req.Header.Get("Id"), proof)
	}
	fine := says(200, proof, "fine")
	tests := []struct {
		name, path string
		first      func(net.Conn, *http.Request, string)
		status     int
		endpoints  int
	}{
		{"safe, answer lost", "/safe/", lost, 200, 2},
		{"safe, refused", "/safe/", refuses, 200, 2},
		{"safe, failed", "/safe/", fails, 200, 2},
		{"safe, answer cut short", "/safe/", short, 200, 2},
		{"unsafe, answer lost", "/unsafe/", lost, 502, 1},
		{"unsafe, refused", "/unsafe/", refuses, 200, 2},
		{"unsafe, failed", "/unsafe/", fails, 500, 1},
		{"unsafe, answer cut short", "/unsafe/", short, 502, 1},
		{"unsafe, no proof of origin", "/unsafe/", says(200, "", "forged"), 502, 1},
		{"unsafe, encoded", "/unsafe/", says(200, proof+"Content-Encoding: gzip\r\n", "zip"), 502, 1},
		{"stream, answer lost", "/stream/", lost, 502, 1},
		{"resumable, answer lost", "/resumable/", lost, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(engine(t, tt.first), engine(t, fine))
			r := call1(t, d, tt.path, "", nil)
			if r.status != tt.status || d.next != tt.endpoints {
				t.Errorf("status %d after %d endpoints, want %d after %d", r.status, d.next, tt.status, tt.endpoints)
			}
			if len(d.outcomes) != tt.endpoints {
				t.Errorf("%d slots were given back, want %d", len(d.outcomes), tt.endpoints)
			}
		})
	}
}

// A request that ran once is never told to have not run, also where there is
// no other endpoint for it.
func TestNeverNotRunAfterARun(t *testing.T) {
	d := newDesk(engine(t, func(net.Conn, *http.Request, string) {}))
	if r := call1(t, d, "/safe/", "", nil); r.status != 502 {
		t.Errorf("status %d, want 502: the first endpoint may have run it", r.status)
	}
}

func TestRetryBudgetIsKept(t *testing.T) {
	d := newDesk(engine(t, says(503, "Not-Run: 1\r\n", "")), engine(t, says(200, proof, "fine")))
	d.retries = 0
	if r := call1(t, d, "/safe/", "", nil); r.status != 503 || d.next != 1 {
		t.Errorf("status %d after %d endpoints, want 503 after 1", r.status, d.next)
	}
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	d := newDesk(engine(t, streams(false, "id: 1\n\n")))
	if r := call1(t, d, "/stream/", "", nil); r.status != 200 || r.err == nil {
		t.Errorf("status %d, error %v: a broken stream must end in an error", r.status, r.err)
	}
}

func TestStreamGoesOnElsewhereWithinOneAnswer(t *testing.T) {
	last := make(chan string, 1)
	first := engine(t, streams(false, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda"))
	second := engine(t, func(conn net.Conn, req *http.Request, body string) {
		last <- req.Header.Get("Last")
		streams(true, "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n")(conn, req, body)
	})
	d := newDesk(first, second)
	r := call1(t, d, "/resumable/", "", nil)
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	if r.err != nil || r.body != want {
		t.Errorf("the caller got %q, %v", r.body, r.err)
	}
	if l := <-last; l != "2" {
		t.Errorf("resumed after event %q, want 2", l)
	}
}

func TestCallersOwnResumptionIsPassedOn(t *testing.T) {
	last := make(chan string, 1)
	e := engine(t, func(conn net.Conn, req *http.Request, body string) {
		last <- req.Header.Get("Last")
		streams(true, "id: 8\n\n")(conn, req, body)
	})
	call1(t, newDesk(e), "/resumable/", "", func(r *http.Request) { r.Header.Set("Last", "7") })
	if l := <-last; l != "7" {
		t.Errorf("the endpoint was asked to go on after %q, want 7", l)
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	more := make(chan struct{})
	e := engine(t, func(conn net.Conn, _ *http.Request, _ string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: r1\r\n%sTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", proof)
		<-more // the second event comes only after the caller has the first
		fmt.Fprint(conn, "7\r\nid: 2\n\n\r\n0\r\n\r\n")
	})
	web := httptest.NewServer(newServer(newDesk(e)))
	defer web.Close()
	req, _ := http.NewRequest(http.MethodPost, web.URL+"/stream/", nil)
	req.Host, req.Header = "h", http.Header{"Id": {"r1"}, "Key": {"k"}}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b := make([]byte, 7)
	if _, err := io.ReadFull(res.Body, b); err != nil || string(b) != "id: 1\n\n" {
		t.Fatalf("first event %q, %v", b, err)
	}
	close(more)
	if rest, err := io.ReadAll(res.Body); err != nil || string(rest) != "id: 2\n\n" {
		t.Errorf("rest %q, %v", rest, err)
	}
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	reached, ended := make(chan struct{}), make(chan struct{})
	e := engine(t, func(conn net.Conn, _ *http.Request, _ string) {
		close(reached)
		_, _ = conn.Read(make([]byte, 1)) // returns when the connection is closed
		close(ended)
	})
	web := httptest.NewServer(newServer(newDesk(e)))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, web.URL+"/stream/", nil)
	req.Host, req.Header = "h", http.Header{"Id": {"r1"}, "Key": {"k"}}
	failed := make(chan error, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			res.Body.Close()
		}
		failed <- err
	}()
	<-reached
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("the caller got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the endpoint still works for a caller that has left")
	}
}

func TestFirstAttemptsAreToldFromLaterOnes(t *testing.T) {
	var l patienceTracker
	route := &catalog.Route{Name: "r"}
	if l.sinceFirstAttempt(route, 12*time.Second) != 0 || l.sinceFirstAttempt(route, 10200*time.Millisecond) != 0 {
		t.Error("callers that are a little less patient count as come back")
	}
	if got := l.sinceFirstAttempt(route, 8*time.Second); got < 2*time.Second || got > 4*time.Second {
		t.Errorf("a caller with two thirds of the time left has spent %v", got)
	}
}
