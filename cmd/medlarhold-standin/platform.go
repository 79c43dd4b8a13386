package main

import (
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// platformCommand runs a simulated platform: log service, instance list and weight
// store.
func platformCommand() *cobra.Command {
	var flags serverFlags
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a simulated platform in memory: log service, instance list and weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.serve(cmd, "platform", platformsvc.New(platformsvc.Options{}).Handler())
		},
	}
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	return cmd
}
