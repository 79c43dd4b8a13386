package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/version"
)

// adminHandler returns the handler for operators and metrics collectors.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+adminapi.PathStatus, d.operator(func(context.Context) any { return d.adminStatus() }))
	mux.HandleFunc("GET "+adminapi.PathInstances, d.operator(func(context.Context) any { return d.adminInstances() }))
	mux.HandleFunc("GET "+adminapi.PathEndpoints, d.operator(func(ctx context.Context) any { return d.adminEndpoints(ctx) }))
	mux.HandleFunc("GET "+adminapi.PathPools, d.operator(func(ctx context.Context) any { return d.adminPools(ctx) }))
	mux.HandleFunc("POST "+adminapi.PathDrain, d.operator(func(context.Context) any {
		d.Drain()
		return adminapi.Drain{Instance: d.self.ID, InFlight: d.loop.Status().InFlight}
	}))
	return mux
}

// operator returns a handler that writes the result of answer as JSON. Requests
// without a valid operator's key get status 401.
func (d *Daemon) operator(answer func(ctx context.Context) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		var v any
		if ok && d.keys.IsOperatorKey(key) {
			v = answer(r.Context())
		} else {
			w.WriteHeader(http.StatusUnauthorized)
			v = adminapi.Error{Message: "an operator's key is required"}
		}
		// A write error means that the operator has closed its connection.
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (d *Daemon) adminStatus() adminapi.Status {
	ready, _ := d.Ready()
	return adminapi.Status{
		Instance: d.self.ID, Zone: d.self.Zone, Version: version.String(), Revision: d.loop.State().Revision(),
		Ready: ready, CaughtUp: d.follower.caughtUp.Load(), AgeMs: d.follower.age(time.Now()).Milliseconds(),
		Draining: d.loop.Status().Draining,
	}
}

// adminInstances returns the members that this instance knows. Their admin
// addresses come from the platform's list.
func (d *Daemon) adminInstances() []adminapi.Instance {
	admin := make(map[entity.InstanceID]string)
	for _, in := range *d.platformList.Load() {
		admin[in.ID] = in.AdminAddress
	}
	admin[d.self.ID] = d.self.AdminAddress
	out := []adminapi.Instance{}
	for _, z := range d.loop.View().Zones {
		for _, m := range z.Members {
			out = append(out, adminapi.Instance{ID: m.ID, Zone: m.Zone, Region: m.Region, PeerAddress: m.PeerAddress,
				AdminAddress: admin[m.ID], State: stateOf(m)})
		}
	}
	return out
}

func stateOf(m membership.Member) adminapi.InstanceState {
	switch {
	case m.Leaving:
		return adminapi.InstanceLeaving
	case m.Suspect:
		return adminapi.InstanceSuspect
	}
	return adminapi.InstanceAlive
}

// adminEndpoints returns all configured endpoints. Running, Failing and Queued
// are set only for endpoints that this instance owns; Queued counts the queue of
// the endpoint's pool.
func (d *Daemon) adminEndpoints(ctx context.Context) []adminapi.Endpoint {
	out := []adminapi.Endpoint{}
	d.loop.Do(ctx, func(n *node.Node) {
		for _, e := range d.loop.State().AllEndpoints() {
			row := adminapi.Endpoint{ID: e.ID, Pool: e.Pool, Zone: e.Zone, Kind: e.Kind, Address: e.Address,
				Owner: n.OwnerOf(e.ID), Slots: e.Slots, Leaving: e.Leaving}
			if st, ok := n.EndpointStats(e.ID); ok {
				row.Running, row.Failing, row.Queued = st.Running, st.Suspended, n.Queued(e.Pool)
			}
			out = append(out, row)
		}
	})
	return out
}

// adminPools returns per pool the totals over the endpoints that this instance owns.
func (d *Daemon) adminPools(ctx context.Context) []adminapi.Pool {
	out := []adminapi.Pool{}
	d.loop.Do(ctx, func(n *node.Node) {
		for p := range d.loop.State().Pools() {
			out = append(out, poolRow(n, d.loop.State(), p))
		}
	})
	return out
}

func poolRow(n *node.Node, st config.State, p *config.Pool) adminapi.Pool {
	row := adminapi.Pool{ID: p.Name, Kind: p.Kind, Queued: n.Queued(p.Name)}
	for _, e := range st.Endpoints(p.Name) {
		if s, ok := n.EndpointStats(e.ID); ok {
			row.Endpoints++
			row.Slots += e.Slots
			row.Running += s.Running
		}
	}
	return row
}
