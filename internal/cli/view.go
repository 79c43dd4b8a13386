package cli

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
)

// instancesCommand lists the instances.
func (a *App) instancesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "instances",
		Short: "List the instances and what each says of itself",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.census(cmd.Context())
			if err != nil {
				return err
			}
			return a.showInstances(c)
		},
	}
}

// instanceRow is one row of the list of instances.
type instanceRow struct {
	adminapi.Instance
	// Status is what the instance says of itself; absent if it did not answer.
	Status *adminapi.Status `json:"status,omitempty"`
}

func (a *App) showInstances(c census) error {
	rows := make([]instanceRow, 0, len(c))
	t := table{header: []string{"ZONE", "INSTANCE", "STATE", "ADMIN", "READY", "DRAINING", "REVISION", "CONFIG AGE"}}
	for _, m := range c {
		rows = append(rows, instanceRow{Instance: m.Instance, Status: m.status})
		if m.status == nil {
			t.row(m.Zone, m.ID, m.State, m.AdminAddress, "unreachable", "", "", "")
			continue
		}
		t.row(m.Zone, m.ID, m.State, m.AdminAddress, m.status.Ready, m.status.Draining, m.status.Revision, age(m.status.AgeMS))
	}
	return a.show(rows, t)
}

// endpointsCommand lists the endpoints.
func (a *App) endpointsCommand() *cobra.Command {
	var pool string
	cmd := &cobra.Command{
		Use:   "endpoints",
		Short: "List the endpoints with their owners, running and queued requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := viaAny(cmd.Context(), a, (*adminapi.Client).Endpoints)
			if err != nil {
				return err
			}
			return a.showEndpoints(list, pool)
		},
	}
	cmd.Flags().StringVar(&pool, "pool", "", "only endpoints of this pool")
	return cmd
}

func (a *App) showEndpoints(list []adminapi.Endpoint, pool string) error {
	rows := make([]adminapi.Endpoint, 0, len(list))
	t := table{header: []string{"POOL", "ENDPOINT", "ZONE", "ADDRESS", "OWNER", "RUNNING", "SLOTS", "QUEUED", "STATE"}}
	for _, e := range list {
		if pool != "" && string(e.Pool) != pool {
			continue
		}
		rows = append(rows, e)
		t.row(e.Pool, e.ID, e.Zone, e.Address, e.Owner, e.Running, e.Slots, e.Queued, endpointState(e))
	}
	return a.show(rows, t)
}

// endpointState names an endpoint's state in one word.
func endpointState(e adminapi.Endpoint) string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.Failing:
		return "failing"
	default:
		return "in use"
	}
}

// poolsCommand lists the pools.
func (a *App) poolsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "pools",
		Short: "List the pools with their endpoints, running and queued requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := viaAny(cmd.Context(), a, (*adminapi.Client).Pools)
			if err != nil {
				return err
			}
			t := table{header: []string{"POOL", "KIND", "ENDPOINTS", "RUNNING", "SLOTS", "QUEUED"}}
			for _, p := range list {
				t.row(p.ID, p.Kind, p.Endpoints, p.Running, p.Slots, p.Queued)
			}
			return a.show(list, t)
		},
	}
}

// viaAny calls the named instances in turn until one answers.
func viaAny[T any](ctx context.Context, a *App, call func(*adminapi.Client, context.Context) (T, error)) (T, error) {
	var none T
	seeds, err := a.adminAddresses()
	if err != nil {
		return none, err
	}
	var failure error
	for _, addr := range seeds {
		c, err := a.client(addr)
		if err != nil {
			return none, err
		}
		out, err := call(c, ctx)
		if err == nil {
			return out, nil
		}
		failure = trace.Wrap(err, "instance at %s", addr)
	}
	return none, unreachable(failure)
}

// drainCommand stops instances gracefully.
func (a *App) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Stop the instances named by --admin, once their requests are finished",
		Long: "Each named instance leaves the balancer's list, tells its peers, hands queued\n" +
			"requests over, finishes what runs and exits. Nothing in flight is cut off.",
		Example: "  medlarhold drain --admin 10.0.1.1:7002",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.drain(cmd.Context())
		},
	}
}

func (a *App) drain(ctx context.Context) error {
	addresses, err := a.adminAddresses()
	if err != nil {
		return err
	}
	list := make([]adminapi.Drain, 0, len(addresses))
	t := table{header: []string{"INSTANCE", "IN FLIGHT"}}
	for _, addr := range addresses {
		c, err := a.client(addr)
		if err != nil {
			return err
		}
		d, err := c.Drain(ctx)
		if err != nil {
			return unreachable(trace.Wrap(err, "instance at %s", addr))
		}
		list = append(list, d)
		t.row(d.Instance, d.InFlight)
	}
	return a.show(list, t)
}
