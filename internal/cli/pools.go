package cli

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// poolsCommand lists the pools.
func (a *App) poolsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "pools",
		Short: "List the pools with their endpoints, running and queued requests",
		Long:  "Queries every instance and adds up the endpoints and requests that each owns.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := a.fleetStatus(cmd.Context())
			if err != nil {
				return err
			}
			answers := queryAll(cmd.Context(), a, fleet, (*adminapi.Client).Pools)
			if missing := len(fleet) - len(answers); missing > 0 {
				fmt.Fprintf(a.Err, "%d instance(s) did not respond; the endpoints and requests that they own are not counted.\n", missing)
			}
			return a.showPools(sumPools(answers))
		},
	}
}

// sumPools adds up each pool's figures over the instances that own its endpoints.
func sumPools(answers []rowsFrom[adminapi.Pool]) []adminapi.Pool {
	byID := make(map[entity.PoolID]adminapi.Pool)
	for _, ans := range answers {
		for _, p := range ans.rows {
			sum := byID[p.ID]
			sum.ID, sum.Kind = p.ID, p.Kind
			sum.Endpoints += p.Endpoints
			sum.Slots += p.Slots
			sum.Running += p.Running
			sum.Queued += p.Queued
			byID[p.ID] = sum
		}
	}
	list := make([]adminapi.Pool, 0, len(byID))
	for _, p := range byID {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y adminapi.Pool) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func (a *App) showPools(list []adminapi.Pool) error {
	t := table{header: []string{"POOL", "KIND", "ENDPOINTS", "RUNNING", "SLOTS", "QUEUED"}}
	for _, p := range list {
		t.row(p.ID, p.Kind, p.Endpoints, p.Running, p.Slots, p.Queued)
	}
	return a.show(list, t)
}
