package cli

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
)

// drainCommand starts the planned stop of instances.
func (a *App) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Stop the instances specified by --admin once their requests have finished",
		Long: "Each specified instance leaves the load balancer's list, notifies its peers, hands over\n" +
			"queued requests, finishes running requests and exits. No request in flight is cut off.",
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
