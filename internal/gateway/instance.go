package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/balance"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/holdoff"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/peer"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/tunnel"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/version"
)

const (
	// readHeaderTimeout bounds the time to read a request header. Package edge
	// responds to callers that exceed the shorter limit of the configuration.
	readHeaderTimeout = time.Minute
	// callerIdleTimeout is longer than any caller keeps an idle connection open.
	callerIdleTimeout = 2 * time.Minute
	// proofMargin is how much younger than RevokeWithin a freshness proof must be
	// for keys to be accepted.
	proofMargin = 500 * time.Millisecond
	// sweepInterval is the time between two sweeps for idle connections and unused
	// endpoints.
	sweepInterval = time.Second
	// endpointRetention is how long the statistics of an unused service endpoint are
	// kept.
	endpointRetention = time.Minute
)

// Adapter provides the parts of an instance that are specific to a platform: the
// store, and the headers of callers and endpoints.
type Adapter struct {
	Store    Store
	Callers  edge.HeaderCodec
	Upstream upstream.HeaderCodec
	// Dial opens a connection to an endpoint; upstream.DialTCP if it is not set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Instance is one instance of the scheduler. Its methods are safe for concurrent
// use; Run must be called once only.
type Instance struct {
	settings Settings
	adapter  Adapter
	log      logr.Logger
	metrics  *telemetry.Metrics
	// budget is what the instance may use for its clients, account has what it does.
	budget     intake.Budget
	account    *intake.Account
	state      localState
	follower   *follower
	newest     newestKnown
	client     *upstream.Client
	edge       *edge.Server
	services   *services
	slowdowns  unreadableSlowdowns
	standstill standstill
	meter      *meter
	retries    *retries
	holds      *holds
	limits     *endpointLimits
	quarantine *quarantineTable
	origins    *origins
	rollouts   *rollouts
	links      *links
	tunnels    *tunnel.Server
	start      *startGate
	self       entity.Instance
	control    *control
	transport  *peer.Transport
	// ctx ends when the instance stops.
	ctx    context.Context
	cancel context.CancelFunc
	// storeReplaced has an element while the instance is to register again.
	storeReplaced chan struct{}
	// quarantineChanged has an element while the quarantine is to be saved.
	quarantineChanged chan struct{}
	leaving           atomic.Bool
	closed            atomic.Bool
	phases            stopPhases
	stop              chan struct{}
	stopOnce          sync.Once
}

// New returns an instance. It starts no goroutine and opens no socket; Run does.
func New(s Settings, a Adapter, log logr.Logger, m *telemetry.Metrics) *Instance {
	g := &Instance{settings: s, adapter: a, log: log, metrics: m, stop: make(chan struct{}), storeReplaced: make(chan struct{}, 1), quarantineChanged: make(chan struct{}, 1)}
	g.state.endpoints.Store(catalog.NewEndpoints(nil))
	g.phases = newStopPhases()
	g.budget = s.Budget()
	g.account = g.budget.NewAccount()
	g.links = newLinks(g)
	g.tunnels = g.newTunnelServer()
	g.client = upstream.New(upstream.Options{
		HeaderCodec: a.Upstream, Dial: g.links.dial, Usable: g.links.usable, OnDial: m.Dialled,
		StoodStill:      func(since time.Time) bool { return g.standstill.since(since, bootTime()) },
		OnLimitExceeded: func(l upstream.Limit) { m.EndpointLimitExceeded(string(l)) },
	})
	g.meter = &meter{meter: quota.NewMeter(time.Now(), s.FirstStart)}
	g.retries = newRetries(s)
	g.holds = &holds{table: holdoff.New()}
	g.limits = newEndpointLimits()
	g.quarantine = &quarantineTable{table: quarantine.New()}
	g.start = newStartGate()
	g.services = &services{table: balance.New(), zone: s.Zone}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.self = newIdentity(s)
	g.origins = newOrigins(g)
	g.rollouts = newRollouts(g)
	g.quarantine.setTrialDelay(rand.N(maxTrialDelay))
	g.transport = g.newTransport(g.self)
	g.control = newControl(g, g.self)
	g.control.send = g.transport.Send
	g.follower = newFollower(g)
	g.edge = edge.NewServer(edge.Options{
		Scheduler: g, HeaderCodec: a.Callers, Client: g.client, Log: log, Metrics: m, Account: g.account, MaxConns: g.budget.Callers,
	})
	return g
}

// Drain starts the planned stop. Run returns when it has ended.
func (g *Instance) Drain() { g.stopOnce.Do(func() { close(g.stop) }) }

// Run serves until the planned stop has ended, ctx ends or a listener fails.
func (g *Instance) Run(ctx context.Context) error {
	defer g.cancel()
	context.AfterFunc(ctx, g.cancel)
	ctx = g.ctx
	telemetry.Log(g.log, telemetry.EventStarting, "instance", g.self.ID, "zone", g.settings.Zone, "version", version.String())
	servers, err := g.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	servePeers, err := g.servePeers()
	if err != nil {
		return trace.Wrap(err)
	}
	failed := make(chan error, len(servers)+1)
	go func() { failed <- servePeers() }()
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	time.AfterFunc(startTimeout, g.start.open)
	var background sync.WaitGroup
	for _, f := range []func(context.Context){g.control.run, g.register, g.keepQuarantine, g.origins.run, g.rollouts.keep, g.follower.run, g.housekeep} {
		background.Go(func() { f(ctx) })
	}
	select {
	case err = <-failed:
		telemetry.Log(g.log, telemetry.EventServerFailed, "error", trace.UserMessage(err))
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.stop:
		g.drain(ctx, servers)
	}
	for _, s := range servers {
		s.http.Close()
	}
	g.cancel()
	g.transport.Close()
	background.Wait()
	g.client.Close()
	return err
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error { return s.http.Serve(s.listener) }

// listen opens the sockets for callers, readiness checks and metrics. The server
// for callers is the first of the result.
func (g *Instance) listen() ([]*server, error) {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.Callers, g.edge},
		{g.settings.Ready, http.HandlerFunc(g.serveReady)},
		{g.settings.Metrics, g.metricsHandler()},
	}
	var out []*server
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, trace.Wrap(err, "listening on %s", h.address)
		}
		out = append(out, &server{listener: l, http: &http.Server{Handler: h.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}})
	}
	callers := out[0]
	callers.listener = g.edge.WrapListener(callers.listener, callers.http)
	for _, s := range out[1:] {
		s.bound(g.account, g.budget.Others)
	}
	return out, nil
}

