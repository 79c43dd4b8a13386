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

// adminHandler serves operators and metrics collectors.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+adminapi.PathStatus, d.operator(func(context.Context) any { return d.adminStatus() }))
	mux.HandleFunc("GET "+adminapi.PathInstances, d.operator(func(context.Context) any { return d.adminInstances() }))
	mux.HandleFunc("GET "+adminapi.PathEndpoints, d.operator(func(ctx context.Context) any { return d.adminEndpoints(ctx) }))
	mux.HandleFunc("GET "+adminapi.PathPools, d.operator(func(ctx context.Context) any { return d.adminPools(ctx) }))
	mux.HandleFunc("POST "+adminapi.PathDrain, d.operator(func(context.Context) any {
		d.Leave()
		return adminapi.Drain{Instance: d.self.ID, InFlight: d.loop.Status().InFlight}
	}))
	return mux
}

// operator lets only operators through and writes the answer as JSON.
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
		// An operator that went away is no error here.
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (d *Daemon) adminStatus() adminapi.Status {
	ready, _ := d.Ready()
	return adminapi.Status{
		Instance: d.self.ID, Zone: d.self.Zone, Version: version.String(), Revision: d.loop.State().Revision(),
		Ready: ready, CaughtUp: d.follower.caughtUp.Load(), AgeMS: d.follower.age(time.Now()).Milliseconds(),
		Draining: d.loop.Status().Draining,
	}
}

// adminInstances shows the members as this instance sees them. Admin addresses
// come from the platform's list.
func (d *Daemon) adminInstances() []adminapi.Instance {
	admin := make(map[entity.InstanceID]string)
	for _, in := range *d.listed.Load() {
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

// adminEndpoints lists all endpoints; what runs there only its owner knows.
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

// adminPools sums up the endpoints that this instance owns, pool by pool.
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
