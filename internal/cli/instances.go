package cli

import (
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
)

// instancesCommand lists the instances.
func (a *App) instancesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "instances",
		Short: "List the instances and the status that each reports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := a.fleetStatus(cmd.Context())
			if err != nil {
				return err
			}
			return a.showInstances(fleet)
		},
	}
}

// instanceRow is one row of the list of instances.
type instanceRow struct {
	adminapi.Instance
	// Status is the status that the instance reports; absent if it did not answer.
	Status *adminapi.Status `json:"status,omitempty"`
}

func (a *App) showInstances(fleet fleetStatus) error {
	rows := make([]instanceRow, 0, len(fleet))
	t := table{header: []string{"ZONE", "INSTANCE", "STATE", "ADMIN", "READY", "DRAINING", "REVISION", "CONFIG AGE"}}
	for _, m := range fleet {
		rows = append(rows, instanceRow{Instance: m.Instance, Status: m.status})
		if m.status == nil {
			t.row(m.Zone, m.ID, m.State, m.AdminAddress, "unreachable", "", "", "")
			continue
		}
		t.row(m.Zone, m.ID, m.State, m.AdminAddress, m.status.Ready, m.status.Draining, m.status.Revision, age(m.status.AgeMs))
	}
	return a.show(rows, t)
}