// Bounds of what clients of the listeners for readiness checks and metrics may do. They send no bodies.
const (
	maxCheckHeadBytes = 16 << 10
	checkReadTimeout  = 5 * time.Second
	checkWriteTimeout = 30 * time.Second
	checkRetryAfter   = time.Second
)

// bound makes a server for readiness checks or metrics hold no more than the account and a number of connections allow.
func (s *server) bound(a *intake.Account, maxConns int) {
	s.http.ReadTimeout, s.http.WriteTimeout = checkReadTimeout, checkWriteTimeout
	s.listener = intake.Listen(s.listener, s.http, intake.Options{
		Account: a, MaxConns: maxConns, HeadBytes: func() int64 { return maxCheckHeadBytes }, RetryAfter: checkRetryAfter,
	})
}

// metricsHandler returns the handler of the metrics address, which serves the
// metrics and the state snapshot.
func (g *Instance) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatePath, g.serveState)
	mux.Handle("/", g.metrics.Handler(gauges{g}))
	return mux
}

// serveReady handles the load balancer's readiness check.
func (g *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the load balancer may send new callers to this instance.
func (g *Instance) ready() bool {
	return !g.Leaving() && g.state.config.Load() != nil && g.state.endpoints.Load().Len() > 0 && g.KeysFresh()
}

// housekeep closes idle connections to endpoints, and discards the statistics of
// unused service endpoints, until ctx ends.
func (g *Instance) housekeep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.client.CloseExpired(now)
			g.holds.expire(now)
			g.limits.expire()
			g.links.expire(now)
			g.quarantine.expire(now)
			g.services.expireBefore(now.Add(-endpointRetention))
			g.slowdowns.retain(g.state.endpoints.Load())
		}
	}
}
