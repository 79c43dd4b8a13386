package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	mathrand "math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"github.com/medlarhold/medlarhold/internal/caller"
	"github.com/medlarhold/medlarhold/internal/control"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/peer"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/settings"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// peerExchangeTimeout bounds one exchange with a peer.
	peerExchangeTimeout = time.Second
	// readHeaderTimeout bounds how long a client may take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds how long a client may take to send a complete request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds how long a write of a response to a caller may block.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long a keep-alive connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
)

// Daemon is one instance of the system.
type Daemon struct {
	settings settings.Settings
	self     entity.Instance
	log      logr.Logger
	metrics  *telemetry.Metrics
	keys     *settings.KeyRing
	certs    *certificates
	// budget is what the process may use for its clients, account has what it does.
	budget       intake.Budget
	account      *intake.Account
	listeners    listeners
	transport    *peer.Transport
	loop         *control.Loop
	endpoints    *endpoint.Client
	caller       *caller.Server
	follower     *configFollower
	list         platform.InstanceList
	weights      platform.WeightStore
	logService   platform.Log
	poller       *poller
	platformList atomic.Pointer[[]entity.Instance] // as last read
	claims       *claimLog
	leaving      chan struct{}
	drainOnce    sync.Once
}

// listeners are the instance's three listening sockets.
type listeners struct{ callers, peers, admin net.Listener }

// Addresses holds the addresses on which an instance listens.
type Addresses struct {
	Instance entity.InstanceID `json:"instance"`
	Callers  string            `json:"callers"`
	Peers    string            `json:"peers"`
	Admin    string            `json:"admin"`
}

