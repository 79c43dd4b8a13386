package cli

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// maxParallelCalls is the number of instances that are queried at the same time.
const maxParallelCalls = 32

// fleetStatus holds the status of each known instance, sorted by zone and id.
type fleetStatus []instanceStatus

// instanceStatus is one instance with the status that it reported.
type instanceStatus struct {
	adminapi.Instance
	status *adminapi.Status // nil if the instance did not answer
}

// fleetStatus asks the instances at the admin addresses for their lists of instances and
// then queries the status of each listed instance.
func (a *App) fleetStatus(ctx context.Context) (fleetStatus, error) {
	seeds, err := a.adminAddresses()
	if err != nil {
		return nil, err
	}
	known, err := a.discover(ctx, seeds)
	if err != nil {
		return nil, err
	}
	members := make(fleetStatus, len(known))
	inParallel(len(known), func(i int) {
		members[i] = instanceStatus{Instance: known[i], status: a.statusOf(ctx, known[i].AdminAddress)}
	})
	return members, nil
}

// inParallel calls f for 0 to n-1, at most maxParallelCalls at the same time.
func inParallel(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait() // f returns no error
}

// rowsFrom holds the rows of a list that one instance returned.
type rowsFrom[T any] struct {
	from entity.InstanceID
	rows []T
}

// queryAll calls every instance that reported its status and returns the lists in
// the order of the instances. Instances that fail to answer are left out.
func queryAll[T any](ctx context.Context, a *App, fleet fleetStatus, call func(*adminapi.Client, context.Context) ([]T, error)) []rowsFrom[T] {
	answers := make([]*rowsFrom[T], len(fleet))
	inParallel(len(fleet), func(i int) {
		if fleet[i].status == nil {
			return
		}
		client, err := a.client(fleet[i].AdminAddress)
		if err != nil {
			return
		}
		if rows, err := call(client, ctx); err == nil {
			answers[i] = &rowsFrom[T]{from: fleet[i].ID, rows: rows}
		}
	})
	var out []rowsFrom[T]
	for _, ans := range answers {
		if ans != nil {
			out = append(out, *ans)
		}
	}
	return out
}

// discover asks the instances at the seed addresses for the instances that they
// know of and merges the lists. It fails only if no instance is found.
func (a *App) discover(ctx context.Context, seeds []string) ([]adminapi.Instance, error) {
	byID := make(map[entity.InstanceID]adminapi.Instance)
	var failure error
	for _, addr := range seeds {
		list, err := a.instancesAt(ctx, addr)
		if err != nil {
			failure = err
			continue
		}
		for _, in := range list {
			if old, ok := byID[in.ID]; !ok || old.AdminAddress == "" {
				byID[in.ID] = in
			}
		}
	}
	if len(byID) == 0 {
		return nil, unreachable(failure)
	}
	return sortInstances(byID), nil
}

// sortInstances returns the instances that are not dead, sorted by zone and id.
func sortInstances(byID map[entity.InstanceID]adminapi.Instance) []adminapi.Instance {
	var out []adminapi.Instance
	for _, in := range byID {
		if in.State != adminapi.InstanceDead {
			out = append(out, in)
		}
	}
	slices.SortFunc(out, func(x, y adminapi.Instance) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// instancesAt returns the instances that the one at addr knows of.
func (a *App) instancesAt(ctx context.Context, addr string) ([]adminapi.Instance, error) {
	c, err := a.client(addr)
	if err != nil {
		return nil, err
	}
	list, err := c.Instances(ctx)
	return list, trace.Wrap(err, "instance at %s", addr)
}

// statusOf returns the status of the instance at addr, nil if it does not answer.
func (a *App) statusOf(ctx context.Context, addr string) *adminapi.Status {
	if addr == "" {
		return nil
	}
	c, err := a.client(addr)
	if err != nil {
		return nil
	}
	st, err := c.Status(ctx)
	if err != nil {
		return nil
	}
	return &st
}

// unreachable returns the error for the case that no instance answered, with its
// exit code and hint.
func unreachable(err error) error {
	if err == nil {
		err = trace.NotFound("the specified instances know of no instance")
	}
	if trace.IsAccessDenied(err) {
		return fail(ExitFailure, err, "The operator's key was refused. Check --operator-key-file or "+EnvOperatorKey+".")
	}
	return fail(ExitUnreachable, err, "No instance responded. Check --admin, or specify an instance in another zone.")
}

// inForceReport lists the revision in force in each availability zone.
type inForceReport struct {
	// Published is the revision that the instances are compared with; 0 if the
	// log was not read.
	Published config.Revision `json:"published,omitempty"`
	// InForce reports whether every instance has that revision and none is
	// unreachable.
	InForce bool          `json:"in_force"`
	Zones   []zoneInForce `json:"zones"`
}

// zoneInForce is the report's row for one availability zone.
type zoneInForce struct {
	Zone      entity.ZoneID `json:"zone"`
	Instances int           `json:"instances"`
	// Revision is the lowest revision in force at a reachable instance.
	Revision    config.Revision     `json:"revision"`
	Behind      []entity.InstanceID `json:"behind,omitempty"`
	Unreachable []entity.InstanceID `json:"unreachable,omitempty"`
}

// inForce compares the revision of each instance with the wanted one.
func (s fleetStatus) inForce(want config.Revision) inForceReport {
	r := inForceReport{Published: want, InForce: len(s) > 0, Zones: []zoneInForce{}}
	for _, m := range s {
		if len(r.Zones) == 0 || r.Zones[len(r.Zones)-1].Zone != m.Zone {
			r.Zones = append(r.Zones, zoneInForce{Zone: m.Zone})
		}
		r.Zones[len(r.Zones)-1].add(m, want)
	}
	for _, z := range r.Zones {
		r.InForce = r.InForce && len(z.Behind)+len(z.Unreachable) == 0
	}
	return r
}

// add counts one instance of the zone.
func (z *zoneInForce) add(m instanceStatus, want config.Revision) {
	z.Instances++
	if m.status == nil {
		z.Unreachable = append(z.Unreachable, m.ID)
		return
	}
	if z.Revision == 0 || m.status.Revision < z.Revision {
		z.Revision = m.status.Revision
	}
	if m.status.Revision < want {
		z.Behind = append(z.Behind, m.ID)
	}
}

// joinIDs formats ids for a table cell.
func joinIDs(ids []entity.InstanceID) string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return strings.Join(out, ",")
}
