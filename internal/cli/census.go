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

// censusParallel bounds how many instances are asked at the same time.
const censusParallel = 32

// census is what all instances in reach say, sorted by zone and id.
type census []member

// member is one instance and its answer.
type member struct {
	adminapi.Instance
	status *adminapi.Status // nil if it did not answer
}

// census asks the named instances whom they know of, and then each of those.
func (a *App) census(ctx context.Context) (census, error) {
	seeds, err := a.adminAddresses()
	if err != nil {
		return nil, err
	}
	known, err := a.discover(ctx, seeds)
	if err != nil {
		return nil, err
	}
	members := make(census, len(known))
	inParallel(len(known), func(i int) {
		members[i] = member{Instance: known[i], status: a.statusOf(ctx, known[i].AdminAddress)}
	})
	return members, nil
}

// inParallel calls f for 0 to n-1, censusParallel at a time.
func inParallel(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(censusParallel)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait() // f returns no error
}

// answerOf is what one instance answered.
type answerOf[T any] struct {
	from entity.InstanceID
	rows []T
}

// askAll asks every instance that gave its status, and returns the answers in
// the census' order.
func askAll[T any](ctx context.Context, a *App, c census, call func(*adminapi.Client, context.Context) ([]T, error)) []answerOf[T] {
	answers := make([]*answerOf[T], len(c))
	inParallel(len(c), func(i int) {
		if c[i].status == nil {
			return
		}
		client, err := a.client(c[i].AdminAddress)
		if err != nil {
			return
		}
		if rows, err := call(client, ctx); err == nil {
			answers[i] = &answerOf[T]{from: c[i].ID, rows: rows}
		}
	})
	var out []answerOf[T]
	for _, ans := range answers {
		if ans != nil {
			out = append(out, *ans)
		}
	}
	return out
}

// discover asks each seed for the instances that it knows of, and merges them.
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

// sortInstances lists instances that are not dead by zone and id.
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

// instancesAt asks one instance for its view.
func (a *App) instancesAt(ctx context.Context, addr string) ([]adminapi.Instance, error) {
	c, err := a.client(addr)
	if err != nil {
		return nil, err
	}
	list, err := c.Instances(ctx)
	return list, trace.Wrap(err, "instance at %s", addr)
}

// statusOf asks one instance for its status; nil if it does not answer.
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

// unreachable explains that no instance answered.
func unreachable(err error) error {
	if err == nil {
		err = trace.NotFound("the named instances know of no instance")
	}
	if trace.IsAccessDenied(err) {
		return fail(ExitFailure, err, "The operator's key was refused. Check --operator-key-file or "+EnvOperatorKey+".")
	}
	return fail(ExitUnreachable, err, "No instance answered. Check --admin, or name an instance of another zone.")
}

// inForceReport says which revision is in force where.
type inForceReport struct {
	// Published is the revision that is asked about; 0 for none.
	Published config.Revision `json:"published,omitempty"`
	// InForce says that every instance has it and none is unreachable.
	InForce bool          `json:"in_force"`
	Zones   []zoneInForce `json:"zones"`
}

// zoneInForce is the report's row for one availability zone.
type zoneInForce struct {
	Zone      entity.ZoneID `json:"zone"`
	Instances int           `json:"instances"`
	// Revision is the lowest revision in force at an instance in reach.
	Revision    config.Revision     `json:"revision"`
	Behind      []entity.InstanceID `json:"behind,omitempty"`
	Unreachable []entity.InstanceID `json:"unreachable,omitempty"`
}

// inForce compares all instances with the revision.
func (c census) inForce(want config.Revision) inForceReport {
	r := inForceReport{Published: want, InForce: len(c) > 0, Zones: []zoneInForce{}}
	for _, m := range c {
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

// add counts one instance.
func (z *zoneInForce) add(m member, want config.Revision) {
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

// joinIDs lists ids for a table.
func joinIDs(ids []entity.InstanceID) string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return strings.Join(out, ",")
}