// New opens the listeners and assembles the instance. Run starts it. New fails if
// a key or certificate file cannot be loaded or an address is not available.
func New(s settings.Settings, log logr.Logger) (*Daemon, error) {
	keys, err := settings.NewKeyRing(s.Keys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certs, err := newCertificates(s.TLS)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ls, err := listen(s.Listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{settings: s, log: log, metrics: telemetry.NewMetrics(), keys: keys, certs: certs, listeners: ls, leaving: make(chan struct{})}
	d.budget = intake.NewBudget(s.Limits.MemoryMB<<20, s.Limits.Descriptors)
	d.account = d.budget.NewAccount()
	d.self = entity.Instance{
		ID: newInstanceID(s.Name), Zone: s.Zone, Region: s.Region, PeerAddress: advertised(s.AdvertisePeers, ls.peers),
		AdminAddress: advertised(s.AdvertiseAdmin, ls.admin),
	}
	d.platformList.Store(&[]entity.Instance{})
	d.assemble()
	return d, nil
}

// assemble creates the components of the instance and connects them.
func (d *Daemon) assemble() {
	s := d.settings
	d.endpoints = endpoint.New(d.endpointOptions(nil))
	d.poller = newPoller(
		endpoint.New(d.endpointOptions(d.metrics.PollRequest.Conn)),
		endpoint.New(d.endpointOptions(d.metrics.PollControl.Conn)),
		s.Requests.PrefixBlockTokens/s.Requests.EngineBlockTokens, d.metrics,
		func(msg any) { d.loop.Post(msg) }, d.reportOrderStatus)
	d.transport = peer.NewTransport(peer.Options{
		Self: d.self, Keys: d.keys.PeerKeys, ServerTLS: d.certs.server(), ClientTLS: d.certs.client(),
		ExchangeTimeout: peerExchangeTimeout, Registry: messages(),
		HandleMessage: func(from entity.Instance, msg any) { d.loop.Post(node.FromPeer{From: from.ID, Msg: msg}) },
		OnSendFailed:  func(to entity.InstanceID, msg any) { go d.loop.Post(node.SendFailed{To: to, Msg: msg}) },
		OnDisconnect:  func(id entity.InstanceID) { go d.loop.Post(node.PeerDisconnected{Peer: id}) },
		HandleQuery:   d.handlePeerQuery, Clock: time.Now, Log: d.log, Metrics: d.metrics,
	})
	seed := mathrand.NewSource(time.Now().UnixNano())
	d.loop = control.New(control.Options{
		Node: node.New(node.DefaultSettings(d.self), mathrand.New(seed)), Clock: time.Now,
		Send: d.transport.Send, RemovePeer: d.transport.RemovePeer, SetOwned: d.poller.setOwned,
		ClaimAppend: func(a node.ClaimAppend) { d.claims.append(a) }, ClaimRead: func(r node.ClaimReadRequest) { d.claims.read(r) },
		Steward:     steward.New(steward.DefaultSettings(d.self)),
		LeaseAppend: d.leaseAppend, LeaseRead: d.leaseRead, Order: d.sendOrder,
		Log: d.log, Metrics: d.metrics,
	})
	hc := d.platformClient(d.metrics.PlatformControl)
	d.logService = countedLog{Log: platform.NewHTTPLog(s.Platform.Log, hc), metrics: d.metrics, log: d.log}
	claimService := countedLog{Log: platform.NewHTTPLog(s.Platform.Log, d.platformClient(d.metrics.PlatformRequest)), metrics: d.metrics, log: d.log}
	d.claims = &claimLog{busy: claimService, idle: d.logService, post: d.loop.Post}
	d.follower = newConfigFollower(d, d.logService)
	d.list = platform.NewHTTPInstanceList(s.Platform.InstanceList, hc)
	d.weights = platform.NewHTTPWeightStore(s.Platform.WeightStore, hc)
	d.caller = caller.NewServer(caller.Options{
		Control: d, State: d.loop.State, Endpoints: d.endpoints, NewID: d.newRequestID, Clock: time.Now,
		Log: d.log, Metrics: d.metrics,
		DefaultDeadline:   time.Duration(s.Requests.DefaultDeadlineMs) * time.Millisecond,
		MaxDeadline:       time.Duration(s.Requests.MaxDeadlineMs) * time.Millisecond,
		MaxBodyBytes:      s.Requests.MaxBodyBytes,
		EngineBlockTokens: s.Requests.EngineBlockTokens, PrefixBlockTokens: s.Requests.PrefixBlockTokens,
		MaxPrefixBlocks: s.Requests.MaxPrefixBlocks,
		WriteTimeout:    writeTimeout,
	})
}

// endpointOptions returns the options of a client of endpoints. If wrap is not
// nil, it wraps each connection, to count its bytes.
func (d *Daemon) endpointOptions(wrap func(net.Conn) net.Conn) endpoint.Options {
	s := d.settings.Endpoints
	return endpoint.Options{
		TLS: d.certs.client(), Metrics: d.metrics.Registry(), Wrap: wrap,
		DialTimeout:    time.Duration(s.DialTimeoutMs) * time.Millisecond,
		NoProgress:     time.Duration(s.NoProgressMs) * time.Millisecond,
		CallNoProgress: time.Duration(s.CallNoProgressMs) * time.Millisecond,
		CallLimit:      time.Duration(s.CallLimitMs) * time.Millisecond,
	}
}

// Addresses returns the addresses on which the instance listens.
func (d *Daemon) Addresses() Addresses {
	return Addresses{Instance: d.self.ID, Callers: d.listeners.callers.Addr().String(),
		Peers: d.listeners.peers.Addr().String(), Admin: d.listeners.admin.Addr().String()}
}

// Run serves until the planned stop that Drain begins is complete, a listener
// fails, or ctx ends, which aborts the requests in flight. It returns nil only
// after a planned stop that aborted no request.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	telemetry.Log(d.log, telemetry.EventStarting, "instance", d.self.ID, "zone", d.self.Zone)
	var background sync.WaitGroup
	for _, f := range []func(context.Context){d.loop.Run, d.follower.run, d.register, d.poller.run, d.appendSnapshots, d.fetchWeightSizes} {
		background.Go(func() { f(ctx) })
	}
	callers := d.httpServer(d.caller.Handler())
	admin := d.httpServer(d.adminHandler())
	failed := make(chan error, 3)
	go func() {
		failed <- d.serveHTTP(callers, d.listeners.callers, intake.Options{MaxConns: d.budget.Callers, WholeBodies: true})
	}()
	go func() { failed <- d.serveHTTP(admin, d.listeners.admin, intake.Options{MaxConns: d.budget.Others}) }()
	go func() {
		failed <- d.transport.Serve(intake.NewGate(d.listeners.peers, d.account, d.budget.Handshakes))
	}()
	var err error
	select {
	case err = <-failed:
		telemetry.Log(d.log, telemetry.EventServerFailed, "error", trace.UserMessage(err))
	case <-ctx.Done():
		err = ctx.Err()
	case <-d.leaving:
		err = d.stop(ctx, callers)
	}
	callers.Close()
	admin.Close()
	cancel()
	d.transport.Close()
	background.Wait()
	d.endpoints.Close()
	d.poller.close()
	return err
}

// Drain begins the planned stop. It is idempotent and safe for concurrent use.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.leaving) }) }

// Reload reads the key and certificate files again. Those that cannot be loaded
// stay in force as they were.
func (d *Daemon) Reload() {
	if err := errors.Join(d.keys.Reload(), d.certs.reload()); err != nil {
		telemetry.Log(d.log, telemetry.EventSettingsReloadFailed, "error", trace.UserMessage(err))
		return
	}
	telemetry.Log(d.log, telemetry.EventSettingsReloaded)
}

func (d *Daemon) httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// refusedRetryAfter is when a client that was refused for want of room may come back.
const refusedRetryAfter = time.Second

// serveHTTP serves ln, with TLS if there is a certificate and within the instance's limits, until the server is
// closed. It returns nil after Close or Shutdown.
func (d *Daemon) serveHTTP(s *http.Server, ln net.Listener, o intake.Options) error {
	if cfg := d.certs.server(); cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	o.Account, o.RetryAfter, o.Refused = d.account, refusedRetryAfter, d.recordRefusal
	o.HeadBytes = func() int64 { return int64(d.settings.Requests.MaxHeaderBytes) }
	err := s.Serve(intake.Listen(ln, s, o))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// recordRefusal counts a request that was refused before it was whole.
func (d *Daemon) recordRefusal(reason verdict.Reason, _ string, _ net.Addr) {
	d.metrics.Refused(reason, verdict.NotRun)
}

// LimitHeap makes the runtime keep the heap within the memory of the process.
func (d *Daemon) LimitHeap() { d.budget.LimitHeap() }

// listen opens the three listening sockets. It stops at the first one that fails.
func listen(l settings.Listen) (listeners, error) {
	var ls listeners
	for _, s := range []struct {
		address string
		dst     *net.Listener
	}{{l.Callers, &ls.callers}, {l.Peers, &ls.peers}, {l.Admin, &ls.admin}} {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return ls, trace.ConnectionProblem(err, "listening on %s", s.address)
		}
		*s.dst = ln
	}
	return ls, nil
}

func advertised(address string, ln net.Listener) string {
	if address != "" {
		return address
	}
	return ln.Addr().String()
}

// instanceSuffixBytes is the length of the random suffix that gives an instance
// a new id at each start.
const instanceSuffixBytes = 4

func newInstanceID(name string) entity.InstanceID {
	b := make([]byte, instanceSuffixBytes)
	if _, err := rand.Read(b); err != nil {
		os.Exit(1) // the system's random number generator failed
	}
	return entity.InstanceID(name + "-" + hex.EncodeToString(b))
}

// requestIDSeparator separates the unique part of a request id from the id of
// its entry instance.
const requestIDSeparator = "."

func (d *Daemon) newRequestID() entity.RequestID {
	return entity.RequestID(ulid.Make().String() + requestIDSeparator + string(d.self.ID))
}

// entryOf returns the entry instance that a request id names, and whether the id
// is well formed.
func entryOf(id entity.RequestID) (entity.InstanceID, bool) {
	unique, entry, ok := strings.Cut(string(id), requestIDSeparator)
	if !ok || entry == "" {
		return "", false
	}
	_, err := ulid.ParseStrict(unique)
	return entity.InstanceID(entry), err == nil
}
