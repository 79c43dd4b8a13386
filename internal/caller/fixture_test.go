package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// waitTimeout bounds the wait for an event that must occur. It is long, because no
// test depends on how soon the event occurs.
const waitTimeout = 30 * time.Second

// fakeControl is a Control that dispatches every request at once to one endpoint.
type fakeControl struct {
	directives chan request.Directive
	arrived    chan request.Arrival
	ended      chan request.End
	gone       chan entity.RequestID
	endpoint   entity.EndpointID
	importFrom entity.EndpointID
	manual     bool // the test sends the directives itself
}

func newFakeControl() *fakeControl {
	return &fakeControl{directives: make(chan request.Directive, 8), arrived: make(chan request.Arrival, 8),
		ended: make(chan request.End, 8), gone: make(chan entity.RequestID, 8), endpoint: "engine"}
}

func (c *fakeControl) Arrive(a request.Arrival) <-chan request.Directive {
	c.arrived <- a
	if !c.manual {
		c.directives <- request.Directive{ID: a.Work.ID, Kind: request.DirectiveDispatch, Endpoint: c.endpoint,
			ImportFrom: c.importFrom,
			NotAfter:   time.Now().Add(time.Hour)}
	}
	return c.directives
}

func (c *fakeControl) Ended(id entity.RequestID, end request.End) {
	c.ended <- end
	c.directives <- request.Directive{ID: id, Kind: request.DirectiveFinish, Err: end.Err, Answer: end.Answer}
}

func (c *fakeControl) Paused(entity.RequestID)        {}
func (c *fakeControl) CallerGone(id entity.RequestID) { c.gone <- id }
func (c *fakeControl) Ready() (bool, string)          { return true, "" }
func (c *fakeControl) Serving() (bool, string)        { return true, "" }
func (c *fakeControl) Status(context.Context, entity.RequestID) (request.Status, bool) {
	return request.Status{}, false
}

// testServer is a Server over HTTP with a simulated engine.
type testServer struct {
	control *fakeControl
	engine  *engine.Server
	address string
	options Options
	// readTimeout bounds how long a caller may take to send a request.
	readTimeout time.Duration
}

// option changes a testServer before it starts.
type option func(*testServer)

func newTestServer(t *testing.T, options ...option) *testServer {
	t.Helper()
	e, address := startEngine(t)
	_, other := startEngine(t)
	state := stateOf(t, fmt.Sprintf(configuration, address, other))
	endpoints := endpoint.New(endpoint.Options{})
	t.Cleanup(endpoints.Close)
	s := &testServer{control: newFakeControl(), engine: e, readTimeout: waitTimeout}
	s.options = Options{
		Control: s.control, State: func() config.State { return state }, Endpoints: endpoints,
		NewID: func() entity.RequestID { return "request-1" }, Clock: time.Now, Log: logr.Discard(), Metrics: telemetry.NewMetrics(),
		DefaultDeadline: time.Minute, MaxDeadline: time.Hour, MaxBodyBytes: 64 << 10, EngineBlockTokens: 16, PrefixBlockTokens: 64, MaxPrefixBlocks: 64,
		WriteTimeout: waitTimeout,
	}
	for _, o := range options {
		o(s)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = ln.Addr().String()
	server := &http.Server{Handler: NewServer(s.options).Handler(), ConnContext: smallBuffer, ReadTimeout: s.readTimeout}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close(); <-done })
	return s
}

// startEngine starts a simulated engine and returns it with its address.
func startEngine(t *testing.T) (*engine.Server, string) {
	t.Helper()
	e, l, err := engine.Start("127.0.0.1:0", engine.Settings{Settings: model.Settings{DecodeTokensPerSec: 2000}, Retention: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); e.Close() })
	return e, l.Address()
}

// smallBuffer makes writes to a caller that reads nothing block after a few kilobytes.
func smallBuffer(ctx context.Context, conn net.Conn) context.Context {
	_ = conn.(*net.TCPConn).SetWriteBuffer(4096)
	return ctx
}

// stateOf returns the state after all changes of a configuration document.
func stateOf(t testing.TB, src string) config.State {
	t.Helper()
	objects, problems := config.Parse("test", []byte(src))
	if len(problems) > 0 {
		t.Fatal(problems[0])
	}
	var st config.State
	for i, o := range config.Ordered(objects) {
		data, err := config.EncodeChange(config.Change{ID: fmt.Sprint(i), Kind: o.Kind, Name: o.Name, Operator: "test", Spec: o.Spec})
		if err != nil {
			t.Fatal(err)
		}
		var out config.Outcome
		if st, out = st.Apply(platform.Record{Offset: platform.Offset(i), Data: data}); out.Result != config.ResultApplied {
			t.Fatalf("change %d: got outcome %+v, want %s", i, out, config.ResultApplied)
		}
	}
	return st
}

// configuration is a format for fmt.Sprintf with the addresses of the two engines.
const configuration = `[
  {"kind":"deployment","name":"default","spec":{"tiers":["urgent","patient"],"scores":{"goodput":0.5,"wasted_prefill":0.5}}},
  {"kind":"pool","name":"reports","spec":{"kind":"engine","queue_per_endpoint":8,"max_body_bytes":1048576,"retry_budget":0.1}},
  {"kind":"model","name":"narrative","spec":{"pool":"reports","version":"1","weights":"narrative-1","min_copies":1}},
  {"kind":"endpoint","name":"engine","spec":{"pool":"reports","zone":"a","address":"%s","models":["narrative"],"slots":8,"kv_tokens":65536}},
  {"kind":"endpoint","name":"other","spec":{"pool":"reports","zone":"a","address":"%s","models":["narrative"],"slots":8,"kv_tokens":65536}},
  {"kind":"contract","name":"bank","spec":{"tiers":["urgent","patient"],"default_tier":"patient","requests_per_sec":500,"burst":1000,"max_concurrent":400,
    "key_hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}},
]`

// dial opens a connection and writes a completion request with the body.
func (s *testServer) dial(t *testing.T, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	s.write(t, conn, body, len(body))
	return conn
}

// write sends a completion request with the body and the given Content-Length.
func (s *testServer) write(t *testing.T, conn net.Conn, body string, length int) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test\r\nContent-Length: %d\r\n\r\n%s", length, body); err != nil {
		t.Fatal(err)
	}
}

// readUntil reads until the text has been received, and returns all that was read.
// The test fails if the connection ends first.
func readUntil(t *testing.T, r io.Reader, text string) string {
	t.Helper()
	var got strings.Builder
	buf := make([]byte, 4096)
	for !strings.Contains(got.String(), text) {
		n, err := r.Read(buf)
		got.Write(buf[:n])
		if err != nil {
			t.Fatalf("got error %v after %q, want %q", err, got.String(), text)
		}
	}
	return got.String()
}

// await returns the next event of a channel. The test fails if there is none within waitTimeout.
func await[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(waitTimeout):
		t.Fatalf("no event within %v", waitTimeout)
		panic("unreachable")
	}
}
