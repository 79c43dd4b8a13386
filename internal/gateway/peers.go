package gateway

import (
	"context"
	cryptorand "crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/core/zone"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/peer"
	"github.com/medlarhold/medlarhold/internal/tunnel"
)

// exchangeTimeout bounds one exchange with another instance. It is many round trips
// within a region, and short compared with the time that callers can wait.
const exchangeTimeout = 200 * time.Millisecond

// capacityPerCore is the advertised capacity of one core: the unit is a thousandth of
// a core.
const capacityPerCore = 1000

const (
	// registerRetryInterval is the time between two attempts to register.
	registerRetryInterval = 500 * time.Millisecond
	// maxRegisterDelay spreads the registrations of all instances after a replacement
	// of the store.
	maxRegisterDelay = 3 * time.Second
)

// messageRegistry returns the messages between instances, with their names on the wire
// and the causes of their traffic.
func messageRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.Register[membership.Message](r, "m", peer.CauseControl)
	peer.Register[broker.ZoneState](r, "free", peer.CauseControl)
	peer.Register[zone.Report](r, "rep", peer.CauseControl)
	peer.Register[zone.Bulletin](r, "bul", peer.CauseControl)
	peer.Register[zone.Exchange](r, "xch", peer.CauseControl)
	peer.Register[broker.RunningReport](r, "hold", peer.CauseControl)
	peer.Register[reserve.Poll](r, "poll", peer.CauseRequest)
	peer.Register[broker.SlotRequest](r, "ask", peer.CauseRequest)
	peer.Register[broker.Queued](r, "wait", peer.CauseRequest)
	peer.Register[broker.Forwarded](r, "over", peer.CauseRequest)
	peer.Register[broker.Grant](r, "ok", peer.CauseRequest)
	peer.Register[broker.Deny](r, "no", peer.CauseRequest)
	peer.Register[broker.Audit](r, "audit", peer.CauseRequest)
	peer.Register[broker.Withdraw](r, "undo", peer.CauseRequest)
	peer.Register[broker.Started](r, "begun", peer.CauseRequest)
	peer.Register[broker.Done](r, "done", peer.CauseRequest)
	peer.Register[heldOff](r, "hold-off", peer.CauseControl)
	r.RegisterQuery(queryRecordOrigins, peer.CauseRequest)
	r.RegisterQuery(queryHoldOrigins, peer.CauseRequest)
	r.RegisterQuery(queryFindOrigins, peer.CauseRequest)
	r.RegisterQuery(queryOriginsRestored, peer.CauseControl)
	return r
}

// newTransport returns the transport to other instances. Received messages and
// failures are posted to the control goroutine.
func (g *Instance) newTransport(self entity.Instance) *peer.Transport {
	return peer.NewTransport(peer.Options{
		Self: self, Keys: g.peerKeys, ExchangeTimeout: exchangeTimeout, Registry: messageRegistry(),
		HandleMessage: func(from entity.Instance, msg any) { g.control.post(g.ctx, fromPeer{from: from.ID, msg: msg}) },
		OnSendFailed:  func(to entity.InstanceID, msg any) { go g.control.post(g.ctx, peerFailed{to: to, msg: msg}) },
		OnDisconnect:  func(to entity.InstanceID) { go g.control.post(g.ctx, peerFailed{to: to}) },
		HandleQuery:   g.handleQuery,
		Clock:         time.Now, Log: g.log, Metrics: g.metrics,
	})
}

// handleQuery answers a query of another instance.
func (g *Instance) handleQuery(ctx context.Context, _ entity.Instance, method string, params json.RawMessage) (any, error) {
	switch method {
	case queryRecordOrigins:
		return answerQuery(ctx, params, g.origins.answerRecord)
	case queryHoldOrigins:
		return answerQuery(ctx, params, g.origins.answerHold)
	case queryFindOrigins:
		return answerQuery(ctx, params, g.origins.answerFind)
	case queryOriginsRestored:
		return answerQuery(ctx, params, g.origins.answerRestored)
	}
	return nil, trace.NotImplemented("unknown query %q", method)
}

// answerQuery decodes the parameters of a query and answers it.
func answerQuery[P, R any](ctx context.Context, params json.RawMessage, answer func(context.Context, P) (R, error)) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, trace.BadParameter("parameters can't be read: %v", err)
	}
	return answer(ctx, p)
}

// peerKeys returns the key by which instances authenticate each other. The platform
// provides no secret, so the key is derived from the store's address and only keeps
// separate deployments apart.
func (g *Instance) peerKeys() [][]byte {
	sum := sha256.Sum256([]byte("medlarhold peers of " + g.settings.Store))
	return [][]byte{sum[:]}
}

// newIdentity returns the identity of this process, with an id that is new for each
// start.
func newIdentity(s Settings) entity.Instance {
	b := make([]byte, 3)
	cryptorand.Read(b) // never fails
	return entity.Instance{
		ID: entity.InstanceID(s.Name + "-" + hex.EncodeToString(b)), Zone: s.Zone, Region: s.Region, PeerAddress: s.Peers,
		Capacity: int(s.Cores * capacityPerCore),
	}
}

// register registers the instance in the store and reads the registered instances, and
// does so again whenever the store was replaced, until ctx ends.
func (g *Instance) register(ctx context.Context) {
	for {
		g.registerOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-g.storeReplaced:
			if len(g.quarantine.quarantined()) > 0 {
				g.saveQuarantine() // the copy may lack it
			}
			pause(ctx, rand.N(maxRegisterDelay)) // all instances register again
		}
	}
}

// registerAgain makes the instance register again. It does not block.
func (g *Instance) registerAgain() {
	select {
	case g.storeReplaced <- struct{}{}:
	default: // it is going to
	}
}

// registerOnce registers the instance, then reads the registered instances. It retries
// until both have succeeded or ctx ends.
func (g *Instance) registerOnce(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			g.metrics.LogCall("append", "instances")
			registered = g.adapter.Store.Register(ctx, g.self) == nil
		}
		if registered {
			g.metrics.LogCall("newest", "instances")
			if read, err := g.adapter.Store.Instances(ctx); err == nil {
				g.follower.confirm(read.Settled)
				g.meter.setListedInstances(len(read.Instances))
				g.control.post(ctx, instancesListed{instances: read.Instances})
				return
			}
		}
		pause(ctx, registerRetryInterval)
	}
}

// servePeers opens the socket for other instances. The returned function serves it.
func (g *Instance) servePeers() (func() error, error) {
	l, err := net.Listen("tcp", g.settings.Peers)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", g.settings.Peers)
	}
	shared := tunnel.Split(g.ctx, intake.NewGate(l, g.account, g.budget.Handshakes), g.tunnels)
	return func() error { return g.transport.Serve(shared) }, nil
}
