package main

import (
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/standin/service"
)

// serviceCommand runs a simulated plain service.
func serviceCommand() *cobra.Command {
	var flags serverFlags
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a simulated plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var settings service.Settings
			if err := flags.read(&settings); err != nil {
				return err
			}
			return flags.serve(cmd, "service", service.New(settings))
		},
	}
	flags.add(cmd)
	return cmd
}
