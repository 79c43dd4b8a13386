package cli

import (
	"cmp"
	"slices"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// endpointsCommand lists the endpoints.
func (a *App) endpointsCommand() *cobra.Command {
	var pool string
	cmd := &cobra.Command{
		Use:   "endpoints",
		Short: "List the endpoints with their owners, running and queued requests",
		Long: "Queries every instance, because only the owner of an endpoint knows which requests run\n" +
			"on it. If the owner does not respond, RUNNING and QUEUED are unknown.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := a.fleetStatus(cmd.Context())
			if err != nil {
				return err
			}
			answers := queryAll(cmd.Context(), a, fleet, (*adminapi.Client).Endpoints)
			return a.showEndpoints(mergeEndpoints(answers), pool)
		},
	}
	cmd.Flags().StringVar(&pool, "pool", "", "show only endpoints of this pool")
	return cmd
}

// endpointRow is one row of the list of endpoints.
type endpointRow struct {
	adminapi.Endpoint
	// Unknown reports whether the endpoint's owner did not answer, so that its
	// load is not known.
	Unknown bool `json:"unknown,omitempty"`
}

// mergeEndpoints returns one row per endpoint, sorted by pool and id: the row that
// its owner reported, or else that of any other instance.
func mergeEndpoints(answers []rowsFrom[adminapi.Endpoint]) []endpointRow {
	byID := make(map[entity.EndpointID]endpointRow)
	for _, ans := range answers {
		for _, e := range ans.rows {
			fromOwner := e.Owner == ans.from
			if _, seen := byID[e.ID]; !seen || fromOwner {
				byID[e.ID] = endpointRow{Endpoint: e, Unknown: !fromOwner}
			}
		}
	}
	rows := make([]endpointRow, 0, len(byID))
	for _, r := range byID {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(x, y endpointRow) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.ID, y.ID))
	})
	return rows
}

func (a *App) showEndpoints(all []endpointRow, pool string) error {
	rows := make([]endpointRow, 0, len(all))
	t := table{header: []string{"POOL", "ENDPOINT", "ZONE", "ADDRESS", "OWNER", "RUNNING", "SLOTS", "QUEUED", "STATE"}}
	for _, e := range all {
		if pool != "" && string(e.Pool) != pool {
			continue
		}
		rows = append(rows, e)
		if e.Unknown {
			t.row(e.Pool, e.ID, e.Zone, e.Address, e.Owner, "", e.Slots, "", "unknown")
			continue
		}
		t.row(e.Pool, e.ID, e.Zone, e.Address, e.Owner, e.Running, e.Slots, e.Queued, endpointState(e.Endpoint))
	}
	return a.show(rows, t)
}

// endpointState returns an endpoint's state for the table.
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
