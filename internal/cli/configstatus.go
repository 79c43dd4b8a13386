package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/config"
)

// pollInterval is the interval at which --wait queries the instances.
const pollInterval = 200 * time.Millisecond

// configStatusCommand shows the revision in force in each availability zone.
func (a *App) configStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which revision is in force in each availability zone, and which instances are unreachable",
		Long: "Queries every instance that the specified ones know of. With --log, also shows the\n" +
			"newest published revision.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.configStatus(cmd.Context())
		},
	}
}

func (a *App) configStatus(ctx context.Context) error {
	var newest config.Revision
	if a.flagOrEnv(a.flags.log, EnvLog) != "" {
		log, err := a.log()
		if err != nil {
			return err
		}
		f, err := a.follower(ctx, log)
		if err != nil {
			return err
		}
		newest = f.State().Revision()
	}
	fleet, err := a.fleetStatus(ctx)
	if err != nil {
		return err
	}
	return a.showInForce(fleet.inForce(newest))
}

// waitInForce polls until the revision is in force at all instances or the
// timeout has passed.
func (a *App) waitInForce(ctx context.Context, want config.Revision, timeout time.Duration) error {
	deadline := a.Now().Add(timeout)
	for {
		fleet, err := a.fleetStatus(ctx)
		if err != nil {
			return fail(ExitNotInForce, err, "The change is published. To see which instances have it, run: medlarhold config status.")
		}
		report := fleet.inForce(want)
		if report.InForce || !a.Now().Before(deadline) {
			return a.reportWaitResult(report, want)
		}
		if err := a.Sleep(ctx, pollInterval); err != nil {
			return fail(ExitNotInForce, trace.Wrap(err), "The change is published. To see which instances have it, run: medlarhold config status.")
		}
	}
}

// reportWaitResult prints the last report and returns an error unless the revision is in
// force at all instances.
func (a *App) reportWaitResult(report inForceReport, want config.Revision) error {
	if err := a.showInForce(report); err != nil {
		return err
	}
	if report.InForce {
		return nil
	}
	return fail(ExitNotInForce, trace.LimitExceeded("revision %d is published, but not in force everywhere", want),
		"Instances that are cut off continue with the configuration that they have and catch up later. To see which, run: medlarhold config status -o json.")
}

// showInForce shows one row for each availability zone.
func (a *App) showInForce(r inForceReport) error {
	t := table{header: []string{"ZONE", "INSTANCES", "IN FORCE", "BEHIND", "UNREACHABLE"}}
	for _, z := range r.Zones {
		t.row(z.Zone, z.Instances, z.Revision, len(z.Behind), joinIDs(z.Unreachable))
	}
	if err := a.show(r, t); err != nil {
		return err
	}
	if a.flags.output == outputTable && r.Published > 0 {
		fmt.Fprintf(a.Out, "Published: revision %d.\n", r.Published)
	}
	return nil
}
