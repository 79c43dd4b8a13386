package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// methodLookup is the query for the status of a request at its entry instance.
const methodLookup = "lookup"

// lookupQuery holds the parameters of methodLookup.
type lookupQuery struct {
	ID entity.RequestID `json:"id"`
}

// lookupReply is the result of methodLookup.
type lookupReply struct {
	Known  bool           `json:"known"`
	Status request.Status `json:"status"`
	Org    entity.OrgID   `json:"org,omitempty"`
}

// Ready implements caller.Control.
func (d *Daemon) Ready() (bool, string) {
	if d.loop.Status().Draining {
		return false, "stopping"
	}
	return d.Serving()
}

// Serving implements caller.Control.
func (d *Daemon) Serving() (bool, string) {
	if !d.loop.View().Joined {
		return false, "looking for the other instances of the zone"
	}
	return d.follower.ready()
}

// Arrive implements caller.Control.
func (d *Daemon) Arrive(a request.Arrival) <-chan request.Directive { return d.loop.Arrive(a) }

// Ended implements caller.Control.
func (d *Daemon) Ended(id entity.RequestID, end request.End) { d.loop.Ended(id, end) }

// Paused implements caller.Control.
func (d *Daemon) Paused(id entity.RequestID) { d.loop.Paused(id) }

// CallerGone implements caller.Control.
func (d *Daemon) CallerGone(id entity.RequestID) { d.loop.CallerGone(id) }

// Status implements caller.Control. It queries the entry instance that the id
// names. If that instance cannot be reached, it is unknown whether the request
// ran, and Status returns the state "lost" with the verdict MayHaveRun.
func (d *Daemon) Status(ctx context.Context, id entity.RequestID) (request.Status, bool) {
	entry, ok := entryOf(id)
	if !ok {
		return request.Status{}, false
	}
	if entry == d.self.ID {
		return d.localStatus(ctx, id)
	}
	if address, ok := d.addressOf(entry); ok {
		ctx, cancel := context.WithTimeout(ctx, 2*peerExchangeTimeout)
		defer cancel()
		var reply lookupReply
		if err := d.transport.Call(ctx, entry, address, methodLookup, lookupQuery{ID: id}, &reply); err == nil {
			reply.Status.Org = reply.Org
			return reply.Status, reply.Known
		}
	}
	return request.Status{ID: id, State: "lost", Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost, At: time.Now()}, true
}

func (d *Daemon) localStatus(ctx context.Context, id entity.RequestID) (st request.Status, ok bool) {
	d.loop.Do(ctx, func(n *node.Node) { st, ok = n.Status(id) })
	return st, ok
}

func (d *Daemon) addressOf(id entity.InstanceID) (string, bool) {
	view := d.loop.View()
	for _, z := range view.Zones {
		for _, m := range z.Members {
			if m.ID == id {
				return m.PeerAddress, true
			}
		}
	}
	return "", false
}

// handlePeerQuery processes the queries of peers.
func (d *Daemon) handlePeerQuery(ctx context.Context, _ entity.Instance, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodLookup:
		var q lookupQuery
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, trace.BadParameter("malformed lookup")
		}
		st, ok := d.localStatus(ctx, q.ID)
		return lookupReply{Known: ok, Status: st, Org: st.Org}, nil
	case methodConfig:
		return d.follower.handleQuery(params)
	}
	return nil, trace.NotFound("unknown method %q", method)
}
